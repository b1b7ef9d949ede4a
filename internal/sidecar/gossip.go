package sidecar

import (
	"bytes"
	"context"
	"encoding/json"
	"io"
	"math/rand/v2"
	"net"
	"net/http"
	"slices"
	"strconv"
	"strings"
	"sync"
	"time"

	"github.com/magnoliamount/magnoliamount/internal/fault"
	"github.com/magnoliamount/magnoliamount/internal/mesh"
	"github.com/magnoliamount/magnoliamount/internal/progress"
	"github.com/magnoliamount/magnoliamount/internal/rows"
)

const (
	// gossipPath is the path on the peer listener to which daemons post a digest;
	// the response holds the rows that the sender lacks. Under /v1, versions of rows
	// had no era, so they cannot be compared with those of this path.
	gossipPath = "/v2/rows"
	// gossipInterval is the interval at which a daemon sends gossip requests while
	// the store is unreachable.
	gossipInterval = 400 * time.Millisecond
	// gossipFanout is the number of daemons that receive a request in each
	// interval.
	gossipFanout = 3
	// writeFailurePeriod is how long the store counts as unreachable after a failed
	// write. A pending watch does not detect the failure.
	writeFailurePeriod = time.Second
	// maxSenderAddresses bounds the addresses that are known only as sources of
	// requests.
	maxSenderAddresses = 16
	// maxGossipBytes bounds a message, which holds two tables of up to a few
	// hundred rows.
	maxGossipBytes = 8 << 20
)

// tableUpdate is the part of a gossip message about one table: the sender's
// version and, in a response, the rows that the receiver lacks.
type tableUpdate struct {
	Version uint64    `json:"version"`
	Rows    []wireRow `json:"rows,omitempty"`
}

// gossipMessage is a message between daemons. Daemons exchange rows with it
// while the store is unreachable, and daemons that do not read the store poll a
// reader with it. A request holds the sender's versions; the response holds the
// rows that the sender lacks.
type gossipMessage struct {
	VM        string      `json:"vm"`
	Peer      string      `json:"peer"`
	Operators tableUpdate `json:"operators"`
	Mesh      tableUpdate `json:"mesh"`
	// Own is the record of the sender's target, or nil while it is not known.
	Own *mesh.TargetRecord `json:"own,omitempty"`
	// Evacuations holds the evacuated failure domains that the sender knows. It is nil
	// while evacuations are disabled, and in messages of versions without them.
	Evacuations *mesh.Evacuations `json:"evacuations,omitempty"`
	// WaitMS is how long the receiver may wait for newer rows, in milliseconds. A
	// positive value makes the request a long poll.
	WaitMS int64 `json:"wait_ms,omitempty"`
	// Reading is true in the response of a daemon that reads the store, and
	// StoreUnavailable in that of a daemon that currently gets no updates.
	Reading          bool `json:"reading,omitempty"`
	StoreUnavailable bool `json:"store_lost,omitempty"`
	// StoreAgeMS is set in the response of a reader to which the store does not
	// respond: how long ago, in milliseconds, the store responded to a reader from
	// which it gets its rows directly or through others.
	StoreAgeMS int64 `json:"store_age_ms,omitempty"`
	// StoreResponds is true in a request of a daemon to which the store responds and that
	// looked for it in place of a reader. Reading then tells whether it reads the store.
	StoreResponds bool `json:"store_responds,omitempty"`
	// ProbeStore, in the response of a reader that gets no updates, asks the receiver to
	// call the store in place of the reader.
	ProbeStore bool `json:"probe_store,omitempty"`
	// knowledge is that of the sender of a response to a long poll; it is a header. It may
	// be nil.
	knowledge *peerKnowledge
}

// hasRows reports whether the message contains rows.
func (g *gossipMessage) hasRows() bool { return len(g.Operators.Rows)+len(g.Mesh.Rows) > 0 }

// runGossip requests rows from other daemons while the store is unreachable.
func (d *Daemon) runGossip(ctx context.Context) {
	ticker := time.NewTicker(gossipInterval)
	defer ticker.Stop()
	for {
		select {
		case <-ticker.C:
		case <-ctx.Done():
			return
		}
		if !d.storeUnreachable() {
			continue
		}
		var peers []string
		d.loop.call(func(time.Time) { peers = d.node.PeerAddresses() })
		if len(peers) == 0 {
			peers = d.senders.list()
		}
		rand.Shuffle(len(peers), func(i, j int) { peers[i], peers[j] = peers[j], peers[i] })
		for _, peer := range peers[:min(gossipFanout, len(peers))] {
			go d.requestRows(ctx, peer)
		}
	}
}

// storeUnreachable reports whether the store does not respond to this daemon.
func (d *Daemon) storeUnreachable() bool {
	// The time since a failure is negative after the time of day was set back.
	sinceFailure := time.Duration(time.Now().UnixNano() - d.lastWriteFailure.Load())
	return d.storeUnavailable.Load() || sinceFailure >= 0 && sinceFailure < writeFailurePeriod
}

// recordWriteResult records whether a write failed because the store does not
// respond or throttles.
func (d *Daemon) recordWriteResult(err error) {
	switch fault.KindOf(err) {
	case fault.Unavailable, fault.UnknownOutcome, fault.Throttled:
		d.lastWriteFailure.Store(time.Now().UnixNano())
	default:
		d.lastWriteFailure.Store(0)
	}
}

// senderAddresses collects the peer addresses of daemons from the requests that
// they send. A daemon that starts while the store is unavailable has no other
// source of addresses. It is safe for concurrent use.
type senderAddresses struct {
	// port is the port of the peer listener, which is the same on all VMs.
	port      string
	mu        sync.Mutex
	addresses []string
}

// recordSenders returns a handler that records the sender of each request while
// needed returns true, and then calls next.
func (s *senderAddresses) recordSenders(next http.Handler, needed func() bool) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		if needed() {
			s.add(r.RemoteAddr)
		}
		next.ServeHTTP(w, r)
	})
}

// add records the peer address of the host in remote, an address with a port.
func (s *senderAddresses) add(remote string) {
	host, _, err := net.SplitHostPort(remote)
	if err != nil {
		return
	}
	address := net.JoinHostPort(host, s.port)
	s.mu.Lock()
	defer s.mu.Unlock()
	if len(s.addresses) < maxSenderAddresses && !slices.Contains(s.addresses, address) {
		s.addresses = append(s.addresses, address)
	}
}

// list returns the recorded peer addresses.
func (s *senderAddresses) list() []string {
	s.mu.Lock()
	defer s.mu.Unlock()
	return slices.Clone(s.addresses)
}

// digest returns a message with the newest versions that this daemon has. It
// runs in the event loop.
func (d *Daemon) digest() gossipMessage {
	return gossipMessage{
		VM: d.config.VM, Peer: d.config.Peer, Own: d.targetRow.desiredRecord(),
		Operators: tableUpdate{Version: d.tables.operators.newestVersion()}, Mesh: tableUpdate{Version: d.tables.mesh.newestVersion()},
		Evacuations: d.knownEvacuations(),
	}
}

// requestRows requests and applies the rows that this daemon lacks from the
// daemon at the address.
func (d *Daemon) requestRows(ctx context.Context, address string) {
	var message gossipMessage
	d.loop.call(func(time.Time) { message = d.digest() })
	response, err := d.sendGossip(ctx, d.peerClient, address, message, nil)
	if err != nil {
		d.logger.Debug().Err(err).Str("event", "gossip-failed").Str("peer", address).Msg("gossip request to a daemon failed")
		return
	}
	d.loop.call(func(now time.Time) { d.applyGossip(now, response) })
}

// sendGossip sends the message and returns the response. The watchdog, if not
// nil, observes the progress of the response body.
func (d *Daemon) sendGossip(ctx context.Context, client *http.Client, address string, message gossipMessage, watchdog *progress.Watchdog) (*gossipMessage, error) {
	encoded, err := json.Marshal(message)
	if err != nil {
		return nil, fault.Wrap(err, fault.Internal, "cannot encode a gossip message")
	}
	request, err := http.NewRequestWithContext(ctx, http.MethodPost, "http://"+address+gossipPath, bytes.NewReader(encoded))
	if err != nil {
		return nil, fault.Wrap(err, fault.Invalid, "invalid daemon address %q", address)
	}
	response, err := client.Do(request)
	if err != nil {
		return nil, fault.Wrap(err, fault.Unavailable, "cannot reach the daemon at %s", address)
	}
	defer response.Body.Close()
	if response.StatusCode != http.StatusOK {
		return nil, fault.New(fault.Unavailable, "the daemon at %s responded with status %d", address, response.StatusCode)
	}
	body := io.Reader(response.Body)
	if watchdog != nil {
		body = watchdog.Reader(body)
	}
	received := &gossipMessage{knowledge: parseKnowledge(response.Header)}
	if err := json.NewDecoder(io.LimitReader(body, maxGossipBytes)).Decode(received); err != nil {
		return nil, fault.Wrap(err, fault.Protocol, "cannot decode the response of the daemon at %s", address)
	}
	return received, nil
}

// applyGossip applies the rows in the message of another daemon. It runs in the
// event loop.
func (d *Daemon) applyGossip(now time.Time, g *gossipMessage) {
	evacuationsChanged := d.mergeEvacuations(g)
	operatorRows := d.tables.operators.merge(fromWireRows(g.Operators.Rows))
	for _, row := range operatorRows {
		d.applyOperatorRow(row)
	}
	newRows := d.tables.mesh.merge(fromWireRows(g.Mesh.Rows))
	if len(operatorRows)+len(newRows) > 0 {
		d.logger.Info().Str("event", "rows-heard").Str("from", g.VM).Int("operators", len(operatorRows)).Int("mesh", len(newRows)).Msg("received newer rows from another daemon")
	}
	changes := make([]rows.Change, 0, len(newRows))
	for _, row := range newRows {
		changes = append(changes, rows.Change{Row: row})
	}
	d.logRefusedRows(d.node.ApplyChanges(now, changes))
	for _, row := range newRows {
		d.targetRow.observe(row)
	}
	d.mergeOwn(now, g)
	d.operatorsLoaded = d.operatorsLoaded || len(operatorRows) > 0
	if len(newRows) > 0 {
		d.markMeshLoaded()
	}
	if len(operatorRows)+len(newRows) > 0 || evacuationsChanged {
		d.tables.notify()
	}
}

// mergeOwn applies the record of the sender's target, if it is in the message and
// valid. It runs in the event loop.
func (d *Daemon) mergeOwn(now time.Time, g *gossipMessage) {
	if g.Own == nil {
		return
	}
	if err := g.Own.Validate(); err != nil {
		d.logRefusedRows([]error{err})
		return
	}
	d.node.MergeTarget(now, g.Own)
}

// serveGossip serves gossipPath. A daemon that lacks rows of the sender sends a
// request in return, and so gets the state of the mesh without the store.
func (d *Daemon) serveGossip(w http.ResponseWriter, r *http.Request) {
	receivedAt := d.knowledge.Now()
	var message gossipMessage
	if err := json.NewDecoder(io.LimitReader(r.Body, maxGossipBytes)).Decode(&message); err != nil {
		http.Error(w, "the rows cannot be decoded", http.StatusBadRequest)
		return
	}
	var response gossipMessage
	behind := false
	if message.Own != nil {
		d.loop.call(func(now time.Time) { d.mergeOwn(now, &message) })
	}
	if message.Evacuations != nil {
		d.loop.call(func(time.Time) {
			if d.mergeEvacuations(&message) {
				d.tables.notify()
			}
		})
	}
	longPoll := message.WaitMS > 0
	if longPoll {
		d.handleStoreContact(&message)
		d.awaitNewerRows(r.Context(), &message)
	}
	var key responseKey
	var newer []rows.Row
	d.loop.call(func(now time.Time) {
		response = d.digest()
		if longPoll {
			response = d.completeDigest()
			response.Reading, response.StoreUnavailable, response.StoreAgeMS = d.reading.Load(), d.updatesUnavailable(), d.storeAge().Milliseconds()
			d.setKnowledgeHeader(w.Header(), receivedAt)
		}
		key = d.responseKey(&message, &response)
		newer = append(d.tables.operators.rowsAfter(message.Operators.Version), d.tables.mesh.rowsAfter(message.Mesh.Version)...)
		behind = response.Operators.Version < message.Operators.Version || response.Mesh.Version < message.Mesh.Version
	})
	if len(newer) == 0 && response.Reading && response.StoreUnavailable {
		response.ProbeStore = d.probes.take(message.VM)
	}
	if len(newer) == 0 || !strings.Contains(r.Header.Get("Accept-Encoding"), "gzip") {
		response.addRows(newer)
		writeJSON(w, &response)
	} else {
		writeEncoded(w, d.responses.get(key, func() []byte {
			response.addRows(newer)
			return encodeCompressed(&response)
		}))
	}
	if behind && !longPoll && message.Peer != "" {
		go d.requestRows(context.WithoutCancel(r.Context()), message.Peer)
	}
}

// addRows adds rows of both tables to the message.
func (g *gossipMessage) addRows(all []rows.Row) {
	for _, row := range toWireRows(all) {
		if row.Table == mesh.Table {
			g.Mesh.Rows = append(g.Mesh.Rows, row)
			continue
		}
		g.Operators.Rows = append(g.Operators.Rows, row)
	}
}

// writeJSON sends the message as uncompressed JSON.
func writeJSON(w http.ResponseWriter, message any) {
	w.Header().Set("Content-Type", "application/json")
	// A write error needs no handling: a daemon that got no response asks another
	// one.
	_ = json.NewEncoder(w).Encode(message)
}

// writeEncoded sends a message that encodeCompressed returned.
func writeEncoded(w http.ResponseWriter, encoded []byte) {
	w.Header().Set("Content-Type", "application/json")
	w.Header().Set("Content-Encoding", "gzip")
	w.Header().Set("Content-Length", strconv.Itoa(len(encoded)))
	_, _ = w.Write(encoded)
}
