package sidecar

import (
	"context"
	"math"
	"math/rand/v2"
	"net/http"
	"strconv"
	"strings"
	"time"

	"github.com/prometheus/client_golang/prometheus"

	"github.com/magnoliamount/magnoliamount/internal/freshness"
)

const (
	// knowledgeHeader, on the response to a long poll, carries how long the daemon held
	// the poll and how old its knowledge of the operators' table was then, in
	// milliseconds separated by a comma. It is not part of the body, whose encoding is
	// cached.
	knowledgeHeader = "Magnoliamount-Knowledge-Ms"
	// revocationMargin is the part of Config.Revoke that is left for clocks of different
	// rates and for the time between the check of a request and its transmission.
	revocationMargin = 500 * time.Millisecond
	// strictFraction is the fraction of Config.Revoke after which a reader confirms its
	// knowledge, and a spare looks for a store that rejects only the readers. A daemon that
	// loses the store has to accept API keys for at least 0.6 of Config.Revoke. With the
	// usual watches and long polls, the knowledge of a follower was up to 3.4 s old after a
	// change of the configuration.
	strictFraction = 0.25
	// minStrictInterval bounds the calls to the store if Config.Revoke is short, and is the
	// smallest progress of a reader's knowledge for which it ends the long polls.
	minStrictInterval = 100 * time.Millisecond
)

// KnowledgeAge returns an upper bound of the age of the operators' table as the proxies
// apply it, or freshness.Unknown. It is safe for concurrent use.
func (d *Daemon) KnowledgeAge() time.Duration { return d.knowledge.Age() }

// strict reports whether revocation binds a daemon without a path to the store.
func (c *Config) strict() bool { return c.StrictRevocation && c.Revoke > 0 }

// maxKnowledgeAge returns the age of the knowledge up to which API keys are accepted, or
// zero if every age will do.
func (c *Config) maxKnowledgeAge() time.Duration {
	if !c.strict() {
		return 0
	}
	return max(c.Revoke-revocationMargin, 1)
}

// confirmationInterval returns the interval, at most the usual one, at which a daemon
// has to confirm its knowledge.
func (c *Config) confirmationInterval(usual time.Duration) time.Duration {
	if !c.strict() {
		return usual
	}
	return min(usual, max(minStrictInterval, time.Duration(strictFraction*float64(c.Revoke))))
}

// confirmKnowledge records that all operators' rows that the store acknowledged before the
// moment have been applied to the node, and puts them in force. It runs in the event loop.
func (d *Daemon) confirmKnowledge(at time.Duration) {
	d.publish()
	before, _ := d.knowledge.Confirmed()
	d.knowledge.Confirm(at)
	if d.config.strict() && at >= before+minStrictInterval {
		d.tables.notify()
	}
}

// operatorWatchWait returns how long the next watch of the operators' table waits. Where
// revocation is strict, a preceding watch that returned changes shortens it, because it
// has confirmed only its beginning.
func (d *Daemon) operatorWatchWait() time.Duration {
	interval := d.config.confirmationInterval(operatorWatchTimeout)
	if !d.config.strict() {
		return interval
	}
	return min(interval, max(minStrictInterval, interval-d.KnowledgeAge()))
}

// knowledgeProgress returns a function that reports whether a long poll that starts now
// should end because the followers' knowledge can become newer.
func (d *Daemon) knowledgeProgress() func() bool {
	if !d.config.strict() {
		return func() bool { return false }
	}
	before, _ := d.knowledge.Confirmed()
	return func() bool {
		now, _ := d.knowledge.Confirmed()
		return now >= before+minStrictInterval
	}
}

// confirmList and confirmWatch record the end of a call to the store that began at the
// moment. They do nothing for other tables than the operators'. They run in the event
// loop, after the rows have been applied.
func (f *follower) confirmList(began time.Duration) {
	if f.table == f.d.config.Operators.Table() {
		f.d.confirmKnowledge(freshness.OfList(began))
	}
}

func (f *follower) confirmWatch(call watchCall) {
	if f.table == f.d.config.Operators.Table() {
		f.d.confirmKnowledge(freshness.OfWatch(call.began, call.ended, call.wait, call.changed))
	}
}

// watchCall describes a completed watch.
type watchCall struct {
	began, ended, wait time.Duration
	changed            bool
}

// peerKnowledge is the knowledge of the daemon that sent a response.
type peerKnowledge struct{ held, age time.Duration }

// setKnowledgeHeader adds this daemon's knowledge to the response to a long poll that was
// received at the moment. It must run in the task of the event loop that reads the rows of
// the response, so that they are as new as it says.
func (d *Daemon) setKnowledgeHeader(h http.Header, received time.Duration) {
	// The order of the readings makes the wait too short rather than too long.
	held := d.knowledge.Now() - received
	age := d.knowledge.Age()
	if age == freshness.Unknown || held < 0 {
		return
	}
	agedMillis := int64((age + time.Millisecond - 1) / time.Millisecond)
	h.Set(knowledgeHeader, strconv.FormatInt(held.Milliseconds(), 10)+","+strconv.FormatInt(agedMillis, 10))
}

// parseKnowledge returns the knowledge of the sender of a response, or nil if the response
// does not tell it.
func parseKnowledge(h http.Header) *peerKnowledge {
	heldText, ageText, _ := strings.Cut(h.Get(knowledgeHeader), ",")
	held, err := strconv.ParseUint(heldText, 10, 31)
	age, ageErr := strconv.ParseUint(ageText, 10, 31)
	if err != nil || ageErr != nil {
		return nil
	}
	return &peerKnowledge{held: time.Duration(held) * time.Millisecond, age: time.Duration(age) * time.Millisecond}
}

// confirmPoll records the response to a long poll that was sent after the moment. It runs
// in the event loop, after the rows of the response have been applied.
func (d *Daemon) confirmPoll(began, ended time.Duration, response *gossipMessage) {
	if response.knowledge == nil {
		return
	}
	if at, ok := freshness.OfPeer(began, ended, response.knowledge.held, response.knowledge.age); ok {
		d.confirmKnowledge(at)
	}
}

// recoverConfiguration asks other daemons for a newer configuration, which a restore of
// the store has lost before this daemon got it. The list of the restored store confirms
// nothing about it.
func (d *Daemon) recoverConfiguration(ctx context.Context) {
	var peers []string
	var request lostStateRequest
	d.loop.call(func(time.Time) {
		peers = d.node.PeerAddresses()
		if c := d.node.Configuration(); c != nil {
			request.Configuration = c.Version
		}
	})
	rand.Shuffle(len(peers), func(i, j int) { peers[i], peers[j] = peers[j], peers[i] })
	responses := d.requestLostState(ctx, peers[:min(gossipFanout, len(peers))], request)
	d.loop.call(func(time.Time) {
		for _, response := range responses {
			for _, row := range fromWireRows(response.Configuration) {
				d.applyKnownConfiguration(row)
			}
		}
	})
}

// registerKnowledgeAge adds the gauge of the knowledge's age.
func (d *Daemon) registerKnowledgeAge() {
	d.registry.MustRegister(prometheus.NewGaugeFunc(prometheus.GaugeOpts{
		Name: "magnoliamount_knowledge_age_seconds", Help: "Upper bound of the age of the operators' table in force; +Inf before the first confirmation.",
	}, func() float64 {
		age := d.KnowledgeAge()
		if age == freshness.Unknown {
			return math.Inf(1)
		}
		return age.Seconds()
	}))
}
