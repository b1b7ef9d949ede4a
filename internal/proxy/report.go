package proxy

import (
	"strconv"
	"strings"
	"time"
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
}

const (
	// reportFields is the number of fields of an encoded report.
	reportFields = 4
	// reportBytes is enough for most encoded reports.
	reportBytes = 24
)

// encode returns the value of ReportHeader: the times in milliseconds and the
// fraction, separated by commas.
func (r targetReport) encode() string {
	b := make([]byte, 0, reportBytes)
	for _, d := range []time.Duration{r.pace, r.kindPace, r.linkWait} {
		b = strconv.AppendInt(b, d.Milliseconds(), 10)
		b = append(b, ',')
	}
	return string(strconv.AppendFloat(b, r.failures, 'f', loadDecimals, 64))
}

// parseReport parses the value of ReportHeader. It returns false when the value is
// not a report.
func parseReport(value string) (targetReport, bool) {
	fields := strings.SplitN(value, ",", reportFields+1)
	if len(fields) != reportFields {
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
	return targetReport{pace: times[0], kindPace: times[1], linkWait: times[2], failures: failures}, true
}
