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

	"github.com/magnoliamount/magnoliamount/internal/logging"
	"github.com/magnoliamount/magnoliamount/internal/mesh"
	"github.com/magnoliamount/magnoliamount/internal/rows"
)

var _ = Describe("a start after a restore of the store", func() {
	var d *Daemon
	BeforeEach(func() {
		d = New(Config{VM: "a", Peer: "127.0.0.1:1", Store: newRestoredStore(), Operators: versionedOperators{}, Inbound: "10.0.0.1:1", Logger: logging.Discard().Component("test")})
	})

	// Guards against a start that waits without bound for daemons that are listed and
	// do not respond.
	It("waits a bounded time for silent daemons", func() {
		snapshot := rows.Snapshot{Version: rows.Version(1, 9)}
		for _, vm := range []string{"b", "c", "d", "e", "f", "g", "h", "i"} {
			listener, err := net.Listen("tcp", "127.0.0.1:0")
			Expect(err).NotTo(HaveOccurred())
			DeferCleanup(listener.Close)
			record := &mesh.TargetRecord{VM: vm, Incarnation: 1, Sequence: 1, State: "ready", Domain: "a", Inbound: "10.0.0.1:1", Peer: listener.Addr().String()}
			snapshot.Rows = append(snapshot.Rows, record.Row())
		}
		ctx, cancel := context.WithCancel(context.Background())
		defer cancel()
		go d.run(ctx)
		begin := time.Now()
		d.recoverLostState(ctx, snapshot)
		Expect(time.Since(begin)).To(BeNumerically("<", firstOperatorRowsDelay))
	})

	// Guards against a start that waits for VMs that are gone, although another daemon
	// has responded: daemons were ready 0.4 s later.
	It("does not wait for silent daemons once another one has responded", func() {
		peer := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) { writeJSON(w, &lostStateResponse{VM: "b", Loaded: true}) }))
		DeferCleanup(peer.Close)
		silent, err := net.Listen("tcp", "127.0.0.1:0")
		Expect(err).NotTo(HaveOccurred())
		DeferCleanup(silent.Close)
		snapshot := rows.Snapshot{Version: rows.Version(1, 9)}
		for vm, address := range map[string]string{"b": peer.Listener.Addr().String(), "c": silent.Addr().String()} {
			record := &mesh.TargetRecord{VM: vm, Incarnation: 1, Sequence: 1, State: "ready", Domain: "a", Inbound: "10.0.0.1:1", Peer: address}
			snapshot.Rows = append(snapshot.Rows, record.Row())
		}
		left := &mesh.TargetRecord{VM: "d", Incarnation: 1, Sequence: 1, State: "draining", Domain: "a", Inbound: "10.0.0.1:1", Peer: "127.0.0.1:9"}
		snapshot.Rows = append(snapshot.Rows, left.Row())
		Expect(d.listedPeers(snapshot)).To(HaveLen(2))
		ctx, cancel := context.WithCancel(context.Background())
		defer cancel()
		go d.run(ctx)
		d.firstLists.configuration <- 1
		begin := time.Now()
		d.recoverLostState(ctx, snapshot)
		Expect(time.Since(begin)).To(BeNumerically("<", lostStateRoundTimeout))
	})

	// Guards against requests of every daemon to three others at the start of the mesh
	// on a store that was restored long before.
	It("asks nobody at a first start of the mesh", func() {
		var requests atomic.Int64
		peer := httptest.NewServer(http.HandlerFunc(func(http.ResponseWriter, *http.Request) { requests.Add(1) }))
		DeferCleanup(peer.Close)
		record := &mesh.TargetRecord{VM: "b", Incarnation: 1, Sequence: 1, State: "ready", Domain: "a", Inbound: "10.0.0.1:1", Peer: peer.Listener.Addr().String()}
		snapshot := rows.Snapshot{Version: rows.Version(1, 9), Rows: []rows.Row{record.Row()}}
		ctx, cancel := context.WithCancel(context.Background())
		defer cancel()
		go d.run(ctx)
		d.recoverLostState(ctx, snapshot)
		Expect(requests.Load()).To(Equal(int64(1)), "a daemon that starts later asks")
		d.config.FirstStart = true
		d.recoverLostState(ctx, snapshot)
		Expect(requests.Load()).To(Equal(int64(1)))
	})

	// Guards against an order of the backup that is applied before the mesh table,
	// which shows that a later one has replaced it.
	It("applies the first rows of operators after those of the mesh", func() {
		ctx, cancel := context.WithCancel(context.Background())
		defer cancel()
		go d.run(ctx)
		applied := make(chan struct{})
		go func() {
			defer close(applied)
			d.awaitFirstMeshList(ctx, rows.Snapshot{Version: rows.Version(1, 9)})
		}()
		Consistently(applied, 100*time.Millisecond).ShouldNot(BeClosed())
		d.loop.call(func(now time.Time) { d.meshFollower().reset(now, rows.Snapshot{Version: rows.Version(1, 9)}) })
		Eventually(applied, firstOperatorRowsDelay/2).Should(BeClosed())
	})
})
