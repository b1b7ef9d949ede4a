package sidecar

import (
	"context"
	"net"
	"net/http"
	"net/http/httptest"
	"sync/atomic"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/magnoliamount/magnoliamount/internal/fault"
	"github.com/magnoliamount/magnoliamount/internal/logging"
	"github.com/magnoliamount/magnoliamount/internal/member"
	"github.com/magnoliamount/magnoliamount/internal/mesh"
	"github.com/magnoliamount/magnoliamount/internal/rows"
)

// changing is a store whose table has a new row whenever it is asked.
type changing struct {
	rows.Store
	watches, lists atomic.Int64
	// down makes every list fail.
	down atomic.Bool
}

func (c *changing) List(context.Context, string) (rows.Snapshot, error) {
	c.lists.Add(1)
	if c.down.Load() {
		return rows.Snapshot{}, fault.New(fault.Unavailable, "the store is down")
	}
	return rows.Snapshot{Version: 1}, nil
}

func (c *changing) Watch(_ context.Context, table string, after uint64, _ time.Duration) ([]rows.Change, uint64, error) {
	c.watches.Add(1)
	return []rows.Change{{Row: rows.Row{Key: rows.Key{Table: table, Name: "x"}, Version: after + 1}}}, after + 1, nil
}

// patience bounds what a spec waits for.
const patience = 5 * time.Second

// noOperators is a platform whose operators write nothing.
type noOperators struct{ Operators }

func (noOperators) Table() string                { return "operators" }
func (noOperators) Decode(rows.Row) (any, error) { return nil, nil }

// slowHealth is a target that says that it is healthy once it is released.
type slowHealth struct{ release chan struct{} }

func (s slowHealth) Check(string, string) (string, bool, error) {
	<-s.release
	return "i", true, nil
}

var _ = Describe("a heartbeat at a young daemon", func() {
	// Guards against a leaving target that is taken for ready, since its health
	// was asked for before its farewell.
	It("does not count after a farewell", func() {
		health := slowHealth{make(chan struct{})}
		d := New(Config{VM: "a", Store: &changing{}, Operators: noOperators{}, Health: health, Logger: logging.Discard().Component("test")})
		d.node.SetConfiguration(&mesh.Configuration{Version: 1, Services: map[string]mesh.Service{"order": {Name: "order", HealthPath: "/health"}}})
		ctx, cancel := context.WithCancel(context.Background())
		defer cancel()
		go d.run(ctx)
		state := func() (state member.State) {
			d.loop.call(func(time.Time) { state = d.target.state })
			return state
		}
		beat := Heartbeat{Instance: "i", Born: 1, Sequence: 1, Service: "order", Version: "v1", Slots: 1}
		d.Beat(beat)
		d.Leave("i")
		close(health.release)
		Consistently(state, 200*time.Millisecond, 10*time.Millisecond).Should(Equal(member.State(0)))
		beat.Sequence++
		d.Beat(beat)
		Eventually(state, patience, 10*time.Millisecond).Should(Equal(member.Ready))
	})
})

var _ = Describe("watches of the store", func() {
	// Guards against calls that grow with the square of the daemons: the start
	// of 81 daemons made 8,000 calls, since each row woke all of them.
	It("are spaced by the number of daemons while a table keeps changing", func() {
		store := &changing{}
		d := New(Config{VM: "a", Store: store, Operators: noOperators{}, Logger: logging.Discard().Component("test")})
		d.daemons.Store(25)
		ctx, cancel := context.WithCancel(context.Background())
		defer cancel()
		var changes atomic.Int64
		f := &follower{d: d, table: "t", copy: &d.tables.operators, reset: func(time.Time, []rows.Row) {}, change: func(time.Time, []rows.Change) { changes.Add(1) }}
		go d.run(ctx)
		go f.run(ctx, true)
		time.Sleep(700 * time.Millisecond)
		// One watch each 250 ms.
		Expect(store.watches.Load()).To(BeNumerically("<=", 4))
		Expect(changes.Load()).To(BeNumerically(">=", 2))
	})

	// Guards against daemons that stay with a reader that does not answer any
	// more, and so miss the bound for a configuration.
	It("begin at once when the reader of the failure domain is silent", func() {
		silent, err := net.Listen("tcp", "127.0.0.1:0")
		Expect(err).NotTo(HaveOccurred())
		DeferCleanup(func() { _ = silent.Close() })
		store := &changing{}
		d := New(Config{VM: "a", Store: store, Operators: noOperators{}, Logger: logging.Discard().Component("test")})
		relay := mesh.Relay{Sources: []string{silent.Addr().String()}}
		d.relay.Store(&relay)
		ctx, cancel := context.WithCancel(context.Background())
		defer cancel()
		go d.followRows(ctx)
		go d.run(ctx)
		time.Sleep(relayWait / 2)
		Expect(store.watches.Load()).To(BeZero())
		Eventually(store.watches.Load, relayWait+relayMargin, 20*time.Millisecond).Should(BeNumerically(">=", 1))
	})

	// Guards against two daemons that each take the other one for a reader: on
	// trouble-3 of bergfeder-clip-grown, no daemon of a failure domain put a
	// configuration into force for 2.9 s.
	It("begin when the other daemon does not read the store", func() {
		var second *Daemon
		peer := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) { second.takeGossip(w, r) }))
		DeferCleanup(peer.Close)
		address := peer.Listener.Addr().String()
		second = New(Config{VM: "b", Store: &changing{}, Operators: noOperators{}, Logger: logging.Discard().Component("test")})
		ctx, cancel := context.WithCancel(context.Background())
		defer cancel()
		go second.run(ctx)
		store := &changing{}
		first := New(Config{VM: "a", Store: store, Operators: noOperators{}, Logger: logging.Discard().Component("test")})
		relay := mesh.Relay{Sources: []string{address}}
		first.relay.Store(&relay)
		go first.followRows(ctx)
		go first.run(ctx)
		Eventually(store.watches.Load, relayWait/2, 10*time.Millisecond).Should(BeNumerically(">=", 1))
	})

	// Guards against calls of the store by every daemon whose reader has just
	// stopped to be one, although the failure domain has another reader: on
	// trouble-1 of lipa-reorder-large that was the usual case while 115 daemons
	// were restarted in turn.
	It("are left to the other reader when the first one does not read the store", func() {
		reader := func(reading bool) string {
			asked := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
				sleep(r.Context(), 50*time.Millisecond)
				writeGossip(w, &gossip{VM: "b", Reading: reading})
			}))
			DeferCleanup(asked.Close)
			return asked.Listener.Addr().String()
		}
		store := &changing{}
		d := New(Config{VM: "a", Store: store, Operators: noOperators{}, Logger: logging.Discard().Component("test")})
		relay := mesh.Relay{Sources: []string{reader(false), reader(true)}}
		d.relay.Store(&relay)
		ctx, cancel := context.WithCancel(context.Background())
		defer cancel()
		go d.followRows(ctx)
		go d.run(ctx)
		time.Sleep(500 * time.Millisecond)
		Expect(store.lists.Load()).To(BeZero())
		Expect(store.watches.Load()).To(BeZero())
	})

	// Guards against calls in vain by a daemon that reads the store itself,
	// while the store turns it away and another reader answers.
	It("end when the store turns the daemon away and another daemon answers", func() {
		asked := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
			sleep(r.Context(), 50*time.Millisecond)
			writeGossip(w, &gossip{VM: "b", Reading: true})
		}))
		DeferCleanup(asked.Close)
		store := &changing{}
		store.down.Store(true)
		d := New(Config{VM: "a", Store: store, Operators: noOperators{}, Logger: logging.Discard().Component("test")})
		d.listedOnce.Store(true)
		relay := mesh.Relay{Sources: []string{asked.Listener.Addr().String()}}
		d.relay.Store(&relay)
		ctx, cancel := context.WithCancel(context.Background())
		defer cancel()
		go d.run(ctx)
		began := time.Now()
		d.readStore(ctx, began.Add(directFor), true)
		Expect(time.Since(began)).To(BeNumerically("<", directFor/2))
	})

	// Guards against calls of every daemon while the store is down: 81 of them
	// made 1,600 in 8 s. One that only the reader misses is found all the same.
	It("are left to the reader while it says that the store is down", func() {
		peer := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
			writeGossip(w, &gossip{VM: "b", Reading: true, StoreLost: true})
		}))
		DeferCleanup(peer.Close)
		store := &changing{}
		store.down.Store(true)
		d := New(Config{VM: "a", Store: store, Operators: noOperators{}, Logger: logging.Discard().Component("test")})
		relay := mesh.Relay{Sources: []string{peer.Listener.Addr().String()}}
		d.relay.Store(&relay)
		ctx, cancel := context.WithCancel(context.Background())
		defer cancel()
		go d.followRows(ctx)
		go d.run(ctx)
		Eventually(d.storeLost.Load, patience).Should(BeTrue())
		time.Sleep(probePause + probePause/2)
		Expect(store.lists.Load()).To(Equal(int64(1)))
		Expect(store.watches.Load()).To(BeZero())
		store.down.Store(false)
		Eventually(store.watches.Load, probePause+time.Second, 20*time.Millisecond).Should(BeNumerically(">=", 1))
	})

	// Guards against a start of the whole mesh in which each target's row wakes
	// every daemon: 30 daemons made 325 watches.
	It("are rare while the daemon is young, but for what operators write", func() {
		d := &Daemon{config: Config{Operators: noOperators{}}, started: time.Now()}
		d.daemons.Store(11)
		f := &follower{d: d, table: mesh.Table}
		Expect(f.spacing(d.started.Add(time.Second))).To(Equal(maxSpacing))
		Expect(f.spacing(d.started.Add(youngFor))).To(Equal(minSpacing))
		f.table = "operators"
		Expect(f.spacing(d.started.Add(time.Second))).To(Equal(minSpacing))
	})

	It("keep a spacing between its bounds", func() {
		Expect(watchSpacing(0)).To(Equal(minSpacing))
		Expect(watchSpacing(11)).To(Equal(minSpacing))
		Expect(watchSpacing(81)).To(Equal(810 * time.Millisecond))
		Expect(watchSpacing(490)).To(Equal(maxSpacing))
	})
})
