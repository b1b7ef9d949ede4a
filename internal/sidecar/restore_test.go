package sidecar

import (
	"context"
	"net/http"
	"net/http/httptest"
	"strconv"
	"strings"
	"sync/atomic"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/magnoliamount/magnoliamount/internal/fault"
	"github.com/magnoliamount/magnoliamount/internal/logging"
	"github.com/magnoliamount/magnoliamount/internal/mesh"
	"github.com/magnoliamount/magnoliamount/internal/rows"
)

// restoredStore is a store that is restored when restore is called. A pending
// watch does not notice it, except that of the operators' table.
type restoredStore struct {
	era         atomic.Uint64
	restored    chan struct{}
	meshWatches atomic.Int64
}

// newRestoredStore returns a store in era 1.
func newRestoredStore() *restoredStore {
	s := &restoredStore{restored: make(chan struct{})}
	s.era.Store(1)
	return s
}

func (s *restoredStore) restore() {
	s.era.Add(1)
	close(s.restored)
}

func (s *restoredStore) List(context.Context, string) (rows.Snapshot, error) {
	return rows.Snapshot{Version: rows.Version(s.era.Load(), 3)}, nil
}

func (s *restoredStore) Watch(ctx context.Context, table string, after uint64, _ time.Duration) ([]rows.Change, uint64, error) {
	stale := fault.New(fault.Stale, "the store was restored")
	if rows.Era(after) < s.era.Load() {
		return nil, after, stale
	}
	restored := s.restored
	if table == mesh.Table {
		s.meshWatches.Add(1)
		restored = nil
	}
	select {
	case <-restored:
		if rows.Era(after) < s.era.Load() {
			return nil, after, stale
		}
		<-ctx.Done()
	case <-ctx.Done():
	}
	return nil, after, fault.Wrap(ctx.Err(), fault.Unavailable, "canceled")
}

func (s *restoredStore) Commit(context.Context, rows.Transaction) (uint64, error) {
	return 0, fault.New(fault.Unavailable, "the store accepts no writes")
}

func (s *restoredStore) Clock() (time.Duration, bool) { return 0, false }

// versionedOperators decodes the configuration's version from the row's value. Rows
// whose names begin with "evacuate/" are evacuations.
type versionedOperators struct{ noOperators }

func (versionedOperators) EvacuatedDomain(key rows.Key) string {
	domain, _ := strings.CutPrefix(key.Name, "evacuate/")
	if domain == key.Name {
		return ""
	}
	return domain
}

func (o versionedOperators) Decode(row rows.Row) (any, error) {
	if domain := o.EvacuatedDomain(row.Key); domain != "" {
		return &mesh.Evacuation{Domain: domain, Version: row.Version}, nil
	}
	version, err := strconv.ParseUint(string(row.Value), 10, 64)
	return &mesh.Configuration{Version: version}, err
}

var _ = Describe("a restore of the store", func() {
	newDaemon := func(store rows.Store) *Daemon {
		return New(Config{VM: "a", Store: store, Operators: versionedOperators{}, Inbound: "10.0.0.1:1", Logger: logging.Discard().Component("test")})
	}

	// Guards against a watch that stays pending for up to 20 s after the restore,
	// while the watch of the other table has noticed it.
	It("that one watch notices ends the watch of the other table", func() {
		store := newRestoredStore()
		d := newDaemon(store)
		ctx, cancel := context.WithCancel(context.Background())
		defer cancel()
		go d.run(ctx)
		go d.operatorFollower().run(ctx, true)
		go d.meshFollower().run(ctx, true)
		Eventually(store.meshWatches.Load, specTimeout).Should(Equal(int64(1)))
		Consistently(store.meshWatches.Load, 100*time.Millisecond).Should(Equal(int64(1)), "the first list is not a restore")
		store.restore()
		Eventually(store.meshWatches.Load, time.Second).Should(Equal(int64(2)))
		era := func() (era uint64) {
			d.loop.call(func(time.Time) { era = d.node.Era() })
			return era
		}
		Expect(era()).To(Equal(uint64(2)))
	})

	// Guards against a list from before the restore that replaces rows that another
	// daemon has sent since.
	It("makes lists from before it unusable", func() {
		store := newRestoredStore()
		d := newDaemon(store)
		ctx, cancel := context.WithCancel(context.Background())
		defer cancel()
		var resets atomic.Int64
		copied := newTable()
		copied.advance(rows.Version(2, 2))
		f := &follower{d: d, table: mesh.Table, copy: &copied, reset: func(time.Time, rows.Snapshot) { resets.Add(1) }}
		go d.run(ctx)
		go f.run(ctx, true)
		Eventually(store.meshWatches.Load, specTimeout).Should(BeNumerically(">=", 1))
		d.loop.call(func(time.Time) {})
		Expect(resets.Load()).To(BeZero())
	})

	// Guards against daemons that never learn of a restore because the backup holds
	// no rows of the table.
	It("is passed on to other daemons without rows", func() {
		t := newTable()
		t.merge([]rows.Row{{Key: rows.Key{Name: "x"}, Version: rows.Version(1, 9)}})
		t.advance(rows.Version(1, 9))
		Expect(t.newerThan(rows.Version(1, 9))).To(BeFalse())
		t.advance(rows.Version(2, 4))
		Expect(t.newerThan(rows.Version(1, 9))).To(BeTrue())
		Expect(t.newerThan(rows.Version(2, 4))).To(BeFalse())
	})

	// Guards against daemons that get the older configuration of the backup from
	// this daemon.
	It("does not make the daemon serve an older configuration to others", func() {
		d := newDaemon(newRestoredStore())
		key := rows.Key{Table: "operators", Name: "config"}
		apply := func(value string, version uint64) {
			for _, row := range d.tables.operators.merge([]rows.Row{{Key: key, Value: []byte(value), Version: version}}) {
				d.applyOperatorRow(row)
			}
		}
		apply("5", rows.Version(0, 7))
		apply("3", rows.Version(1, 2))
		Expect(d.node.Configuration().Version).To(Equal(uint64(5)))
		Expect(string(d.tables.operators.rows[key].Value)).To(Equal("5"))
		Expect(d.tables.operators.rows[key].Version).To(Equal(rows.Version(1, 2)))
		apply("6", rows.Version(1, 3))
		Expect(string(d.tables.operators.rows[key].Value)).To(Equal("6"))
	})

	// Guards against a daemon that gets no rows any more from a reader of an older
	// release, whose versions have no era and so count as older than its own.
	It("does not make daemons follow a reader whose versions have no era", func() {
		peer := http.NewServeMux()
		peer.HandleFunc("POST /v1/rows", func(w http.ResponseWriter, r *http.Request) {
			sleep(r.Context(), longPollTimeout)
			writeJSON(w, &gossipMessage{VM: "b", Reading: true})
		})
		reader := httptest.NewServer(peer)
		DeferCleanup(reader.Close)
		store := newRestoredStore()
		d := newDaemon(store)
		relay := mesh.Relay{Sources: []string{reader.Listener.Addr().String()}}
		d.relay.Store(&relay)
		ctx, cancel := context.WithCancel(context.Background())
		defer cancel()
		go d.run(ctx)
		go d.followRows(ctx)
		Eventually(store.meshWatches.Load, specTimeout).Should(BeNumerically(">=", 1))
	})

	// Guards against a target row that stays lost because its writer takes it for
	// stored, also when the response of an earlier write arrives late.
	It("makes the row of the target missing unless it was observed since", func() {
		w := newTargetRowWriter(newDaemon(newRestoredStore()))
		record := &mesh.TargetRecord{VM: "a", Incarnation: 1, Sequence: 1, State: "ready", Domain: "a", Inbound: "10.0.0.1:1", Peer: "10.0.0.1:2"}
		w.recordWritten(record, rows.Version(0, 8))
		w.enterEra(1)
		w.recordWritten(record, rows.Version(0, 9))
		Expect(w.stored).To(BeNil())
		Expect(rows.Counter(w.storedVersion)).To(BeZero())
		row := record.Row()
		row.Version = rows.Version(2, 4)
		w.observe(row)
		w.enterEra(2)
		Expect(w.stored).To(Equal(record))
		Expect(w.storedVersion).To(Equal(row.Version))
	})
})
