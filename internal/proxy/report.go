package proxy

import (
	"math"
	"net/http"
	"strconv"
	"strings"
	"time"

	"github.com/magnoliamount/magnoliamount/internal/routing"
)

// targetReport is what the daemon beside a target tells other daemons about it.
type targetReport struct {
	// pace is the mean time that the target takes to run a request, and kindPace
	// that for requests of the same route; zero means that none has completed.
	pace, kindPace time.Duration
	// failures is the fraction of its recent requests that failed.
	failures float64
	// linkWait is how long bytes to the sender wait for the network link of that
	// VM.
	linkWait time.Duration
	// work is valid if hasWork, which is true where targets tell their pace.
	work    routing.WorkReport
	hasWork bool
}

const (
	// reportFields is the number of fields of an encoded report, and workFields that
	// of the fields about work that may follow.
	reportFields = 4
	workFields   = 3
	// reportBytes is enough for most encoded reports.
	reportBytes = 40
	// maxPaceFactor bounds the pace in a report.
	maxPaceFactor = 1000
	// expectedWorkDecimals is the precision of the expected work in milliseconds. A
	// target may serve a request in 2 ms.
	expectedWorkDecimals = 1
	percent              = 100
)

// encode returns the value of ReportHeader: the times in milliseconds and the fraction,
// separated by commas, and where targets tell their pace the backlog and the expected
// work in milliseconds with the pace in percent between them.
func (r targetReport) encode() string {
	b := make([]byte, 0, reportBytes)
	for _, d := range []time.Duration{r.pace, r.kindPace, r.linkWait} {
		b = strconv.AppendInt(b, d.Milliseconds(), 10)
		b = append(b, ',')
	}
	b = strconv.AppendFloat(b, r.failures, 'f', loadDecimals, 64)
	if r.hasWork {
		b = append(b, ',')
		b = strconv.AppendInt(b, r.work.Backlog.Milliseconds(), 10)
		b = append(b, ',')
		b = strconv.AppendInt(b, max(1, int64(math.Round(percent*r.work.Pace))), 10)
		b = append(b, ',')
		b = strconv.AppendFloat(b, float64(r.work.Expected)/float64(time.Millisecond), 'f', expectedWorkDecimals, 64)
	}
	return string(b)
}

// parseReport parses the value of ReportHeader. It returns false when the value is
// not a report.
func parseReport(value string) (targetReport, bool) {
	fields := strings.SplitN(value, ",", reportFields+workFields+1)
	if len(fields) != reportFields && len(fields) != reportFields+workFields {
		return targetReport{}, false
	}
	var times [reportFields - 1]time.Duration
	for i := range times {
		ms, err := strconv.ParseUint(fields[i], 10, 32)
		if err != nil {
			return targetReport{}, false
		}
		times[i] = time.Duration(ms) * time.Millisecond
	}
	failures, err := strconv.ParseFloat(fields[reportFields-1], 64)
	if err != nil || !(failures >= 0 && failures <= 1) {
		return targetReport{}, false
	}
	r := targetReport{pace: times[0], kindPace: times[1], linkWait: times[2], failures: failures}
	if len(fields) == reportFields {
		return r, true
	}
	r.hasWork = true
	var ok bool
	r.work, ok = parseWork(fields[reportFields:])
	return r, ok
}

func parseWork(fields []string) (routing.WorkReport, bool) {
	backlog, err := strconv.ParseUint(fields[0], 10, 32)
	if err != nil {
		return routing.WorkReport{}, false
	}
	pace, err := strconv.ParseUint(fields[1], 10, 32)
	if err != nil || pace == 0 || pace > percent*maxPaceFactor {
		return routing.WorkReport{}, false
	}
	expected, err := strconv.ParseFloat(fields[2], 64)
	if err != nil || !(expected >= 0 && expected <= float64(maxDeadline/time.Millisecond)) {
		return routing.WorkReport{}, false
	}
	return routing.WorkReport{
		Backlog: time.Duration(backlog) * time.Millisecond, Pace: float64(pace) / percent,
		Expected: time.Duration(expected * float64(time.Millisecond)),
	}, true
}

// targetLoad is what a target tells about itself on a response.
type targetLoad struct {
	running, waiting, slots uint64
	// pacePercent is how long work takes on the target's machine, in percent of the
	// usual time.
	pacePercent float64
}

// loadFields is the number of fields of a target's load with its pace.
const loadFields = 4

// parseLoad parses the load that a target sends. It returns false when the response
// has none with a pace, or an invalid one.
func (p *Protocol) parseLoad(h http.Header) (targetLoad, bool) {
	if p.Load == "" || len(h[p.Load]) != 1 {
		return targetLoad{}, false
	}
	fields := strings.SplitN(h[p.Load][0], ",", loadFields+1)
	if len(fields) != loadFields {
		return targetLoad{}, false
	}
	var counts [loadFields - 1]uint64
	for i := range counts {
		var err error
		if counts[i], err = strconv.ParseUint(strings.TrimSpace(fields[i]), 10, 32); err != nil {
			return targetLoad{}, false
		}
	}
	pace, err := strconv.ParseFloat(strings.TrimSpace(fields[loadFields-1]), 64)
	if err != nil || !(pace > 0 && pace <= percent*maxPaceFactor) {
		return targetLoad{}, false
	}
	return targetLoad{running: counts[0], waiting: counts[1], slots: counts[2], pacePercent: pace}, true
}
