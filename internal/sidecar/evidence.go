package sidecar

import (
	"bytes"
	"context"
	"io"
	"net/http"
	"time"

	"google.golang.org/protobuf/proto"

	"github.com/magnoliamount/magnoliamount/internal/fault"
	"github.com/magnoliamount/magnoliamount/internal/mesh"
	"github.com/magnoliamount/magnoliamount/internal/move"
	"github.com/magnoliamount/magnoliamount/internal/wire"
)

const (
	// evidencePath is the path on the peer listener to which other daemons post
	// their evidence.
	evidencePath = "/v1/evidence"
	// evidenceTimeout is the timeout of a report. It is shorter than the interval
	// of reports, so that they do not pile up.
	evidenceTimeout = 400 * time.Millisecond
	// maxReportBytes bounds the size of a report and of its response; 64 samples
	// take about 8 kB.
	maxReportBytes = 256 << 10
)

// report sends evidence to the leader of a move and passes the result to the
// node.
func (d *Daemon) report(ctx context.Context, r mesh.Report) {
	reply, err := d.sendReport(ctx, r)
	d.loop.post(func(now time.Time) { d.node.HandleReply(now, r, reply, err) })
}

// sendReport posts a report to the leader of a move and returns its reply.
func (d *Daemon) sendReport(ctx context.Context, r mesh.Report) (mesh.Reply, error) {
	message := &wire.MoveReport{Vm: d.config.VM, Service: r.Service, Order: r.Order, Epoch: r.Epoch}
	for i := range r.Samples {
		message.Samples = append(message.Samples, r.Samples[i].ToWire())
	}
	body, err := proto.Marshal(message)
	if err != nil {
		return mesh.Reply{}, fault.Wrap(err, fault.Internal, "cannot encode a report")
	}
	request, err := http.NewRequestWithContext(ctx, http.MethodPost, "http://"+r.Address+evidencePath, bytes.NewReader(body))
	if err != nil {
		return mesh.Reply{}, fault.Wrap(err, fault.Invalid, "invalid address %q of the leader", r.Address)
	}
	response, err := d.peerClient.Do(request)
	if err != nil {
		return mesh.Reply{}, fault.Wrap(err, fault.Unavailable, "cannot reach the leader of the move of service %q", r.Service)
	}
	defer response.Body.Close()
	data, err := readReport(response.Body)
	if err != nil {
		return mesh.Reply{}, fault.Wrap(err, fault.Protocol, "the leader's response cannot be read")
	}
	if response.StatusCode != http.StatusOK {
		return mesh.Reply{}, fault.New(fault.Stale, "the leader responded with status %d", response.StatusCode)
	}
	var decoded wire.MoveReply
	if err := proto.Unmarshal(data, &decoded); err != nil {
		return mesh.Reply{}, fault.Wrap(err, fault.Protocol, "the leader's response cannot be decoded")
	}
	return mesh.Reply{Stopped: decoded.GetStopped(), Reason: decoded.GetReason(), StoreUnavailable: decoded.GetUnable()}, nil
}

// readReport reads a report or the reply to one. It fails with fault.Invalid for one that
// is longer than maxReportBytes: the beginning of a protobuf message may be valid.
func readReport(r io.Reader) ([]byte, error) {
	data, err := io.ReadAll(io.LimitReader(r, maxReportBytes+1))
	if err == nil && len(data) > maxReportBytes {
		err = fault.New(fault.Invalid, "the message has more than %d bytes", maxReportBytes)
	}
	return data, err
}

// serveReport serves evidencePath.
func (d *Daemon) serveReport(w http.ResponseWriter, r *http.Request) {
	body, err := readReport(r.Body)
	var message wire.MoveReport
	if err == nil {
		err = proto.Unmarshal(body, &message)
	}
	if err != nil {
		http.Error(w, "the report cannot be decoded", http.StatusBadRequest)
		return
	}
	report := mesh.Report{
		Service: message.GetService(), Order: message.GetOrder(), Epoch: message.GetEpoch(),
	}
	for _, s := range message.GetSamples() {
		report.Samples = append(report.Samples, move.SampleFromWire(s))
	}
	var reply mesh.Reply
	d.loop.call(func(now time.Time) { reply, err = d.node.HandleReport(now, message.GetVm(), report) })
	if err != nil {
		http.Error(w, err.Error(), http.StatusConflict)
		return
	}
	data, err := proto.Marshal(&wire.MoveReply{Stopped: reply.Stopped, Reason: reply.Reason, Unable: reply.StoreUnavailable})
	if err != nil {
		http.Error(w, "the reply cannot be encoded", http.StatusInternalServerError)
		return
	}
	// A write error needs no handling: a daemon that got no reply sends its
	// evidence again.
	_, _ = w.Write(data)
}
