package target

import (
	"bytes"
	"context"
	"encoding/json"
	"log"
	"net/http"
	"time"

	"github.com/magnoliamount/magnoliamount/internal/fault"
)

// Announcements of a target to its daemon.
const (
	// AnnouncePath is the daemon's endpoint, on its caller listener.
	AnnouncePath = "/_magnoliamount/v1/target"
	// AnnounceInterval is the time between announcements.
	AnnounceInterval = 2 * time.Second
	// announceRetry is the pause after a failed announcement, for example
	// because the daemon has not opened its listener yet.
	announceRetry = 100 * time.Millisecond
	// announceTimeout bounds one call, so that a frozen daemon does not hold
	// back the next announcement for long.
	announceTimeout = 2 * time.Second
)

// Announcement is the body of a POST to AnnouncePath.
type Announcement struct {
	Service     string `json:"service"`
	Version     string `json:"version"`
	Address     string `json:"address"`
	Slots       uint32 `json:"slots"`
	Connections uint32 `json:"connections"`
}

func (t *Target) announceUntil(ctx context.Context) {
	if t.options.Daemon == "" {
		return
	}
	for {
		pause := AnnounceInterval
		if err := t.call(ctx, http.MethodPost); err != nil && ctx.Err() == nil {
			log.Printf("announce target: %v", err)
			pause = announceRetry
		}
		select {
		case <-ctx.Done():
			return
		case <-time.After(pause):
		}
	}
}

// withdraw starts the daemon's drain of this target.
func (t *Target) withdraw() error {
	if t.options.Daemon == "" {
		return nil
	}
	return t.call(context.Background(), http.MethodDelete)
}

func (t *Target) call(ctx context.Context, method string) error {
	body, err := json.Marshal(Announcement{
		Service: t.options.Service, Version: t.options.Version, Address: t.Address(),
		Slots: t.options.Slots, Connections: t.options.Connections,
	})
	if err != nil {
		return fault.Wrap(err, fault.Internal, "encode announcement")
	}
	ctx, cancel := context.WithTimeout(ctx, announceTimeout)
	defer cancel()
	url := "http://" + t.options.Daemon + AnnouncePath
	request, err := http.NewRequestWithContext(ctx, method, url, bytes.NewReader(body))
	if err != nil {
		return fault.Wrap(err, fault.Invalid, "daemon address %q", t.options.Daemon)
	}
	request.Header.Set("Content-Type", "application/json")
	response, err := http.DefaultClient.Do(request)
	if err != nil {
		return fault.Wrap(err, fault.Unavailable, "%s %s", method, url)
	}
	defer func() { _ = response.Body.Close() }()
	if response.StatusCode >= http.StatusMultipleChoices {
		return fault.New(fault.Unavailable, "%s %s answered %d", method, url, response.StatusCode)
	}
	return nil
}
