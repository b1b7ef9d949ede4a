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

// Constants of the announcements that a target sends to its daemon.
const (
	// AnnouncePath is the path of the announcement endpoint on the daemon's
	// caller listener.
	AnnouncePath = "/_magnoliamount/v1/target"
	// AnnounceInterval is the time between announcements.
	AnnounceInterval = 2 * time.Second
	// announceRetryDelay is the delay before a failed announcement is retried.
	// An announcement fails, for example, before the daemon opens its listener.
	announceRetryDelay = 100 * time.Millisecond
	// announceTimeout is the timeout of one request, so that an unresponsive
	// daemon delays the next announcement only briefly.
	announceTimeout = 2 * time.Second
)

// Announcement is the JSON body of a POST or DELETE request to AnnouncePath.
type Announcement struct {
	Service     string `json:"service"`
	Version     string `json:"version"`
	Address     string `json:"address"`
	Slots       uint32 `json:"slots"`
	Connections uint32 `json:"connections"`
}

// announceLoop announces the target to the daemon at AnnounceInterval until ctx
// ends. It does nothing without a daemon.
func (t *Target) announceLoop(ctx context.Context) {
	if t.options.Daemon == "" {
		return
	}
	for {
		delay := AnnounceInterval
		if err := t.sendAnnouncement(ctx, http.MethodPost); err != nil && ctx.Err() == nil {
			log.Printf("announce target: %v", err)
			delay = announceRetryDelay
		}
		select {
		case <-ctx.Done():
			return
		case <-time.After(delay):
		}
	}
}

// withdraw sends the DELETE request that makes the daemon drain this target.
func (t *Target) withdraw() error {
	if t.options.Daemon == "" {
		return nil
	}
	return t.sendAnnouncement(context.Background(), http.MethodDelete)
}

// sendAnnouncement sends the target's announcement with the given HTTP method.
// It returns fault.Unavailable unless the daemon accepts it.
func (t *Target) sendAnnouncement(ctx context.Context, method string) error {
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
		return fault.Wrap(err, fault.Invalid, "invalid daemon address %q", t.options.Daemon)
	}
	request.Header.Set("Content-Type", "application/json")
	response, err := http.DefaultClient.Do(request)
	if err != nil {
		return fault.Wrap(err, fault.Unavailable, "%s %s", method, url)
	}
	defer func() { _ = response.Body.Close() }()
	if response.StatusCode >= http.StatusMultipleChoices {
		return fault.New(fault.Unavailable, "%s %s returned status %d", method, url, response.StatusCode)
	}
	return nil
}
