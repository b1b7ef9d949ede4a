package sidecar

import (
	"bytes"
	"context"
	"encoding/json"
	"net/http"
	"net/http/httptest"
	"reflect"
	"slices"
	"strings"
	"testing"
	"time"

	"github.com/magnoliamount/magnoliamount/internal/logging"
	"github.com/magnoliamount/magnoliamount/internal/mesh"
	"github.com/magnoliamount/magnoliamount/internal/rows"
)

const (
	// maxFuzzMessageBytes bounds generated messages.
	maxFuzzMessageBytes = 4 << 10
	// fuzzRequestTimeout bounds a request with a generated message.
	fuzzRequestTimeout = 5 * time.Second
)

// refusingTransport sends nothing, since a generated message may name any address.
type refusingTransport struct{}

func (refusingTransport) RoundTrip(*http.Request) (*http.Response, error) {
	return nil, http.ErrServerClosed
}

// startFuzzDaemon returns a daemon with its event loop, which has the rows of a
// small mesh.
func startFuzzDaemon(t *testing.T, vm string) *Daemon {
	t.Helper()
	d := New(Config{VM: vm, Domain: "a", Service: "s", Store: newRestoredStore(), Operators: versionedOperators{}, Inbound: "10.0.0.1:1", Logger: logging.Discard().Component("test")})
	ctx, cancel := context.WithCancel(context.Background())
	d.backgroundContext = ctx
	d.peerClient = &http.Client{Transport: refusingTransport{}}
	go d.run(ctx)
	t.Cleanup(func() {
		cancel()
		<-d.loop.done
	})
	record := &mesh.TargetRecord{VM: "b", Incarnation: 1, Sequence: 1, State: "ready", Domain: "a", Inbound: "10.0.0.1:1", Peer: "10.0.0.1:2", Service: "s", Version: "v1", Slots: 4}
	row := record.Row()
	row.Version = 2
	meshRows := []rows.Row{row, {Key: rows.Key{Table: mesh.Table, Name: "baseline/s"}, Value: []byte(`{"version":"v1"}`), Version: 3}}
	d.loop.call(func(now time.Time) {
		// The daemon does not look for its target, which does not exist.
		d.meshLoaded, d.operatorsLoaded = true, true
		d.applyGossip(now, &gossipMessage{VM: "b",
			Operators: tableUpdate{Rows: toWireRows([]rows.Row{{Key: rows.Key{Table: "operators", Name: "config"}, Value: []byte("5"), Version: 1}})},
			Mesh:      tableUpdate{Rows: toWireRows(meshRows)},
		})
	})
	return d
}

// post sends the message to the handler and returns the response.
func post(t *testing.T, handler http.HandlerFunc, message []byte) *httptest.ResponseRecorder {
	t.Helper()
	ctx, cancel := context.WithTimeout(context.Background(), fuzzRequestTimeout)
	defer cancel()
	response := httptest.NewRecorder()
	begin := time.Now()
	handler(response, httptest.NewRequestWithContext(ctx, http.MethodPost, "/", bytes.NewReader(message)))
	if took := time.Since(begin); took >= fuzzRequestTimeout {
		t.Fatalf("the daemon responded after %v", took)
	}
	return response
}

// checkServing fails unless the daemon serves its rows to a daemon without rows.
func checkServing(t *testing.T, d *Daemon) *gossipMessage {
	t.Helper()
	response := post(t, d.serveGossip, []byte("{}"))
	received := &gossipMessage{}
	if err := json.Unmarshal(response.Body.Bytes(), received); err != nil || response.Code != http.StatusOK {
		t.Fatalf("status %d: %v", response.Code, err)
	}
	if received.VM != d.config.VM || len(received.Operators.Rows) == 0 || len(received.Mesh.Rows) == 0 {
		t.Fatalf("the daemon no longer serves its rows: %+v", received)
	}
	return received
}

// nodeState returns the state of the daemon's node.
func nodeState(t *testing.T, d *Daemon) string {
	t.Helper()
	var state []byte
	var err error
	d.loop.call(func(now time.Time) {
		n := d.node
		state, err = json.Marshal([]any{n.KnownOrders(), n.KnownRows(now), n.CrashCounts(), n.Routing(), n.PeerAddresses(), n.DaemonShares(), n.OwnTarget(), n.Configuration()})
	})
	if err != nil {
		t.Fatal(err)
	}
	return string(state)
}

// encodings returns the rows in a canonical sequence.
func encodings(all []wireRow) []string {
	var encoded []string
	for _, row := range toWireRows(fromWireRows(all)) {
		text, _ := json.Marshal(row)
		encoded = append(encoded, string(text))
	}
	slices.Sort(encoded)
	return encoded
}

var gossipSeeds = []string{
	`{}`, `null`, `[]`, `{`, "", `{"operators":{"rows":[null]},"mesh":{"rows":[{}]}}`,
	`{"vm":"b","peer":"127.0.0.1:1","operators":{"version":9},"mesh":{"version":18446744073709551615},"wait_ms":-1}`,
	`{"wait_ms":9223372036854775807}`, `{"peer":"%zz","mesh":{"version":9}}`,
	`{"own":{"vm":"b","incarnation":3,"state":"draining","inbound":"10.0.0.1:1","service":"s","version":"v2","slots":4}}`,
	`{"mesh":{"rows":[{"table":"mesh","name":"target/b","text":"{\"vm\":\"c\"}","version":7}]}}`,
	`{"mesh":{"rows":[{"table":"mesh","name":"target/c","text":"{\"vm\":\"c\",\"incarnation\":1,\"inbound\":\"x\",\"state\":\"gone\"}","version":7}]}}`,
	`{"mesh":{"rows":[{"table":"mesh","name":"move/s","text":"{\"order\":4,\"epoch\":1,\"from\":\"v1\",\"to\":\"v2\"}","version":8}]}}`,
	`{"mesh":{"rows":[{"table":"mesh","name":"crash/f","value":"eyJjb3VudCI6Mn0=","version":1099511627777}]}}`,
	`{"operators":{"rows":[{"table":"operators","name":"config","text":"6","version":4},{"table":"x","name":"y","value":"/w==","version":5}]}}`,
}

// FuzzGossip guards against messages of other daemons that crash a daemon or stop
// it from serving, whose refused rows change the state of its node, or whose rows
// change when it sends them on.
func FuzzGossip(f *testing.F) {
	for _, seed := range gossipSeeds {
		f.Add([]byte(seed))
	}
	f.Fuzz(func(t *testing.T, data []byte) {
		if len(data) > maxFuzzMessageBytes {
			return
		}
		d := startFuzzDaemon(t, "a")
		request := post(t, d.serveGossip, data)
		if request.Code != http.StatusOK && request.Code != http.StatusBadRequest {
			t.Fatalf("status %d", request.Code)
		}
		checkServing(t, d)
		message := &gossipMessage{}
		if json.NewDecoder(bytes.NewReader(data)).Decode(message) != nil {
			return
		}
		message.Own = nil
		before := nodeState(t, d)
		d.loop.call(func(now time.Time) { d.applyGossip(now, message) })
		served := checkServing(t, d)
		if after := nodeState(t, d); refusesAll(message) && after != before {
			t.Fatalf("refused rows changed the state\nfrom %s\nto   %s", before, after)
		}
		other := startFuzzDaemon(t, "c")
		encoded, err := json.Marshal(served)
		if err != nil {
			t.Fatal(err)
		}
		if err := json.Unmarshal(encoded, served); err != nil {
			t.Fatal(err)
		}
		other.loop.call(func(now time.Time) { other.applyGossip(now, served) })
		again := checkServing(t, other)
		if got, want := encodings(slices.Concat(again.Operators.Rows, again.Mesh.Rows)), encodings(slices.Concat(served.Operators.Rows, served.Mesh.Rows)); !reflect.DeepEqual(got, want) {
			t.Fatalf("rows change when they are sent on:\n%s\n%s", strings.Join(want, "\n"), strings.Join(got, "\n"))
		}
	})
}

// refusesAll reports whether a new node and the operators refuse all rows of the
// message.
func refusesAll(message *gossipMessage) bool {
	for _, row := range fromWireRows(message.Operators.Rows) {
		if _, err := (versionedOperators{}).Decode(row); err == nil {
			return false
		}
	}
	n := mesh.NewNode(mesh.Self{VM: "a"})
	for _, row := range fromWireRows(message.Mesh.Rows) {
		if len(n.ApplyChanges(time.Now(), []rows.Change{{Row: row}})) == 0 {
			return false
		}
	}
	return true
}

// FuzzLostState guards against requests and responses of starting daemons that crash a
// daemon or stop it from serving, and against state that changes when it is sent on.
func FuzzLostState(f *testing.F) {
	for _, seed := range []string{
		`{"configuration":4}`, `{"configuration":-1}`, `{}`, `null`, "", `{`,
		`{"vm":"b","loaded":true,"configuration":[{"table":"operators","name":"config","text":"9","version":4}]}`,
		`{"configuration":[{"name":"config","text":"x"}],"orders":[{}],"mesh":[{}]}`,
		`{"orders":[{"service":"s","version":"v2","within_ns":60000000000,"revision":7},{"service":"s","version":"v1","within_ns":-1,"revision":18446744073709551615}]}`,
		`{"orders":[{"service":"s","version":"v2","within_ns":1000000000,"revision":7}],"mesh":[{"table":"mesh","name":"move/s","text":"{\"order\":7,\"epoch\":1,\"from\":\"v1\",\"to\":\"v2\",\"finish_ms\":1000}","version":9}]}`,
		`{"mesh":[{"table":"mesh","name":"baseline/s","text":"{\"version\":\"v2\",\"era\":1,\"origin\":5}","version":1099511627785},{"table":"mesh","name":"crash/1","text":"{\"count\":1}"}]}`,
	} {
		f.Add([]byte(seed))
	}
	f.Fuzz(func(t *testing.T, data []byte) {
		if len(data) > maxFuzzMessageBytes {
			return
		}
		d := startFuzzDaemon(t, "a")
		if code := post(t, d.serveLostState, data).Code; code != http.StatusOK && code != http.StatusBadRequest {
			t.Fatalf("status %d", code)
		}
		message := &lostStateResponse{}
		if json.NewDecoder(bytes.NewReader(data)).Decode(message) != nil {
			checkServing(t, d)
			return
		}
		d.loop.call(func(now time.Time) { d.applyLostState(now, []*lostStateResponse{message}) })
		checkServing(t, d)
		state := func(d *Daemon) (u lostStateResponse) {
			t.Helper()
			response := post(t, d.serveLostState, []byte("{}"))
			if err := json.Unmarshal(response.Body.Bytes(), &u); err != nil {
				t.Fatalf("status %d: %v", response.Code, err)
			}
			return u
		}
		sent := state(d)
		other := startFuzzDaemon(t, "c")
		other.loop.call(func(now time.Time) { other.applyLostState(now, []*lostStateResponse{&sent}) })
		received := state(other)
		if got, want := encodings(received.Mesh), encodings(sent.Mesh); !reflect.DeepEqual(got, want) {
			t.Fatalf("rows change when they are sent on:\n%s\n%s", strings.Join(want, "\n"), strings.Join(got, "\n"))
		}
		if !reflect.DeepEqual(received.Configuration, sent.Configuration) {
			t.Fatalf("the configuration changes when it is sent on: %+v, %+v", sent.Configuration, received.Configuration)
		}
		if got, want := services(received.Orders), services(sent.Orders); !reflect.DeepEqual(got, want) {
			t.Fatalf("orders of services %q become those of %q when they are sent on", want, got)
		}
		checkServing(t, other)
	})
}

func services(orders []wireOrder) []string {
	var names []string
	for _, o := range orders {
		names = append(names, o.Service)
	}
	slices.Sort(names)
	return slices.Compact(names)
}
