package proxy

import (
	"strconv"
	"time"
)

// setLoadHeaders adds the target's load and the daemon's clock to the response.
func (s *service) setLoadHeaders() {
	s.fields.setClock(s.w.Header(), s.n.config.Clock)
	if s.backend == nil {
		return
	}
	var storage [loadValueBytes]byte
	load := strconv.AppendFloat(storage[:0], s.backend.gate.load(), 'f', loadDecimals, 64)
	s.fields.set(s.w.Header(), LoadHeader, string(load))
	if !s.n.config.Protocol.usesDaemonHeaders() {
		s.fields.set(s.w.Header(), ReportHeader, s.report().encode())
		s.setColdHeader()
	}
}

func (s *service) report() targetReport {
	r := targetReport{pace: s.backend.gate.pace(), failures: s.backend.failures.fraction()}
	if pace := s.backend.gate.kindPace(s.route); pace > 0 {
		r.kindPace = max(pace, time.Millisecond)
	}
	now := s.n.config.Now()
	if load := s.n.config.Link; load != nil {
		r.linkWait = load.EstimateWait(now)
		if s.isLongResponse() {
			r.linkWait += s.n.longResponses.wait(s.objective())
		}
	}
	r.work, r.hasWork = s.backend.gate.reportWork(now, s.asked)
	return r
}

func (s *service) countFinished(outcome Outcome) {
	version := ""
	if s.backend != nil {
		version = s.backend.target.Version
	}
	s.n.config.Metrics.countFinished(inboundSide, s.route, outcome, version)
}
