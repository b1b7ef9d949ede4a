package proxy

import (
	"context"
	"net/http"
	"time"

	"github.com/magnoliamount/magnoliamount/internal/fault"
	"github.com/magnoliamount/magnoliamount/internal/quota"
)

// tokenHolder is the token of a request. held is true until the request is sent with the
// token or the token is given back.
type tokenHolder struct {
	token quota.Token
	held  bool
}

// limited reports whether requests of the tenant need tokens.
func (x *exchange) limited() bool {
	return x.o.config.Quotas != nil && x.tenant != nil && x.tenant.RatePerSecond > 0
}

// takeToken takes a token of the tenant's quota. It returns the refusal of a request that
// gets none, or nil.
func (x *exchange) takeToken() *refusal {
	if !x.limited() {
		return nil
	}
	ctx, cancel := context.WithTimeout(x.r.Context(), x.timeout())
	defer cancel()
	result := x.o.config.Quotas.Take(ctx, x.tenant.Name)
	x.o.config.Metrics.countQuota(result.Outcome)
	if result.Outcome == quota.Granted {
		x.quota = tokenHolder{token: result.Token, held: true}
		return nil
	}
	return x.quotaRefusal(&result)
}

// quotaRefusal returns the refusal of a request without a token. Its text names the
// daemon that decided and the age of what it told.
func (x *exchange) quotaRefusal(result *quota.Result) *refusal {
	told := "no home is known"
	if result.Home != "" {
		told = "told by " + result.Home + " " + result.TellAge.Round(time.Millisecond).String() + " ago"
	}
	var refused *refusal
	switch result.Outcome {
	case quota.OverQuota:
		refused = notRun(http.StatusTooManyRequests, fault.New(fault.Overloaded, "tenant %q is over its quota of %g requests/s with a burst of %g (%s)",
			x.tenant.Name, x.tenant.RatePerSecond, x.tenant.Burst, told))
	case quota.Canceled:
		refused = notRun(http.StatusServiceUnavailable, fault.New(fault.Timeout, "the request ended before a token of the quota of tenant %q was available", x.tenant.Name))
	default:
		refused = notRun(http.StatusServiceUnavailable, fault.New(fault.Unavailable, "no daemon lends tokens of the quota of tenant %q (%s)", x.tenant.Name, told))
	}
	refused.retryAfter = result.RetryAfter
	return refused
}

// renewToken takes another token if the loan of the request's token has ended, as it may
// while the body is read and between two attempts. It returns the refusal of a request
// that gets none, or nil.
func (x *exchange) renewToken() *refusal {
	if !x.limited() || x.o.config.Quotas.Valid(x.quota.token) {
		return nil
	}
	x.quota = tokenHolder{}
	return x.takeToken()
}

// returnToken gives back the token of a request that was not sent.
func (x *exchange) returnToken() {
	if x.quota.held {
		x.quota.held = false
		x.o.config.Quotas.Return(x.tenant.Name, x.quota.token)
	}
}
