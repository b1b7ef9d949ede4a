package routing_test

import (
	"math/rand/v2"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/magnoliamount/magnoliamount/internal/model"
	"github.com/magnoliamount/magnoliamount/internal/routing"
)

// kind is a kind of request in the load; rate is in requests per second.
type kind struct {
	name      string
	rate      float64
	work      time.Duration
	objective time.Duration
	priority  uint32
	// latest is how long after its arrival a response to a call of a server is
	// useful; zero means that clients send the kind.
	latest time.Duration
}

// usefulFor returns how long after the arrival of a request its response is
// useful.
func (k kind) usefulFor() time.Duration { return max(k.objective, k.latest) }

// outcome counts the requests of a kind, those with a response in time, and
// those that were shed. waited is how long the admitted ones waited in total.
type outcome struct {
	requests, inTime, refused int
	waited                    time.Duration
}

// simulate sends requests of the kinds to one target for ten seconds and returns
// the outcomes by kind. It is deterministic.
func simulate(slots int, kinds []kind, withObjectives bool) map[string]outcome {
	random := rand.New(rand.NewPCG(7, 7))
	admission := routing.NewAdmission(slots)
	results := map[string]outcome{}
	type running struct {
		w       *routing.Waiter
		k       kind
		arrived time.Time
		end     time.Time
		due     time.Time
	}
	var active []running
	waiting := map[*routing.Waiter]running{}
	admit := func(now time.Time, changed []*routing.Waiter) {
		for _, w := range changed {
			r := waiting[w]
			delete(waiting, w)
			o := results[r.k.name]
			if w.Verdict == routing.Admitted {
				r.end = now.Add(r.k.work)
				active = append(active, r)
				o.waited += now.Sub(r.arrived)
			} else {
				o.refused++
			}
			results[r.k.name] = o
		}
	}
	step := time.Millisecond
	for now := start; now.Before(start.Add(10 * time.Second)); now = now.Add(step) {
		for i := 0; i < len(active); i++ {
			if r := active[i]; !now.Before(r.end) {
				active = append(active[:i], active[i+1:]...)
				i--
				o := results[r.k.name]
				if !r.end.After(r.due) {
					o.inTime++
				}
				results[r.k.name] = o
				admit(now, admission.Release(now, r.w))
			}
		}
		for _, k := range kinds {
			if random.Float64() >= k.rate*step.Seconds() {
				continue
			}
			w := &routing.Waiter{Class: model.Normal, Deadline: now.Add(max(3*k.objective, k.latest)), Patience: -1}
			if withObjectives {
				w.Kind, w.Priority, w.Objective = k.name, k.priority, now.Add(k.objective)
				w.ServerCall = k.latest > 0
			}
			r := running{w: w, k: k, arrived: now, due: now.Add(k.usefulFor())}
			o := results[k.name]
			o.requests++
			results[k.name] = o
			waiting[w] = r
			changed := admission.Arrive(now, w)
			if w.Verdict != routing.Waiting {
				changed = append(changed, w)
			}
			admit(now, changed)
		}
	}
	return results
}

func (o outcome) share() float64 { return float64(o.inTime) / float64(o.requests) }

// The load is 1.5 times the capacity of a target. Accepted requests should
// finish in time, and the others should be shed early.
var _ = Describe("admission under overload", func() {
	orders := []kind{
		{"look", 70, 120 * time.Millisecond, 400 * time.Millisecond, 2, 0},
		{"place", 30, 160 * time.Millisecond, 500 * time.Millisecond, 1, 0},
	}

	// Guards against a queue in which every request becomes late: the requests
	// in excess of the capacity, 17% of all, made most of the others miss their
	// objective.
	It("finishes accepted requests in time where a plain queue is late", func() {
		plain, timed := simulate(9, orders, false), simulate(9, orders, true)
		Expect(plain["look"].share() + plain["place"].share()).To(BeNumerically("<", timed["look"].share()+timed["place"].share()))
		for _, o := range timed {
			Expect(float64(o.inTime+o.refused)/float64(o.requests)).To(BeNumerically(">", 0.93), "few requests are late")
		}
		Expect(timed["place"].share()).To(BeNumerically(">", 0.9))
		Expect(timed["look"].share()).To(BeNumerically(">", 0.35), "the less urgent kind does not starve")
	})

	// Guards against uploads that starve behind short look-ups of the same
	// priority, seen on a day found by a search for failures, with two of three
	// document servers lost.
	It("does not starve long requests behind short ones", func() {
		results := simulate(9, []kind{
			{"check", 260, 30 * time.Millisecond, 120 * time.Millisecond, 1, 0},
			{"upload", 25, 140 * time.Millisecond, 500 * time.Millisecond, 1, 0},
		}, true)
		Expect(results["upload"].share()).To(BeNumerically(">", 0.8))
		Expect(results["check"].share()).To(BeNumerically(">", 0.5))
	})

	// Guards against slots that go to less urgent requests while more urgent ones
	// of the same service are shed: on a day with a route moved to a service that
	// was short of slots, 27% of the sales were refused and 19% of the look-ups.
	// The sales alone are 0.9 of the capacity.
	It("serves urgent requests that fit, whatever else asks", func() {
		results := simulate(9, []kind{
			{"look", 60, 120 * time.Millisecond, 400 * time.Millisecond, 2, 0},
			{"sale", 50, 160 * time.Millisecond, 500 * time.Millisecond, 1, 0},
		}, true)
		Expect(results["sale"].share()).To(BeNumerically(">", 0.97))
	})

	// Guards against calls of servers that are shed for a small delay: each one
	// fails a look-up whose work is done. In scenario trouble-3 of
	// lipa-reorder-grown, 9,183 of 69,000 attempts failed in this way.
	It("keeps calls of servers in the queue until their deadline, and still serves uploads", func() {
		load := func(latest time.Duration) map[string]outcome {
			return simulate(6, []kind{
				{"check", 135, 30 * time.Millisecond, 120 * time.Millisecond, 1, latest},
				{"upload", 15, 150 * time.Millisecond, 800 * time.Millisecond, 1, 0},
			}, true)
		}
		refused, kept := load(0), load(400*time.Millisecond)
		Expect(float64(refused["check"].refused) / float64(refused["check"].requests)).To(BeNumerically(">", 0.05))
		Expect(kept["check"].share()).To(BeNumerically(">", 0.97))
		Expect(kept["upload"].share()).To(BeNumerically(">", 0.8))
	})

	// Guards against calls of servers that wait behind long requests whose objective
	// allows a wait: on a day with token sales each look-up of prices waited for 47 ms of
	// 79 ms, and the balance checks that made them held 28% more slots of their own
	// service meanwhile. A call should wait for less time than it works.
	It("serves calls of servers before requests that can wait", func() {
		results := simulate(9, []kind{
			{"price", 150, 30 * time.Millisecond, 120 * time.Millisecond, 1, 400 * time.Millisecond},
			{"sale", 40, 150 * time.Millisecond, 500 * time.Millisecond, 1, 0},
		}, true)
		price := results["price"]
		Expect(price.waited).To(BeNumerically("<", time.Duration(price.requests)*30*time.Millisecond))
		Expect(results["sale"].share()).To(BeNumerically(">", 0.6), "the room that is left is 0.75 of the sales")
	})
})
