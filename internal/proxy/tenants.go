package proxy

import (
	"io"
	"net/http"
	"strconv"
	"strings"
	"time"

	"github.com/magnoliamount/magnoliamount/internal/fault"
	"github.com/magnoliamount/magnoliamount/internal/freshness"
	"github.com/magnoliamount/magnoliamount/internal/model"
	"github.com/magnoliamount/magnoliamount/internal/tenant"
)

// authorizationHeader carries the API key of a request.
const authorizationHeader = "Authorization"

// scheme is the authentication scheme that 401 responses name.
const scheme = "Bearer"

// Reasons for refusing a request because of its API key, besides those of type
// tenant.Reason; values of the label "reason".
const (
	// keyUncertain: no tenant holds the key, but the configuration may be too old to be
	// sure.
	keyUncertain = "uncertain"
	// keyStale: the configuration may be so old that the key may have been removed.
	keyStale = "stale"
	// keyChanged: the key changed its holder while the request waited.
	keyChanged = "changed"
)

func (x *exchange) countKey(reason string) { x.o.config.Metrics.countKeyRefusal(reason) }

// setTenants sets the directory of the tenants. It keeps that of the old snapshot,
// which may be nil, when the list is the same.
func (s *snapshot) setTenants(tenants []model.Tenant, old *snapshot) {
	s.configuredTenants = tenants
	if old != nil && len(old.configuredTenants) == len(tenants) && len(tenants) > 0 && &old.configuredTenants[0] == &tenants[0] {
		s.tenants = old.tenants
		return
	}
	s.tenants = tenant.NewDirectory(tenants)
}

// knowledge returns the configuration in force and an upper bound of its age, which is
// zero without tenants.
func (o *Outbound) knowledge() (*snapshot, time.Duration) {
	s := o.current.Load()
	if s.tenants == nil || o.config.KnowledgeAge == nil {
		return s, 0
	}
	// The age is read first: then it also holds for a configuration that is put in force
	// meanwhile. The other way round, a process that was suspended in between would
	// combine the configuration of before with the age of after.
	age := o.config.KnowledgeAge()
	return o.current.Load(), age
}

// authenticate finds the tenant of the request. It returns the refusal of a request
// that needs an API key and has none that a tenant holds, or whose key may have been
// removed, or nil.
func (x *exchange) authenticate() *refusal {
	if x.snapshot.tenants == nil || x.route.Public {
		return nil
	}
	holder, reason, err := x.snapshot.tenants.Authenticate(x.r.Header[authorizationHeader])
	if err != nil {
		return x.refuseKey(string(reason), err)
	}
	x.tenant = holder
	return x.refuseStale(x.knowledgeAge)
}

// maxCertainAge is the age of the configuration up to which a request is refused for good
// because no tenant holds its key. The key may have been added meanwhile.
const maxCertainAge = 1500 * time.Millisecond

// refuseKey returns the refusal of a request whose key no tenant holds.
func (x *exchange) refuseKey(reason string, err error) *refusal {
	if x.knowledgeAge <= maxCertainAge {
		setHeader(x.w.Header(), "Www-Authenticate", scheme)
		x.countKey(reason)
		return notRun(http.StatusUnauthorized, err)
	}
	return x.refuseForAge(keyUncertain, min(maxUncertainRetryAfter, x.outageRetryAfter()), fault.Wrap(err, fault.Unavailable,
		"the API key may be newer than the configuration, which was %s", ageText(x.knowledgeAge)))
}

// refuseStale returns the refusal of a request with a key if the configuration may be so
// old that the key may have been removed, or nil.
func (x *exchange) refuseStale(age time.Duration) *refusal {
	limit := x.o.config.MaxKnowledgeAge
	if limit == 0 || age <= limit {
		return nil
	}
	return x.refuseForAge(keyStale, x.outageRetryAfter(), fault.New(fault.Unavailable,
		"the API key may have been removed: the configuration was %s; %d ms are allowed", ageText(age), limit.Milliseconds()))
}

// refuseForAge returns a refusal that newer knowledge may end, and counts it.
func (x *exchange) refuseForAge(reason string, retryAfter time.Duration, err error) *refusal {
	x.countKey(reason)
	refused := notRun(http.StatusServiceUnavailable, err)
	refused.retryAfter = retryAfter
	return refused
}

// confirmTenant checks before a transmission, where revocation is strict, that the key
// still belongs to the tenant. It returns the refusal, or nil.
func (x *exchange) confirmTenant() *refusal {
	if x.tenant == nil || x.o.config.MaxKnowledgeAge == 0 {
		return nil
	}
	current, age := x.o.knowledge()
	if current.tenants != x.snapshot.tenants && !current.holdsKey(x) {
		return x.refuseForAge(keyChanged, min(maxUncertainRetryAfter, x.outageRetryAfter()),
			fault.New(fault.Unavailable, "the configuration has changed, and tenant %q no longer holds the API key", x.tenant.Name))
	}
	return x.refuseStale(age)
}

// holdsKey reports whether the tenant of the request still holds its key.
func (s *snapshot) holdsKey(x *exchange) bool {
	if s.tenants == nil {
		return false
	}
	holder, _, err := s.tenants.Authenticate(x.r.Header[authorizationHeader])
	return err == nil && holder.Name == x.tenant.Name
}

// mayRepeat is confirmTenant before a further transmission. Without it, the response to
// the previous one is the final one.
func (x *exchange) mayRepeat() bool {
	refused := x.confirmTenant()
	if refused != nil {
		recordRefusal(x.o.config.Observer, refused, x.in.id, x.decisionInputs)
	}
	return refused == nil
}

// maxUncertainRetryAfter bounds the Retry-After of a request whose key is not known yet.
// In normal operation a daemon confirms its configuration about once a second.
const maxUncertainRetryAfter = 700 * time.Millisecond

// outageRetryAfter returns a Retry-After within the time that the caller has left, before
// the deadline of the request is set.
func (x *exchange) outageRetryAfter() time.Duration {
	left := x.route.Timeout
	if left <= 0 {
		left = model.DefaultTimeout
	}
	if x.in.hasDeadline {
		left = min(left, x.in.remaining)
	}
	return time.Duration(outageRetryAfterFraction * float64(left))
}

// ageText returns the age of the configuration for a message.
func ageText(age time.Duration) string {
	if age == freshness.Unknown {
		return "not confirmed since the start of the daemon"
	}
	return "last confirmed " + strconv.FormatInt(age.Milliseconds(), 10) + " ms ago"
}

// setTenantHeaders replaces the API key by the name of the tenant in the headers of a
// request to another daemon, and removes both from its trailers. Without tenants, the
// headers of the caller stay.
func (x *exchange) setTenantHeaders(out *http.Request) {
	if x.snapshot.tenants == nil {
		return
	}
	h := out.Header
	delete(h, authorizationHeader)
	delete(h, x.o.config.Protocol.Tenant)
	if x.tenant != nil {
		x.fields.set(h, TenantHeader, x.tenant.Name)
	}
	if len(out.Trailer) > 0 {
		x.filterTrailers(out)
	}
}

// filterTrailers sends the caller's trailers without those that are reserved. The trailers
// of a body that is not buffered arrive only at its end.
func (x *exchange) filterTrailers(out *http.Request) {
	received := x.r.Trailer
	out.Trailer = http.Header{}
	copyAllowed := func() {
		for name, values := range received {
			if name != authorizationHeader && name != x.o.config.Protocol.Tenant && !strings.HasPrefix(name, headerPrefix) {
				out.Trailer[name] = values
			}
		}
	}
	copyAllowed()
	out.Body = &notifyingBody{ReadCloser: out.Body, atEnd: copyAllowed}
}

// notifyingBody calls atEnd when its end is read.
type notifyingBody struct {
	io.ReadCloser
	atEnd func()
}

// Read implements io.Reader.
func (b *notifyingBody) Read(p []byte) (int, error) {
	n, err := b.ReadCloser.Read(p)
	if err == io.EOF {
		b.atEnd()
	}
	return n, err
}

// SharedKeyHolders returns the sorted names of the tenants that hold a key of another
// tenant in the configuration in force.
func (o *Outbound) SharedKeyHolders() []string {
	if tenants := o.current.Load().tenants; tenants != nil {
		return tenants.SharedKeyHolders()
	}
	return nil
}

// priority returns the rank of the request; zero is the highest.
func (x *exchange) priority() uint32 {
	if x.tenant != nil {
		return x.tenant.Priority
	}
	return x.route.Priority
}

// setTargetTenant gives the target the name of the tenant, which must be taken from
// the headers of the other daemon before they are stripped.
func (s *service) setTargetTenant(h http.Header, name string) {
	if field := s.n.config.Protocol.Tenant; field != "" && name != "" {
		s.fields.set(h, field, name)
	}
}
