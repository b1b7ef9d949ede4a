package sidecar

import (
	"context"
	"net/http"
	"slices"
	"sync"
	"time"

	"github.com/phuslu/log"
	"github.com/prometheus/client_golang/prometheus"
	"golang.org/x/sys/unix"

	"github.com/magnoliamount/magnoliamount/internal/model"
	"github.com/magnoliamount/magnoliamount/internal/proxy"
	"github.com/magnoliamount/magnoliamount/internal/quota"
)

// quotas asks homes for tokens of the tenants' quotas, and answers other daemons.
type quotas struct {
	config   quotasConfig
	home     *quota.Home
	borrower *quota.Borrower
	// questions counts the questions to other daemons by their result.
	questions *prometheus.CounterVec

	mu sync.Mutex
	// pending holds the question in progress of each tenant, and waiting the number of
	// requests that wait for tokens.
	pending map[string]chan struct{}
	waiting map[string]int

	// tenants, daemons and membership are those of the last update, and belong to the
	// event loop.
	tenants    []model.Tenant
	daemons    []quota.Daemon
	membership *quota.Membership
}

type quotasConfig struct {
	self  quota.Daemon
	terms quota.Terms
	// now reads a clock that also runs while the VM is suspended, and age returns the age
	// of this daemon's knowledge of the store.
	now    func() time.Duration
	age    func() time.Duration
	client *http.Client
	logger *log.Logger
	// mayLog limits the log lines about single questions.
	mayLog func() bool
}

func newQuotas(config quotasConfig, registry prometheus.Registerer) *quotas {
	q := &quotas{
		config: config, home: quota.NewHome(config.self.VM), borrower: quota.NewBorrower(config.self),
		pending: map[string]chan struct{}{}, waiting: map[string]int{},
		questions: prometheus.NewCounterVec(prometheus.CounterOpts{
			Name: "magnoliamount_quota_questions_total", Help: "Questions for tokens to other daemons.",
		}, []string{"result"}),
	}
	registry.MustRegister(q.questions)
	return q
}

// newQuotas creates the quotas, if the configuration has them, and returns them for the
// outbound proxy.
func (d *Daemon) newQuotas() proxy.Quotas {
	if d.config.Quotas.Window <= 0 {
		return nil
	}
	d.quotas = newQuotas(quotasConfig{
		self: quota.Daemon{VM: d.config.VM, Domain: d.config.Domain, Peer: d.config.Peer}, terms: d.config.Quotas,
		now: bootTime, age: d.KnowledgeAge, client: &http.Client{Transport: newQuotaTransport()}, logger: d.logger,
		mayLog: func() bool { return d.requestLogs.allow(time.Now()) },
	}, d.registry)
	return d.quotas
}

// bootTime reads a clock that also runs while the VM is suspended.
func bootTime() time.Duration {
	var now unix.Timespec
	// The call fails only for an unknown clock.
	_ = unix.ClockGettime(unix.CLOCK_BOOTTIME, &now)
	return time.Duration(now.Nano())
}

// storeClock returns the store's clock, or zero while it is not known. At the first start
// of the mesh, what happens before the store's first response counts as its beginning.
func (d *Daemon) storeClock() time.Duration {
	if clock, ok := d.config.Store.Clock(); ok {
		return clock
	}
	if d.config.FirstStart {
		return time.Millisecond
	}
	return 0
}

// lateWriteTime is how much later than its call a write may take effect whose response was
// lost.
const lateWriteTime = 10 * time.Second

// daemonsUnchanged returns how long all daemons have been able to know the present list of
// daemons that may be homes, at least. It is zero after a restore of the store, which may
// bring back an older list. It runs in the event loop.
func (d *Daemon) daemonsUnchanged() time.Duration {
	if d.config.FirstStart {
		// No other daemon lends yet.
		return quota.FirstStart
	}
	clock, clockKnown := d.config.Store.Clock()
	changedAt, changeKnown := d.node.ReadyDaemonsChangedAt()
	if !clockKnown || !changeKnown || d.node.Era() > 0 {
		return 0
	}
	return max(0, clock-changedAt-lateWriteTime)
}

// update applies the tenants and the daemons that may be their homes. The revision differs
// from that of an earlier list if any daemon has changed since. unchanged is how long the
// list has been the same, at least. It runs in the event loop.
func (q *quotas) update(tenants []model.Tenant, daemons []quota.Daemon, revision uint64, unchanged time.Duration) {
	now := q.config.now()
	if q.membership != nil && slices.Equal(q.daemons, daemons) && sameTenants(q.tenants, tenants) {
		q.home.Update(now, q.membership.WithRevision(revision), unchanged)
		return
	}
	q.tenants, q.daemons = tenants, daemons
	limits := make(map[string]quota.Limit, len(tenants))
	for i := range tenants {
		limits[tenants[i].Name] = quota.Limit{RatePerSecond: tenants[i].RatePerSecond, Burst: tenants[i].Burst}
	}
	q.membership = quota.NewMembership(q.config.terms, limits, daemons, revision)
	q.home.Update(now, q.membership, unchanged)
	q.borrower.Update(now, q.membership)
}

// observe tells the home the age of this daemon's knowledge.
func (q *quotas) observe() { q.home.Observe(q.config.now(), q.config.age()) }

// sameTenants reports whether both are the list of the same configuration.
func sameTenants(a, b []model.Tenant) bool {
	return len(a) == len(b) && (len(a) == 0 || &a[0] == &b[0])
}

// Take implements proxy.Quotas. Requests of one tenant share a question.
func (q *quotas) Take(ctx context.Context, tenant string) quota.Result {
	arrived := q.config.now()
	result := q.borrower.Arrive(arrived, tenant)
	if !undecided(result) {
		return result
	}
	q.countWaiting(tenant, 1)
	defer q.countWaiting(tenant, -1)
	for undecided(result) {
		var next <-chan struct{}
		var timeout <-chan time.Time
		if result.Outcome == quota.Ask {
			next = q.ask(tenant)
		} else {
			timeout = time.After(result.RetryAfter)
		}
		select {
		case <-next:
		case <-timeout:
		case <-ctx.Done():
			return quota.Result{Outcome: quota.Canceled}
		}
		result = q.borrower.Take(q.config.now(), arrived, tenant)
	}
	return result
}

// undecided reports whether a request without a token must wait.
func undecided(r quota.Result) bool { return r.Outcome == quota.Ask || r.Outcome == quota.Wait }

// Valid implements proxy.Quotas.
func (q *quotas) Valid(token quota.Token) bool { return token.Valid(q.config.now()) }

// Return implements proxy.Quotas.
func (q *quotas) Return(tenant string, token quota.Token) {
	q.borrower.Return(q.config.now(), tenant, token)
}

func (q *quotas) countWaiting(tenant string, change int) {
	q.mu.Lock()
	defer q.mu.Unlock()
	q.waiting[tenant] += change
	if q.waiting[tenant] == 0 {
		delete(q.waiting, tenant)
	}
}

// ask returns a channel that is closed at the end of the tenant's question in progress.
// It starts one if there is none.
func (q *quotas) ask(tenant string) <-chan struct{} {
	q.mu.Lock()
	defer q.mu.Unlock()
	if done, ok := q.pending[tenant]; ok {
		return done
	}
	done := make(chan struct{})
	asked := q.config.now()
	home, question, ok := q.borrower.NextQuestion(asked, tenant, q.waiting[tenant])
	if !ok {
		close(done)
		return done
	}
	if home.VM == q.config.self.VM {
		answer := q.lend(question)
		q.borrower.Answered(asked, asked, tenant, home, &answer)
		close(done)
		return done
	}
	q.pending[tenant] = done
	go func() {
		answer := q.send(home, question)
		q.borrower.Answered(q.config.now(), asked, tenant, home, answer)
		q.mu.Lock()
		delete(q.pending, tenant)
		q.mu.Unlock()
		close(done)
	}()
	return done
}

// lend answers a question.
func (q *quotas) lend(question quota.Question) quota.Answer {
	return q.home.Lend(q.config.now(), q.config.age(), question)
}

// send asks another daemon. It returns nil when there is no valid answer.
func (q *quotas) send(home quota.Daemon, question quota.Question) *quota.Answer {
	answer, err := postQuestion(context.Background(), q.config.client, home.Peer, question)
	if err != nil {
		q.questions.WithLabelValues("failed").Inc()
		if q.config.mayLog() {
			q.config.logger.Warn().Err(err).Str("event", "quota-question-failed").Str("home", home.VM).Str("tenant", question.Tenant).Msg("a daemon did not answer a question for tokens")
		}
		return nil
	}
	q.questions.WithLabelValues(answerResult(answer)).Inc()
	return answer
}

// answerResult returns the label of an answer.
func answerResult(a *quota.Answer) string {
	switch {
	case a.NotLending:
		return "not-lending"
	case a.Tokens == 0:
		return "empty"
	}
	return "lent"
}

var _ proxy.Quotas = (*quotas)(nil)
