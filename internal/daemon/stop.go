package daemon

import (
	"context"
	"time"

	"github.com/cockroachdb/errors"

	"github.com/magnoliamount/magnoliamount/internal/core"
	"github.com/magnoliamount/magnoliamount/internal/fault"
)

// leaveTime is how long the daemon waits for its last frames to be written.
const leaveTime = 300 * time.Millisecond

// stop carries out the planned stop. New work is taken while the news that
// the daemon leaves reaches the others, then refused; requests in flight
// finish. cause is the failure that made the daemon stop, or nil.
func (d *Daemon) stop(cause error) error {
	ctx, cancel := context.WithTimeout(context.Background(), d.settings.Timeouts.Drain)
	defer cancel()
	d.loop.post(core.Stop{})
	drained := d.inbound.Drain(ctx)
	stopped := d.servers.shutdown(ctx)
	flushed := d.claims.Close(ctx)
	d.loop.post(core.Leave{})
	time.Sleep(leaveTime)
	closed := d.transport.Close()
	d.loop.cancel()
	<-d.loop.done
	d.servers.close()
	if err := errors.CombineErrors(errors.CombineErrors(cause, drained), errors.CombineErrors(stopped, errors.CombineErrors(flushed, closed))); err != nil {
		return fault.Wrap(err, fault.KindOf(err), "stop of the daemon")
	}
	d.logger.Info().Msg("stopped")
	return nil
}
