package quota

import (
	"cmp"
	"maps"
	"math"
	"slices"
	"sync"
	"time"
)

const (
	// AnswerTimeout is how long a request waits for the answer of a home.
	AnswerTimeout = 150 * time.Millisecond
	// patience is how long after its arrival a request may still wait for an empty home.
	// A tenant close to its quota often finds parts of a token at each of its homes.
	patience = AnswerTimeout
	// maxTakeTime bounds the wait of a request whose tokens others have taken each time.
	// All homes may fail to answer within it.
	maxTakeTime = maxHomes * AnswerTimeout
	// unreachableTime is how long a home that did not answer is left out.
	unreachableTime = time.Second
	// demandTime is the time constant of the moving average of a tenant's demand.
	demandTime = time.Second
	// maxRetryAfter bounds the Retry-After of requests that are refused while the homes
	// are empty, beyond the time that a home has told.
	maxRetryAfter = 2 * time.Second
	// noHomesRetryAfter is the Retry-After while the daemon knows no home.
	noHomesRetryAfter = time.Second
)

// Token is the right to run one request.
type Token struct {
	// Expires is the end of the loan.
	Expires time.Duration
}

// Valid reports whether a request may be sent with the token.
func (t Token) Valid(now time.Duration) bool { return now < t.Expires }

// Outcome is the result of a request for a token. Its text is used in metrics.
type Outcome string

// Outcomes of a request for a token.
const (
	// Granted means that the request may run.
	Granted Outcome = "granted"
	// OverQuota means that the homes have no token.
	OverQuota Outcome = "over-quota"
	// Unreachable means that no home lends.
	Unreachable Outcome = "unreachable"
	// Canceled means that the request ended while it waited.
	Canceled Outcome = "canceled"
	// Ask means that a home must be asked first.
	Ask Outcome = "ask"
	// Wait means that the homes are empty, but only for Result.RetryAfter.
	Wait Outcome = "wait"
)

// Result is the result of a request for a token. RetryAfter is set when it was refused;
// Home is the daemon that told it, TellAge ago, or "".
type Result struct {
	Outcome    Outcome
	Token      Token
	RetryAfter time.Duration
	Home       string
	TellAge    time.Duration
}

// Borrower holds the tokens that this daemon has borrowed, and what it knows of the
// homes. It is safe for concurrent use.
type Borrower struct {
	mu       sync.Mutex
	self     Daemon
	accounts map[string]*account
	// unreachableUntil is the time until which homes are left out, by VM.
	unreachableUntil map[string]time.Duration
}

// NewBorrower returns the borrower at the daemon, which knows no tenants.
func NewBorrower(self Daemon) *Borrower {
	return &Borrower{self: self, accounts: map[string]*account{}, unreachableUntil: map[string]time.Duration{}}
}

// account is what the daemon has borrowed for one tenant.
type account struct {
	loans  []loan
	demand demand
	// homes are in the order in which they are asked.
	homes []*homeView
}

// loan is a number of tokens of one answer.
type loan struct {
	expires time.Duration
	tokens  int
}

// homeView is what the daemon knows of a tenant's home.
type homeView struct {
	Daemon
	// until is the time until which the home has no token for this daemon, as it told at
	// toldAt.
	until      time.Duration
	toldAt     time.Duration
	notLending bool
	// lowUntil is the time until which the other homes are asked first.
	lowUntil time.Duration
	// refused counts the requests that were refused since, without a question.
	refused int
}

// demand is the moving average of the rate of a tenant's requests.
type demand struct {
	perSecond float64
	at        time.Duration
}

func (d *demand) rate(now time.Duration) float64 {
	return d.perSecond * math.Exp(-max(0, (now-d.at).Seconds())/demandTime.Seconds())
}

func (d *demand) add(now time.Duration) {
	d.perSecond = d.rate(now) + 1/demandTime.Seconds()
	d.at = now
}

// Update replaces the homes. Loans and what homes have told are kept.
func (b *Borrower) Update(now time.Duration, m *Membership) {
	b.mu.Lock()
	defer b.mu.Unlock()
	accounts := make(map[string]*account, len(m.tenants))
	for tenant, q := range m.tenants {
		a := b.accounts[tenant]
		if a == nil {
			a = &account{}
		}
		a.setHomes(b.order(tenant, q.homes))
		accounts[tenant] = a
	}
	b.accounts = accounts
	maps.DeleteFunc(b.unreachableUntil, func(_ string, until time.Duration) bool { return now >= until })
}

// order returns the homes in the order in which they are asked: this daemon, those of its
// failure domain, and the others. The order within these differs from daemon to daemon.
func (b *Borrower) order(tenant string, homes []Daemon) []Daemon {
	const otherDomain = 1 << 63
	rank := func(d Daemon) uint64 {
		if d.VM == b.self.VM {
			return 0
		}
		weight := rendezvousWeight(tenant, b.self.VM, d.VM) >> 1
		if d.Domain == b.self.Domain {
			return weight
		}
		return otherDomain | weight
	}
	ordered := slices.Clone(homes)
	slices.SortFunc(ordered, func(x, y Daemon) int { return cmp.Compare(rank(x), rank(y)) })
	return ordered
}

func (a *account) setHomes(homes []Daemon) {
	old := a.homes
	a.homes = make([]*homeView, 0, len(homes))
	for _, home := range homes {
		at := slices.IndexFunc(old, func(v *homeView) bool { return v.Daemon == home })
		if at >= 0 {
			a.homes = append(a.homes, old[at])
			continue
		}
		a.homes = append(a.homes, &homeView{Daemon: home})
	}
}

// Arrive counts a request for the forecast and takes a token as Take does.
func (b *Borrower) Arrive(now time.Duration, tenant string) Result {
	b.mu.Lock()
	defer b.mu.Unlock()
	if a := b.accounts[tenant]; a != nil {
		a.demand.add(now)
	}
	return b.take(now, now, tenant)
}

// Take takes a token for a request that has arrived at the time, of a tenant that has a
// quota. After the outcomes Ask and Wait the caller must call it again.
func (b *Borrower) Take(now, arrived time.Duration, tenant string) Result {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.take(now, arrived, tenant)
}

func (b *Borrower) take(now, arrived time.Duration, tenant string) Result {
	a := b.accounts[tenant]
	if a == nil {
		return Result{Outcome: Unreachable, RetryAfter: noHomesRetryAfter}
	}
	if expires, ok := a.takeToken(now); ok {
		return Result{Outcome: Granted, Token: Token{Expires: expires}}
	}
	if home := b.nextHome(now, a); home != nil {
		if now < arrived+maxTakeTime {
			return Result{Outcome: Ask}
		}
		return Result{Outcome: OverQuota, Home: home.VM, TellAge: now - max(home.toldAt, arrived), RetryAfter: AnswerTimeout}
	}
	return b.refuse(now, arrived, a)
}

// takeToken takes the token whose loan ends first and returns the end of the loan.
func (a *account) takeToken(now time.Duration) (expires time.Duration, ok bool) {
	a.loans = slices.DeleteFunc(a.loans, func(l loan) bool { return l.tokens == 0 || now >= l.expires })
	if len(a.loans) == 0 {
		return 0, false
	}
	first := 0
	for i := range a.loans {
		if a.loans[i].expires < a.loans[first].expires {
			first = i
		}
	}
	a.loans[first].tokens--
	return a.loans[first].expires, true
}

// nextHome returns the first home that may have tokens, or nil. Homes with few tokens
// come last.
func (b *Borrower) nextHome(now time.Duration, a *account) *homeView {
	var low *homeView
	for _, home := range a.homes {
		switch {
		case now < home.until || now < b.unreachableUntil[home.VM]:
		case now >= home.lowUntil:
			return home
		case low == nil:
			low = home
		}
	}
	return low
}

// refuse returns the result of a request while no home can be asked. An empty home
// decides, since the others are expected back at a time that nobody knows.
func (b *Borrower) refuse(now, arrived time.Duration, a *account) Result {
	result := Result{Outcome: Unreachable, RetryAfter: noHomesRetryAfter}
	var soonest *homeView
	for _, home := range a.homes {
		switch {
		case now < home.until && !home.notLending:
			if soonest == nil || home.until < soonest.until {
				soonest = home
			}
		case soonest == nil:
			until, told := home.until, home.toldAt
			if unreachable := b.unreachableUntil[home.VM]; unreachable > until {
				until, told = unreachable, unreachable-unreachableTime
			}
			if until-now <= result.RetryAfter {
				result.RetryAfter, result.Home, result.TellAge = until-now, home.VM, now-told
			}
		}
	}
	if soonest == nil {
		return result
	}
	if soonest.until <= arrived+patience {
		return Result{Outcome: Wait, RetryAfter: soonest.until - now}
	}
	// The next tokens follow at about the distance of the first.
	spread := time.Duration(soonest.refused) * (soonest.until - soonest.toldAt)
	soonest.refused++
	return Result{
		Outcome: OverQuota, Home: soonest.VM, TellAge: now - soonest.toldAt,
		RetryAfter: max(soonest.until-now, min(soonest.until-now+spread, maxRetryAfter)),
	}
}

// NextQuestion returns the question for the tokens that the waiting requests need, and
// the home to ask. It returns false when there is no home to ask.
func (b *Borrower) NextQuestion(now time.Duration, tenant string, waiting int) (Daemon, Question, bool) {
	b.mu.Lock()
	defer b.mu.Unlock()
	a := b.accounts[tenant]
	if a == nil {
		return Daemon{}, Question{}, false
	}
	home := b.nextHome(now, a)
	if home == nil {
		return Daemon{}, Question{}, false
	}
	expected := int(a.demand.rate(now) * LoanTime.Seconds())
	need := min(max(1, waiting), MaxTokens)
	return home.Daemon, Question{Tenant: tenant, Need: need, Extra: min(expected, MaxTokens-need)}, true
}

// Answered applies the answer to a question that was asked at the time asked. answer is
// nil when the home did not answer.
func (b *Borrower) Answered(now, asked time.Duration, tenant string, home Daemon, answer *Answer) {
	b.mu.Lock()
	defer b.mu.Unlock()
	if answer == nil {
		b.unreachableUntil[home.VM] = now + unreachableTime
		return
	}
	a := b.accounts[tenant]
	if a == nil {
		return
	}
	if answer.Tokens > 0 {
		a.loans = append(a.loans, loan{expires: asked + LoanTime, tokens: answer.Tokens})
	}
	at := slices.IndexFunc(a.homes, func(v *homeView) bool { return v.Daemon == home })
	if at < 0 {
		return
	}
	view := a.homes[at]
	if answer.Low {
		view.lowUntil = now + LoanTime
	}
	if answer.Tokens == 0 {
		view.until, view.toldAt, view.notLending, view.refused = now+answer.Wait, now, answer.NotLending, 0
	}
}

// Return gives back the token of a request that was not sent.
func (b *Borrower) Return(now time.Duration, tenant string, token Token) {
	b.mu.Lock()
	defer b.mu.Unlock()
	if a := b.accounts[tenant]; a != nil && now < token.Expires {
		a.loans = append(a.loans, loan{expires: token.Expires, tokens: 1})
	}
}
