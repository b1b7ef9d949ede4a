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
	// gossipPath takes what another daemon knows and answers what it lacks.
	gossipPath = "/v1/rows"
	// gossipInterval is how often a daemon without the store asks another one.
	gossipInterval = 400 * time.Millisecond
	// gossipFanout is how many daemons are asked at a time.
	gossipFanout = 3
	// writeFailedFor is how long a failed write counts as a store that does
	// not answer. A watch that waits for changes does not notice.
	writeFailedFor = time.Second
	// maxCallers bounds the daemons that are known only by their requests.
	maxCallers = 16
	// maxGossipBytes bounds a message: two tables of up to a few hundred rows.
	maxGossipBytes = 8 << 20
)

// known is what a daemon knows of a table.
type known struct {
	Version uint64    `json:"version"`
	Rows    []sentRow `json:"rows,omitempty"`
}

// gossip is a message between daemons, either because the store does not answer
// the sender or because the receiver reads the store for it. The sender states
// the versions that it has; the answer holds the rows that it lacks.
type gossip struct {
	VM        string             `json:"vm"`
	Peer      string             `json:"peer"`
	Operators known              `json:"operators"`
	Mesh      known              `json:"mesh"`
	Own       *mesh.TargetRecord `json:"own,omitempty"`
	// WaitMS is how long the receiver may wait for news, in milliseconds.
	WaitMS int64 `json:"wait_ms,omitempty"`
	// Reading is true in the answer of a daemon that reads the store, and
	// StoreLost in that of one that learns of no changes at the moment.
	Reading   bool `json:"reading,omitempty"`
	StoreLost bool `json:"store_lost,omitempty"`
}

// gossip exchanges rows with other daemons while the store is lost.
func (d *Daemon) gossip(ctx context.Context) {
	ticker := time.NewTicker(gossipInterval)
	defer ticker.Stop()
	for {
		select {
		case <-ticker.C:
		case <-ctx.Done():
			return
		}
		if !d.withoutStore() {
			continue
		}
		var peers []string
		d.loop.call(func(time.Time) { peers = d.node.PeerAddresses() })
		if len(peers) == 0 {
			peers = d.callers.list()
		}
		rand.Shuffle(len(peers), func(i, j int) { peers[i], peers[j] = peers[j], peers[i] })
		for _, peer := range peers[:min(gossipFanout, len(peers))] {
			go d.exchange(ctx, peer)
		}
	}
}

// withoutStore reports whether the store does not answer this daemon.
func (d *Daemon) withoutStore() bool {
	return d.storeLost.Load() || time.Now().UnixNano()-d.writeFailed.Load() < int64(writeFailedFor)
}

// noteWrite takes note of how a write to the store ended.
func (d *Daemon) noteWrite(err error) {
	switch fault.KindOf(err) {
	case fault.Unavailable, fault.UnknownOutcome, fault.Throttled:
		d.writeFailed.Store(time.Now().UnixNano())
	default:
		d.writeFailed.Store(0)
	}
}

// callers remembers the daemons that send requests. A daemon that starts while
// the store is down knows no others.
type callers struct {
	// port is that of the peer listener, which is the same on all VMs.
	port string
	mu   sync.Mutex
	seen []string
}

// record wraps the inbound proxy while it is not known who else there is.
func (c *callers) record(next http.Handler, needed func() bool) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		if needed() {
			c.add(r.RemoteAddr)
		}
		next.ServeHTTP(w, r)
	})
}

func (c *callers) add(remote string) {
	host, _, err := net.SplitHostPort(remote)
	if err != nil {
		return
	}
	address := net.JoinHostPort(host, c.port)
	c.mu.Lock()
	defer c.mu.Unlock()
	if len(c.seen) < maxCallers && !slices.Contains(c.seen, address) {
		c.seen = append(c.seen, address)
	}
}

func (c *callers) list() []string {
	c.mu.Lock()
	defer c.mu.Unlock()
	return slices.Clone(c.seen)
}

// digest says what this daemon has. It runs in the loop.
func (d *Daemon) digest() gossip {
	return gossip{
		VM: d.config.VM, Peer: d.config.Peer, Own: d.own.record(),
		Operators: known{Version: d.tables.operators.newest()}, Mesh: known{Version: d.tables.mesh.newest()},
	}
}

// exchange asks the daemon at the address for the rows that this one lacks.
func (d *Daemon) exchange(ctx context.Context, address string) {
	var message gossip
	d.loop.call(func(time.Time) { message = d.digest() })
	answer, err := d.sendGossip(ctx, d.peers, address, message, nil)
	if err != nil {
		d.logger.Debug().Err(err).Str("event", "gossip-failed").Str("peer", address).Msg("a daemon does not answer")
		return
	}
	d.loop.call(func(now time.Time) { d.takeRows(now, answer) })
}

// sendGossip sends the message and returns the answer. The watch, if there is
// one, learns of the answer's progress.
func (d *Daemon) sendGossip(ctx context.Context, client *http.Client, address string, message gossip, watch *progress.Watchdog) (*gossip, error) {
	encoded, err := json.Marshal(message)
	if err != nil {
		return nil, fault.Wrap(err, fault.Internal, "encode what this daemon knows")
	}
	request, err := http.NewRequestWithContext(ctx, http.MethodPost, "http://"+address+gossipPath, bytes.NewReader(encoded))
	if err != nil {
		return nil, fault.Wrap(err, fault.Invalid, "a daemon's address %q", address)
	}
	response, err := client.Do(request)
	if err != nil {
		return nil, fault.Wrap(err, fault.Unavailable, "the daemon at %s", address)
	}
	defer response.Body.Close()
	if response.StatusCode != http.StatusOK {
		return nil, fault.New(fault.Unavailable, "the daemon at %s answered status %d", address, response.StatusCode)
	}
	body := io.Reader(response.Body)
	if watch != nil {
		body = watch.Reader(body)
	}
	answer := &gossip{}
	if err := json.NewDecoder(io.LimitReader(body, maxGossipBytes)).Decode(answer); err != nil {
		return nil, fault.Wrap(err, fault.Protocol, "the answer of the daemon at %s", address)
	}
	return answer, nil
}

// takeRows takes over the rows of another daemon. It runs in the loop.
func (d *Daemon) takeRows(now time.Time, g *gossip) {
	operators := d.tables.operators.merge(receivedRows(g.Operators.Rows))
	for _, row := range operators {
		d.operatorRow(row)
	}
	fresh := d.tables.mesh.merge(receivedRows(g.Mesh.Rows))
	if len(operators)+len(fresh) > 0 {
		d.logger.Info().Str("event", "rows-heard").Str("from", g.VM).Int("operators", len(operators)).Int("mesh", len(fresh)).Msg("another daemon knew newer rows")
	}
	changes := make([]rows.Change, 0, len(fresh))
	for _, row := range fresh {
		changes = append(changes, rows.Change{Row: row})
	}
	d.refused(d.node.ApplyChanges(now, changes))
	for _, row := range fresh {
		d.own.saw(row)
	}
	if g.Own != nil {
		d.node.MergeTarget(now, g.Own)
	}
	d.configured = d.configured || len(operators) > 0
	if len(fresh) > 0 {
		d.meshKnown()
	}
	if len(operators)+len(fresh) > 0 {
		d.tables.wake()
	}
}

// takeGossip serves gossipPath. A daemon that lacks rows of the sender asks it
// in return, and so learns of the mesh without the store.
func (d *Daemon) takeGossip(w http.ResponseWriter, r *http.Request) {
	var message gossip
	if err := json.NewDecoder(io.LimitReader(r.Body, maxGossipBytes)).Decode(&message); err != nil {
		http.Error(w, "the rows cannot be decoded", http.StatusBadRequest)
		return
	}
	var answer gossip
	behind := false
	if message.Own != nil {
		d.loop.call(func(now time.Time) { d.node.MergeTarget(now, message.Own) })
	}
	asked := message.WaitMS > 0
	if asked {
		d.awaitNews(r.Context(), &message)
	}
	var key answerKey
	var newer []rows.Row
	d.loop.call(func(now time.Time) {
		answer = d.digest()
		if asked {
			answer = d.cursors()
			answer.Reading, answer.StoreLost = d.reading.Load(), d.cutOff()
		}
		key = d.answerKey(&message, &answer)
		newer = append(d.tables.operators.since(message.Operators.Version), d.tables.mesh.since(message.Mesh.Version)...)
		behind = answer.Operators.Version < message.Operators.Version || answer.Mesh.Version < message.Mesh.Version
	})
	if len(newer) == 0 || !strings.Contains(r.Header.Get("Accept-Encoding"), "gzip") {
		answer.addRows(newer)
		writeGossip(w, &answer)
	} else {
		writeEncoded(w, d.answers.get(key, func() []byte {
			answer.addRows(newer)
			return encodeGossip(&answer)
		}))
	}
	if behind && !asked && message.Peer != "" {
		go d.exchange(context.WithoutCancel(r.Context()), message.Peer)
	}
}

// addRows adds rows of both tables to the message.
func (g *gossip) addRows(all []rows.Row) {
	for _, row := range sendRows(all) {
		if row.Table == mesh.Table {
			g.Mesh.Rows = append(g.Mesh.Rows, row)
			continue
		}
		g.Operators.Rows = append(g.Operators.Rows, row)
	}
}

func writeGossip(w http.ResponseWriter, answer *gossip) {
	w.Header().Set("Content-Type", "application/json")
	// A daemon that has gone away asks another one, so that failures of writing
	// need no handling.
	_ = json.NewEncoder(w).Encode(answer)
}

// writeEncoded sends what encodeGossip returned.
func writeEncoded(w http.ResponseWriter, encoded []byte) {
	w.Header().Set("Content-Type", "application/json")
	w.Header().Set("Content-Encoding", "gzip")
	w.Header().Set("Content-Length", strconv.Itoa(len(encoded)))
	_, _ = w.Write(encoded)
}
