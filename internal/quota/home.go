package quota

import (
	"math"
	"slices"
	"sync"
	"time"
)

const (
	// MaxKnowledgeAge is the age of a home's knowledge of the store up to which it
	// lends: a home that may have been replaced must not lend.
	MaxKnowledgeAge = 3 * time.Second
	// handoverTime is how long after a change of the list of daemons a home lends a
	// larger share than before. By then the daemons that had a larger share know of the
	// change or no longer lend.
	handoverTime = MaxKnowledgeAge + handoverMargin
	// handoverMargin is the time for questions that are on their way.
	handoverMargin = 500 * time.Millisecond
	// lowFraction is the part of a home's burst below which the other homes are asked
	// first. Otherwise the buckets of some homes would overflow while those near the
	// demand are empty.
	lowFraction = 0.75
	// lateRowsTime is how long after the end of a gap in a home's knowledge the rows that
	// it lacked may arrive.
	lateRowsTime = time.Second
	// MaxTokens bounds the tokens of one question.
	MaxTokens = 1000
	// maxPromise bounds the time for which refused borrowers are told to come back one
	// after the other.
	maxPromise = 2 * time.Second
	// notLendingWait is how long a borrower leaves out a daemon that does not lend.
	notLendingWait = time.Second
	// roundingError is more than the error of adding up tokens as floating-point numbers.
	roundingError = 1e-6
)

// FirstStart says that no daemon has lent before.
const FirstStart = time.Duration(math.MaxInt64)

// Question asks a home for tokens: Need for requests that wait, and up to Extra for
// requests that are expected within LoanTime.
type Question struct {
	Tenant string
	Need   int
	Extra  int
}

// Answer is a home's answer. Without tokens, Wait is the time until a token is
// available for the borrower, or, if NotLending is set, until the daemon may lend. Low is
// set when the home has few tokens left, so that others should be asked first.
type Answer struct {
	Tokens     int
	Wait       time.Duration
	NotLending bool
	Low        bool
}

// Home lends tokens of the tenants that this daemon is a home of. It is safe for
// concurrent use.
//
// The shares of the homes that lend at a time never add up to more than 1, also while
// daemons learn of a changed list at different times: a lower share is in force at once,
// a higher one after handoverTime, and a home whose knowledge is older than
// MaxKnowledgeAge does not lend. A bucket starts empty, so neither a restarted home nor a
// successor adds tokens.
type Home struct {
	mu      sync.Mutex
	vm      string
	buckets map[string]*bucket
	// membership is that of the last update, or nil, and daemonsChanged is when its list
	// of daemons last changed.
	membership     *Membership
	daemonsChanged time.Duration
	// confirmed is the time up to which this daemon knew the store at the last call of
	// Observe, confirmedRevision the revision of its list then, and gapEnd the end of the
	// last time in which its knowledge was too old to lend.
	confirmed         time.Duration
	confirmedRevision uint64
	gapEnd            time.Duration
}

// NewHome returns the home at the VM's daemon, which lends nothing yet.
func NewHome(vm string) *Home { return &Home{vm: vm, buckets: map[string]*bucket{}} }

// bucket is this home's part of a tenant's quota.
type bucket struct {
	// rate, depth and burst are those of all homes together, and share is this home's
	// part.
	rate  float64
	depth float64
	burst float64
	share float64
	// nextShare replaces share at raiseAt, unless they are equal.
	nextShare float64
	raiseAt   time.Duration
	tokens    float64
	filledAt  time.Duration
	// promisedAt is the time until which refused borrowers were told to come back.
	promisedAt time.Duration
}

// Update replaces the list of daemons and the quotas. unchanged is how long the list is
// known to have been the same, also before the start of this daemon, or FirstStart. If
// that is handoverTime, the shares of the first call are in force at once. So are those
// of a tenant that had no quota before.
func (h *Home) Update(now time.Duration, m *Membership, unchanged time.Duration) {
	h.mu.Lock()
	defer h.mu.Unlock()
	if h.membership == nil || !slices.Equal(h.membership.daemons, m.daemons) {
		h.daemonsChanged = now
		if h.membership == nil {
			h.daemonsChanged = now - min(max(0, unchanged), handoverTime)
		}
	}
	for tenant := range h.buckets {
		if m.share(tenant, h.vm) == 0 {
			delete(h.buckets, tenant)
		}
	}
	for tenant, q := range m.tenants {
		share := m.share(tenant, h.vm)
		if share == 0 {
			continue
		}
		raiseAt := now + handoverTime
		if h.membership == nil || h.membership.tenants[tenant] == nil {
			raiseAt = h.daemonsChanged + handoverTime
		}
		b := h.buckets[tenant]
		if b == nil {
			b = &bucket{filledAt: now}
			h.buckets[tenant] = b
		}
		b.fill(now)
		b.rate, b.depth, b.burst = q.rate, q.depth, q.burst
		b.setShare(share, raiseAt)
		if raiseAt <= now {
			b.raise()
		}
		b.fill(now)
	}
	h.membership = m
	if h.gapEnd != 0 && now-h.gapEnd < lateRowsTime {
		h.restartIfChanged(now)
	}
}

// Observe records the age of this daemon's knowledge of the store, and puts larger shares
// in force that are due. It must be called at least once a second.
func (h *Home) Observe(now, age time.Duration) {
	h.mu.Lock()
	defer h.mu.Unlock()
	h.observe(now, age)
}

func (h *Home) observe(now, age time.Duration) {
	confirmed := now - age
	if h.confirmed != 0 && confirmed-h.confirmed > MaxKnowledgeAge {
		h.gapEnd = now
		h.restartIfChanged(now)
	}
	if confirmed > h.confirmed && h.membership != nil {
		h.confirmed, h.confirmedRevision = confirmed, h.membership.revision
	}
	for _, b := range h.buckets {
		// A daemon that had a larger share may have missed a change that was undone within
		// MaxKnowledgeAge, so the change must have lasted longer.
		if b.nextShare > b.share && now >= b.raiseAt && confirmed >= b.raiseAt-handoverMargin {
			b.raise()
		}
	}
}

// restartIfChanged empties all buckets and lets them lend after handoverTime if a record
// of a daemon has changed since the knowledge was last confirmed. Another daemon may have
// become home, and lend still, although the list is the same as before.
func (h *Home) restartIfChanged(now time.Duration) {
	if h.membership == nil || h.membership.revision == h.confirmedRevision {
		return
	}
	h.confirmedRevision = h.membership.revision
	for tenant, b := range h.buckets {
		*b = bucket{rate: b.rate, depth: b.depth, burst: b.burst, filledAt: now}
		b.setShare(h.membership.share(tenant, h.vm), now+handoverTime)
	}
}

// share returns the VM's part of the tenant's quota.
func (m *Membership) share(tenant, vm string) float64 {
	q := m.tenants[tenant]
	if q == nil {
		return 0
	}
	for i := range q.homes {
		if q.homes[i].VM == vm {
			return 1 / float64(len(q.homes))
		}
	}
	return 0
}

// setShare sets the share, a larger one from raiseAt on.
func (b *bucket) setShare(share float64, raiseAt time.Duration) {
	switch {
	case share <= b.share:
		b.share, b.nextShare = share, share
	case share != b.nextShare:
		b.nextShare, b.raiseAt = share, raiseAt
	}
}

// raise puts nextShare in force from raiseAt on.
func (b *bucket) raise() {
	b.fill(b.raiseAt)
	b.share, b.filledAt = b.nextShare, max(b.filledAt, b.raiseAt)
}

// fill adds the tokens since the last call.
func (b *bucket) fill(now time.Duration) {
	elapsed := max(0, now-b.filledAt)
	b.tokens = min(b.depth*b.share, b.tokens+b.rate*b.share*elapsed.Seconds())
	b.filledAt += elapsed
}

// Lend answers a question. age is the age of this daemon's knowledge of the store.
func (h *Home) Lend(now, age time.Duration, q Question) Answer {
	h.mu.Lock()
	defer h.mu.Unlock()
	h.observe(now, age)
	b := h.buckets[q.Tenant]
	if b == nil || age > MaxKnowledgeAge {
		return Answer{NotLending: true, Wait: notLendingWait}
	}
	b.fill(now)
	if b.share == 0 {
		return Answer{NotLending: true, Wait: max(handoverMargin, b.raiseAt-now)}
	}
	available := int(b.tokens + roundingError)
	if available < 1 {
		return Answer{Wait: b.promise(now)}
	}
	lent := min(max(1, q.Need), available, MaxTokens)
	// Unused tokens are lost, so tokens are lent in advance only from those of a bucket
	// that holds more than its part of the burst.
	surplus := int(max(0, b.tokens-float64(lent)-(b.depth+b.burst)/2*b.share))
	lent += min(max(0, q.Extra), surplus, MaxTokens-lent)
	b.tokens -= float64(lent)
	return Answer{Tokens: lent, Low: b.tokens < lowFraction*b.burst*b.share}
}

// promise returns the time after which a refused borrower should ask again. Refused
// borrowers come back one after the other, as fast as the bucket fills, so that those
// who come back at that time find a token.
func (b *bucket) promise(now time.Duration) time.Duration {
	rate := b.rate * b.share
	next := now + seconds((1-b.tokens)/rate)
	b.promisedAt = max(next, min(b.promisedAt+seconds(1/rate), now+maxPromise))
	return b.promisedAt - now
}

// seconds converts a number of seconds, rounded up to a nanosecond.
func seconds(s float64) time.Duration { return time.Duration(math.Ceil(s * float64(time.Second))) }
