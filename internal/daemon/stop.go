package daemon

import (
	"context"
	"time"

	"github.com/cockroachdb/errors"

	"github.com/magnoliamount/magnoliamount/internal/core"
	"github.com/magnoliamount/magnoliamount/internal/fault"
)

// leaveDelay is the time between core.Leave and the closing of the transport, in
// which the daemon writes its last frames.
const leaveDelay = 300 * time.Millisecond

// lateFraction is the part of the drain time after which requests that may not be
// finished in the rest of it are refused. It is the part that the sidecar uses.
const lateFraction = 0.5

// stop performs the planned stop. The daemon accepts new requests until the other
// daemons have had time to receive the announcement that it leaves. It then
// refuses new requests and waits for those in flight; late in the drain time it
// refuses requests that may not be finished. cause is the error that
// made the daemon stop, or nil.
func (d *Daemon) stop(cause error) error {
	stopRequested, drain := time.Now(), d.settings.Timeouts.Drain
	end := stopRequested.Add(drain)
	d.stopDeadline.Set(stopRequested.Add(time.Duration(lateFraction*float64(drain))), end)
	ctx, cancel := context.WithDeadline(context.Background(), end)
	defer cancel()
	d.stopping.Store(true)
	d.loop.post(core.Stop{})
	drained := d.inbound.Drain(ctx)
	stopped := d.servers.shutdown(ctx)
	if stopped != nil {
		d.servers.cancelInFlight()
	}
	flushed := d.claims.Close(ctx)
	d.loop.post(core.Leave{})
	time.Sleep(leaveDelay)
	closed := d.transport.Close()
	d.loop.cancel()
	<-d.loop.done
	d.servers.shutdownAdmin()
	d.servers.close()
	if err := errors.CombineErrors(errors.CombineErrors(cause, drained), errors.CombineErrors(stopped, errors.CombineErrors(flushed, closed))); err != nil {
		return fault.Wrap(err, fault.KindOf(err), "stop the daemon")
	}
	d.logger.Info().Msg("stopped")
	return nil
}
