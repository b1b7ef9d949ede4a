package proxy

import (
	"context"
	"encoding/json"
	"io"
	"net"
	"net/http"
	"net/netip"
	"regexp"
	"sync"
	"time"

	"github.com/magnoliamount/magnoliamount/internal/fault"
	"github.com/magnoliamount/magnoliamount/internal/member"
	"github.com/magnoliamount/magnoliamount/internal/model"
)

// TargetPath is the URL path on the caller listener where a target announces
// itself.
const TargetPath = "/_magnoliamount/v1/target"

const (
	// AnnounceInterval is how often a target announces itself.
	AnnounceInterval = 2 * time.Second
	// expireInterval is how often Run checks for missed announcements.
	expireInterval = time.Second
	// missedAnnouncements is the number of consecutive missed announcements after
	// which a target is drained.
	missedAnnouncements = 3
	// maxAnnouncementBytes bounds the body of an announcement.
	maxAnnouncementBytes = 4 << 10
	// maxSlots and maxConnections bound the values that a target may announce.
	maxSlots       = 4096
	maxConnections = 4096
)

var namePattern = regexp.MustCompile(`^[a-z0-9]([a-z0-9._-]*[a-z0-9])?$`)

// Announcement is the JSON body of a target's POST.
type Announcement struct {
	Service string `json:"service"`
	Version string `json:"version"`
	// Address is the host and port where the target accepts requests.
	Address     string `json:"address"`
	Slots       uint32 `json:"slots"`
	Connections uint32 `json:"connections"`
}

// TargetStatus is the JSON body of a Registry's responses.
type TargetStatus struct {
	Announcement
	// State is "ready" or "draining".
	State   string    `json:"state"`
	Started time.Time `json:"started"`
}

// RegistryConfig configures a Registry. OnChange is required.
type RegistryConfig struct {
	// LocalAddresses holds the VM's addresses besides loopback.
	LocalAddresses []netip.Addr
	// OnChange is called when the target or its state changes. Calls do not
	// overlap. It must not call the Registry.
	OnChange func(member.Target, member.State)
	// Now is the time source; nil means time.Now.
	Now func() time.Time
}

// Registry receives the announcements of the target on the same VM.
type Registry struct {
	config        RegistryConfig
	mu            sync.Mutex
	target        member.Target
	state         member.State
	lastAnnounced time.Time
	// stopped is set by DELETE. Later announcements of the same target process,
	// which may already be in transit, do not make the target ready again.
	stopped bool
}

// NewRegistry returns a registry without a target.
func NewRegistry(config RegistryConfig) *Registry {
	config.Now = nowOrDefault(config.Now)
	return &Registry{config: config}
}

// Expire drains a target that missed its announcements. Run calls it regularly.
func (g *Registry) Expire(now time.Time) {
	g.mu.Lock()
	defer g.mu.Unlock()
	if g.state == member.Ready && now.Sub(g.lastAnnounced) > missedAnnouncements*AnnounceInterval {
		g.change(g.target, member.Draining)
	}
}

// Run calls Expire every second until ctx ends.
func (g *Registry) Run(ctx context.Context) {
	ticker := time.NewTicker(expireInterval)
	defer ticker.Stop()
	for {
		select {
		case <-ticker.C:
			g.Expire(g.config.Now())
		case <-ctx.Done():
			return
		}
	}
}

// ServeHTTP serves TargetPath: POST announces the target, GET returns its status,
// and DELETE starts its drain.
func (g *Registry) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	if !g.isLocal(r.RemoteAddr) {
		err := fault.New(fault.Unauthorized, "only processes on the VM may use this path")
		notRun(http.StatusForbidden, err).write(w, "")
		return
	}
	switch r.Method {
	case http.MethodPost:
		g.announce(w, r)
	case http.MethodGet:
		g.writeStatus(w)
	case http.MethodDelete:
		g.drain(w)
	default:
		w.Header().Set("Allow", "GET, POST, DELETE")
		notRun(http.StatusMethodNotAllowed, fault.New(fault.Invalid, "method %s is not allowed", r.Method)).write(w, "")
	}
}

func (g *Registry) isLocal(remote string) bool {
	peer, err := netip.ParseAddrPort(remote)
	if err != nil {
		return false
	}
	address := peer.Addr().Unmap()
	if address.IsLoopback() {
		return true
	}
	for _, own := range g.config.LocalAddresses {
		if own.Unmap() == address {
			return true
		}
	}
	return false
}

func (g *Registry) announce(w http.ResponseWriter, r *http.Request) {
	var a Announcement
	decoder := json.NewDecoder(io.LimitReader(r.Body, maxAnnouncementBytes))
	if err := decoder.Decode(&a); err != nil {
		notRun(http.StatusBadRequest, fault.Wrap(err, fault.Invalid, "the announcement is not JSON")).write(w, "")
		return
	}
	if err := a.check(); err != nil {
		notRun(http.StatusBadRequest, err).write(w, "")
		return
	}
	if !g.accept(a) {
		notRun(http.StatusConflict, fault.New(fault.Stale, "the target is draining")).write(w, "")
		return
	}
	g.writeStatus(w)
}

func (a *Announcement) check() error {
	for _, name := range []string{a.Service, a.Version} {
		if len(name) > model.MaxNameLength || !namePattern.MatchString(name) {
			return fault.New(fault.Invalid, "service or version %q is not a name", name)
		}
	}
	host, port, err := net.SplitHostPort(a.Address)
	if err != nil || host == "" || port == "" {
		return fault.New(fault.Invalid, "address %q is not a host and a port", a.Address)
	}
	if a.Slots == 0 || a.Slots > maxSlots {
		return fault.New(fault.Invalid, "slots %d is not 1 to %d", a.Slots, maxSlots)
	}
	if a.Connections == 0 || a.Connections > maxConnections {
		return fault.New(fault.Invalid, "connections %d is not 1 to %d", a.Connections, maxConnections)
	}
	return nil
}

// accept processes an announcement. It returns false for a target that was
// drained by DELETE and has not missed its announcements since.
func (g *Registry) accept(a Announcement) bool {
	g.mu.Lock()
	defer g.mu.Unlock()
	now := g.config.Now()
	same := a == announcementOf(g.target)
	expired := now.Sub(g.lastAnnounced) > missedAnnouncements*AnnounceInterval
	if same && g.stopped && !expired {
		g.lastAnnounced = now
		return false
	}
	g.lastAnnounced = now
	g.stopped = false
	if same && g.state == member.Ready {
		return true
	}
	target := member.Target{
		Service: a.Service, Version: a.Version, Address: a.Address,
		Slots: a.Slots, Connections: a.Connections, Started: now,
	}
	if sameIdentity(g.target, target) && g.state == member.Ready {
		target.Started = g.target.Started
	}
	g.change(target, member.Ready)
	return true
}

func sameIdentity(a, b member.Target) bool {
	return a.Service == b.Service && a.Version == b.Version && a.Address == b.Address
}

func announcementOf(t member.Target) Announcement {
	return Announcement{Service: t.Service, Version: t.Version, Address: t.Address, Slots: t.Slots, Connections: t.Connections}
}

func (g *Registry) change(target member.Target, state member.State) {
	g.target = target
	g.state = state
	g.config.OnChange(target, state)
}

func (g *Registry) drain(w http.ResponseWriter) {
	g.mu.Lock()
	if g.state != 0 {
		g.stopped = true
	}
	if g.state == member.Ready {
		g.change(g.target, member.Draining)
	}
	g.mu.Unlock()
	g.writeStatus(w)
}

func (g *Registry) writeStatus(w http.ResponseWriter) {
	g.mu.Lock()
	status := TargetStatus{Announcement: announcementOf(g.target), State: g.state.String(), Started: g.target.Started}
	registered := g.state != 0
	g.mu.Unlock()
	if !registered {
		notRun(http.StatusNotFound, fault.New(fault.NotFound, "no target has announced itself")).write(w, "")
		return
	}
	w.Header().Set("Content-Type", "application/json")
	// A write error means that the client has disconnected; nothing is left to do.
	_ = json.NewEncoder(w).Encode(status)
}
