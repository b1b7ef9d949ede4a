package replay

import (
	"encoding/json"
	"fmt"
	"io"
	"slices"
	"text/tabwriter"

	"github.com/magnoliamount/magnoliamount/internal/fault"
	"github.com/magnoliamount/magnoliamount/internal/trace"
)

// stopGoalSeconds is the goal for the time from an evident fault to the last
// request to the bad version.
const stopGoalSeconds = 3.0

// Total aggregates the outcomes of all replays under one judge.
type Total struct {
	Good          int `json:"good"`
	GoodOnTime    int `json:"good_on_time"`
	Bad           int `json:"bad"`
	BadTakenBack  int `json:"bad_taken_back"`
	StoppedInGoal int `json:"stopped_in_goal"`
	// StopSecondsMedian and StopSecondsMax aggregate Outcome.StopSeconds of the bad
	// moves that were taken back.
	StopSecondsMedian float64 `json:"stop_seconds_median"`
	StopSecondsMax    float64 `json:"stop_seconds_max"`
	// MaxUnprovedShare is the largest UnprovedShare of all moves.
	MaxUnprovedShare float64 `json:"max_unproved_share"`
	// BadRequests is the number of requests to bad versions, BadShare their fraction
	// of the services' requests.
	BadRequests int64   `json:"bad_requests"`
	BadShare    float64 `json:"bad_share"`
	// AfterEvident is the number of requests to bad versions after their fault was
	// evident.
	AfterEvident int64 `json:"after_evident"`

	requests    int64
	stopSeconds []float64
}

// Report contains every result and the totals under both judges.
type Report struct {
	Results    []Result `json:"results"`
	Sequential Total    `json:"sequential"`
	Baseline   Total    `json:"baseline"`
}

// NewReport returns a report of the results with their totals.
func NewReport(results []Result) *Report {
	r := &Report{Results: results}
	for i := range results {
		r.Sequential.add(results[i].StatedOutcome, &results[i].Sequential)
		r.Baseline.add(results[i].StatedOutcome, &results[i].Baseline)
	}
	r.Sequential.close()
	r.Baseline.close()
	return r
}

func (t *Total) add(stated string, o *Outcome) {
	t.MaxUnprovedShare = max(t.MaxUnprovedShare, o.UnprovedShare)
	if stated == trace.Good {
		t.Good++
		if o.Correct {
			t.GoodOnTime++
		}
		return
	}
	t.Bad++
	t.BadRequests += o.NewRequests
	t.requests += o.Requests
	t.AfterEvident += o.AfterEvident
	if !o.Correct {
		return
	}
	t.BadTakenBack++
	if seconds, ok := o.StopSeconds(); ok {
		t.stopSeconds = append(t.stopSeconds, seconds)
		if seconds <= stopGoalSeconds {
			t.StoppedInGoal++
		}
	}
}

func (t *Total) close() {
	if t.requests > 0 {
		t.BadShare = float64(t.BadRequests) / float64(t.requests)
	}
	if len(t.stopSeconds) == 0 {
		return
	}
	slices.Sort(t.stopSeconds)
	t.StopSecondsMedian = t.stopSeconds[len(t.stopSeconds)/2]
	t.StopSecondsMax = t.stopSeconds[len(t.stopSeconds)-1]
}

// WriteJSON writes the report as one JSON object.
func (r *Report) WriteJSON(w io.Writer) error {
	encoder := json.NewEncoder(w)
	encoder.SetIndent("", "  ")
	if err := encoder.Encode(r); err != nil {
		return fault.Wrap(err, fault.Unavailable, "write report")
	}
	return nil
}

// WriteText writes a table with one line for each replay and judge, and a table
// of the totals.
func (r *Report) WriteText(w io.Writer) error {
	tab := tabwriter.NewWriter(w, 0, 0, 2, ' ', 0)
	_, _ = fmt.Fprintln(tab, "trace\tseed\tjudge\tstated\tend\tright\tfull s\tend s\tshown s\tevident s\tstop after shown s\tstop after evident s\tmax ‰\tunproved %\tnew requests\tnew %\tbrakes\treason")
	for i := range r.Results {
		res := &r.Results[i]
		writeOutcome(tab, res, "sequential", &res.Sequential)
		writeOutcome(tab, res, "baseline", &res.Baseline)
	}
	if err := tab.Flush(); err != nil {
		return fault.Wrap(err, fault.Unavailable, "write report")
	}
	return r.writeTotals(w)
}

func writeOutcome(w io.Writer, r *Result, judge string, o *Outcome) {
	_, _ = fmt.Fprintf(w, "%s/%s\t%d\t%s\t%s\t%s\t%t\t%s\t%s\t%s\t%s\t%s\t%s\t%d\t%.2f\t%d\t%.3f\t%d\t%s\n",
		r.User, r.Trace, r.Seed, judge, r.StatedOutcome, o.End, o.Correct,
		seconds(o.FullMs), seconds(o.EndMs), seconds(o.ShownMs), seconds(o.EvidentMs),
		stopAfter(o, o.ShownMs), stopAfter(o, o.EvidentMs),
		o.MaxPermille, 100*o.UnprovedShare, o.NewRequests, percent(o.NewRequests, o.Requests), o.Brakes, o.Reason)
}

func percent(part, whole int64) float64 {
	if whole == 0 {
		return 0
	}
	return 100 * float64(part) / float64(whole)
}

func seconds(ms int64) string {
	if ms < 0 {
		return "-"
	}
	return fmt.Sprintf("%.1f", float64(ms)/1000)
}

func stopAfter(o *Outcome, from int64) string {
	if from < 0 || o.End != TakenBack {
		return "-"
	}
	return fmt.Sprintf("%.1f", float64(o.StoppedMs-from)/1000)
}

func (r *Report) writeTotals(w io.Writer) error {
	tab := tabwriter.NewWriter(w, 0, 0, 2, ' ', 0)
	_, _ = fmt.Fprintln(tab, "\njudge\tgood on time\tbad taken back\tstopped within 3 s\tstop s, median\tstop s, max\tmax unproved %\trequests to bad\tshare %\tafter evident")
	writeTotal(tab, "sequential", &r.Sequential)
	writeTotal(tab, "baseline", &r.Baseline)
	if err := tab.Flush(); err != nil {
		return fault.Wrap(err, fault.Unavailable, "write report")
	}
	return nil
}

func writeTotal(w io.Writer, judge string, t *Total) {
	_, _ = fmt.Fprintf(w, "%s\t%d/%d\t%d/%d\t%d/%d\t%.1f\t%.1f\t%.2f\t%d\t%.3f\t%d\n",
		judge, t.GoodOnTime, t.Good, t.BadTakenBack, t.Bad, t.StoppedInGoal, t.Bad,
		t.StopSecondsMedian, t.StopSecondsMax, 100*t.MaxUnprovedShare, t.BadRequests, 100*t.BadShare, t.AfterEvident)
}
