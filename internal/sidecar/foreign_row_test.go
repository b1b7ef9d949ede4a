package sidecar

import (
	"context"
	"testing"
	"testing/synctest"
	"time"

	"github.com/magnoliamount/magnoliamount/internal/logging"
	"github.com/magnoliamount/magnoliamount/internal/mesh"
	"github.com/magnoliamount/magnoliamount/internal/rows"
)

// committedStore records the rows that are written. Its tables are not read.
type committedStore struct {
	changingStore
	version uint64
	written []string
}

func (s *committedStore) Commit(_ context.Context, tx rows.Transaction) (uint64, error) {
	s.version = tx.Conditions[0].Version + 1
	s.written = append(s.written, string(tx.Writes[0].Value))
	return s.version, nil
}

// Guards against a target that daemons which start later do not know, because another
// writer has replaced its row by one that cannot be used.
func TestARowThatAnotherWriterReplacedIsWrittenAgain(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		ctx, cancel := context.WithCancel(t.Context())
		defer cancel()
		store := &committedStore{}
		d := New(Config{VM: "a", Domain: "z", Service: "order", Inbound: "a:2", Peer: "a:1", Store: store, Operators: noOperators{}, Logger: logging.Discard().Component("test")})
		d.backgroundContext = ctx
		go d.run(ctx)
		go d.targetRow.run(ctx)
		d.loop.call(func(now time.Time) {
			d.meshLoaded = true
			d.target.applyHeartbeat(now, Heartbeat{Instance: "i", StartUnixMS: 1, Sequence: 1, Service: "order", Version: "v1", Slots: 4})
			d.targetRow.update()
		})
		synctest.Wait()
		own := string(d.targetRow.desiredRecord().Row().Value)
		version := store.version
		for i, value := range []string{`{"vm":"a","state":"ready"}`, "\xff", ""} {
			d.targetRow.observe(rows.Row{Key: mesh.TargetKey("a"), Value: []byte(value), Version: version + uint64(10*i+10)})
			synctest.Wait()
			if len(store.written) != i+2 || store.written[i+1] != own {
				t.Fatalf("after the row %q, %q was written in place of one more %s", value, store.written[1:], own)
			}
		}
		// The daemon's own row needs no further write.
		d.targetRow.observe(rows.Row{Key: mesh.TargetKey("a"), Value: []byte(own), Version: version + 100})
		synctest.Wait()
		if len(store.written) != 4 {
			t.Error("the daemon's own row was written again")
		}
		cancel()
		synctest.Wait()
	})
}
