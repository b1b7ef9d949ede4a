package sidecar

import (
	"bytes"
	"context"
	"encoding/json"
	"io"
	"math/rand/v2"
	"net/http"
	"strings"
	"sync"
	"time"

	"github.com/magnoliamount/magnoliamount/internal/fault"
	"github.com/magnoliamount/magnoliamount/internal/mesh"
	"github.com/magnoliamount/magnoliamount/internal/rows"
)

const (
	// lostStatePath is the path on the peer listener at which a starting daemon gets
	// the state that a restore of the store may have lost.
	lostStatePath = "/v2/lost-state"
	// lostStateRounds and lostStateRoundTimeout bound the time for which a start waits
	// for other daemons, some of which may be down. A round asks gossipFanout
	// daemons; another one follows only if none of them has loaded the tables.
	lostStateRounds       = 2
	lostStateRoundTimeout = 400 * time.Millisecond
	// furtherResponsesDelay is how long a round waits for further daemons after one that
	// has loaded the tables has responded. Some of the listed VMs may be gone.
	furtherResponsesDelay = 50 * time.Millisecond
	// configurationListDelay bounds how long the rounds wait for the list of the
	// operators' table, which is requested at the same time.
	configurationListDelay = 200 * time.Millisecond
	// firstOperatorRowsDelay bounds how long the first rows of operators wait for
	// the first list of the mesh table, which follows the rounds.
	firstOperatorRowsDelay = configurationListDelay + lostStateRounds*lostStateRoundTimeout + 200*time.Millisecond
)

// firstLists passes the results of a daemon's first lists between the followers
// of its tables.
type firstLists struct {
	// configuration receives the version of the configuration in the first list of
	// the operators' table, or zero without one.
	configuration chan uint64
	// meshApplied is closed when the first list of the mesh table is applied.
	meshApplied chan struct{}
	once        sync.Once
}

func newFirstLists() firstLists {
	return firstLists{configuration: make(chan uint64, 1), meshApplied: make(chan struct{})}
}

func (l *firstLists) setMeshApplied() { l.once.Do(func() { close(l.meshApplied) }) }

// lostStateRequest asks for the state that a restored store may lack.
type lostStateRequest struct {
	// Configuration is the version of the configuration that the sender has.
	Configuration uint64 `json:"configuration"`
}

// lostStateResponse is the state of a daemon that a restore of the store may have
// lost.
type lostStateResponse struct {
	VM string `json:"vm"`
	// Loaded is false while the daemon has not loaded both tables itself.
	Loaded bool `json:"loaded"`
	// Configuration is the row of the configuration in force if it is newer than
	// the sender's.
	Configuration []wireRow   `json:"configuration,omitempty"`
	Orders        []wireOrder `json:"orders,omitempty"`
	Mesh          []wireRow   `json:"mesh,omitempty"`
}

// wireOrder is a mesh.Order in a lostStateResponse.
type wireOrder struct {
	Service  string `json:"service"`
	Version  string `json:"version"`
	WithinNS int64  `json:"within_ns"`
	Revision uint64 `json:"revision"`
}

// serveLostState serves lostStatePath.
func (d *Daemon) serveLostState(w http.ResponseWriter, r *http.Request) {
	var request lostStateRequest
	if err := json.NewDecoder(io.LimitReader(r.Body, maxGossipBytes)).Decode(&request); err != nil {
		http.Error(w, "the request cannot be decoded", http.StatusBadRequest)
		return
	}
	var response lostStateResponse
	d.loop.call(func(now time.Time) { response = d.lostState(now, request.Configuration) })
	if strings.Contains(r.Header.Get("Accept-Encoding"), "gzip") {
		writeEncoded(w, encodeCompressed(&response))
		return
	}
	writeJSON(w, &response)
}

// lostState returns the state that a restored store may lack, with the
// configuration if it is newer than the version. It runs in the event loop.
func (d *Daemon) lostState(now time.Time, configuration uint64) lostStateResponse {
	response := lostStateResponse{VM: d.config.VM, Loaded: d.meshLoaded && d.operatorsLoaded, Mesh: toWireRows(d.node.KnownRows(now))}
	if c := d.node.Configuration(); c != nil && c.Version > configuration {
		response.Configuration = toWireRows([]rows.Row{d.configurationRow})
	}
	for _, o := range d.node.KnownOrders() {
		response.Orders = append(response.Orders, wireOrder{o.Service, o.Version, int64(o.Within), o.Revision})
	}
	return response
}

// mayHaveLostState reports whether the store may have lost state in a restore that
// other daemons know. At a first start of the whole mesh there is none.
func (d *Daemon) mayHaveLostState(snapshot rows.Snapshot) bool {
	return rows.Era(snapshot.Version) > 0 && !d.config.FirstStart
}

// recoverLostState asks other daemons for the state that the store may lack, and
// applies it before the daemon's first list of the mesh table. Without it, a
// daemon that starts after a restore of the store takes the configuration, the
// orders and the moves of the backup for the newest ones.
func (d *Daemon) recoverLostState(ctx context.Context, snapshot rows.Snapshot) {
	era := rows.Era(snapshot.Version)
	if !d.mayHaveLostState(snapshot) {
		return
	}
	var configuration uint64
	select {
	case configuration = <-d.firstLists.configuration:
	case <-time.After(configurationListDelay):
	}
	peers := d.listedPeers(snapshot)
	rand.Shuffle(len(peers), func(i, j int) { peers[i], peers[j] = peers[j], peers[i] })
	var all []*lostStateResponse
	loaded := 0
	for range lostStateRounds {
		asked := peers[:min(gossipFanout, len(peers))]
		peers = peers[len(asked):]
		for _, response := range d.requestLostState(ctx, asked, lostStateRequest{Configuration: configuration}) {
			all = append(all, response)
			if response.Loaded {
				loaded++
			}
		}
		if loaded > 0 {
			break
		}
	}
	d.loop.call(func(now time.Time) { d.applyLostState(now, all) })
	d.logger.Info().Str("event", "lost-state").Uint64("era", era).Int("responses", len(all)).Int("loaded", loaded).Msg("asked other daemons for state that the store may lack")
}

// listedPeers returns the peer addresses of the daemons of ready targets in the list
// of the mesh table, and of those that have sent requests. A daemon that is listed
// as draining may have ended.
func (d *Daemon) listedPeers(snapshot rows.Snapshot) []string {
	known := map[string]bool{d.config.Peer: true}
	var peers []string
	add := func(address string) {
		if address != "" && !known[address] {
			known[address] = true
			peers = append(peers, address)
		}
	}
	for _, row := range snapshot.Rows {
		record, err := mesh.DecodeTarget(row)
		if err == nil && record.VM != d.config.VM && record.State == "ready" {
			add(record.Peer)
		}
	}
	for _, address := range d.senders.list() {
		add(address)
	}
	return peers
}

// requestLostState asks the daemons at the addresses at the same time and returns
// the responses that arrive within lostStateRoundTimeout, or within furtherResponsesDelay
// after the first one of a daemon that has loaded the tables.
func (d *Daemon) requestLostState(ctx context.Context, addresses []string, request lostStateRequest) []*lostStateResponse {
	ctx, cancel := context.WithTimeout(ctx, lostStateRoundTimeout)
	defer cancel()
	responses := make(chan *lostStateResponse, len(addresses))
	for _, address := range addresses {
		go func() {
			response, err := d.sendLostStateRequest(ctx, address, request)
			if err != nil {
				d.logger.Debug().Err(err).Str("event", "lost-state-failed").Str("peer", address).Msg("request for lost state failed")
			}
			responses <- response
		}()
	}
	var received []*lostStateResponse
	var enough <-chan time.Time
	for range addresses {
		select {
		case response := <-responses:
			if response == nil {
				continue
			}
			received = append(received, response)
			if response.Loaded && enough == nil {
				enough = time.After(furtherResponsesDelay)
			}
		case <-enough:
			return received
		case <-ctx.Done():
			return received
		}
	}
	return received
}

// sendLostStateRequest asks the daemon at the address.
func (d *Daemon) sendLostStateRequest(ctx context.Context, address string, message lostStateRequest) (*lostStateResponse, error) {
	encoded, err := json.Marshal(message)
	if err != nil {
		return nil, fault.Wrap(err, fault.Internal, "cannot encode a request for lost state")
	}
	request, err := http.NewRequestWithContext(ctx, http.MethodPost, "http://"+address+lostStatePath, bytes.NewReader(encoded))
	if err != nil {
		return nil, fault.Wrap(err, fault.Invalid, "invalid daemon address %q", address)
	}
	response, err := d.peerClient.Do(request)
	if err != nil {
		return nil, fault.Wrap(err, fault.Unavailable, "cannot reach the daemon at %s", address)
	}
	defer response.Body.Close()
	if response.StatusCode != http.StatusOK {
		return nil, fault.New(fault.Unavailable, "the daemon at %s responded with status %d", address, response.StatusCode)
	}
	received := &lostStateResponse{}
	if err := json.NewDecoder(io.LimitReader(response.Body, maxGossipBytes)).Decode(received); err != nil {
		return nil, fault.Wrap(err, fault.Protocol, "cannot decode the response of the daemon at %s", address)
	}
	return received, nil
}

// applyLostState applies the state of other daemons. It runs in the event loop.
func (d *Daemon) applyLostState(now time.Time, all []*lostStateResponse) {
	var orders []mesh.Order
	var known []rows.Row
	for _, response := range all {
		for _, row := range fromWireRows(response.Configuration) {
			d.applyKnownConfiguration(row)
		}
		for _, o := range response.Orders {
			orders = append(orders, mesh.Order{Service: o.Service, Version: o.Version, Within: time.Duration(o.WithinNS), Revision: o.Revision})
		}
		known = append(known, fromWireRows(response.Mesh)...)
	}
	d.logRefusedRows(d.node.ApplyKnown(now, orders, known))
}

// applyKnownConfiguration applies a configuration that another daemon has in
// force. It runs in the event loop.
func (d *Daemon) applyKnownConfiguration(row rows.Row) {
	decoded, err := d.config.Operators.Decode(row)
	if err != nil {
		d.logger.Error().Err(err).Str("event", "row-refused").Str("row", row.Name).Msg("invalid configuration of another daemon ignored")
		return
	}
	if c, ok := decoded.(*mesh.Configuration); ok {
		d.setConfiguration(row, c)
	}
}

// awaitFirstMeshList returns when the mesh table was listed or after
// firstOperatorRowsDelay, if the store was restored from a backup. An order of the
// backup that a later one has replaced is refused only after that.
func (d *Daemon) awaitFirstMeshList(ctx context.Context, snapshot rows.Snapshot) {
	if !d.mayHaveLostState(snapshot) {
		return
	}
	select {
	case d.firstLists.configuration <- d.listedConfiguration(snapshot):
	default:
	}
	timeout := time.NewTimer(firstOperatorRowsDelay)
	defer timeout.Stop()
	select {
	case <-d.firstLists.meshApplied:
	case <-timeout.C:
	case <-ctx.Done():
	}
}

// listedConfiguration returns the version of the configuration in the list of the
// operators' table, or zero without a valid one.
func (d *Daemon) listedConfiguration(snapshot rows.Snapshot) uint64 {
	for _, row := range snapshot.Rows {
		if decoded, err := d.config.Operators.Decode(row); err == nil {
			if c, ok := decoded.(*mesh.Configuration); ok {
				return c.Version
			}
		}
	}
	return 0
}
