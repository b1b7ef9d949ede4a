package admin

import (
	"math"
	"net/http"
	"net/url"
	"slices"
	"strconv"

	"github.com/magnoliamount/magnoliamount/internal/fault"
)

// maxTicketNumber is the largest ticket number that a query may select.
const maxTicketNumber = uint64(math.MaxUint64)

// query holds the validated query parameters of a request.
type query struct{ url.Values }

// parseQuery parses the query parameters of a request. It rejects unknown and
// repeated parameters, because a mistyped filter would otherwise be ignored and
// select everything.
func parseQuery(r *http.Request, allowed ...string) (query, error) {
	values, err := url.ParseQuery(r.URL.RawQuery)
	if err != nil {
		return query{}, fault.Wrap(err, fault.Invalid, "the query cannot be read")
	}
	for name, occurrences := range values {
		if !slices.Contains(allowed, name) {
			return query{}, fault.New(fault.Invalid, "unknown query parameter %q", name)
		}
		if len(occurrences) != 1 {
			return query{}, fault.New(fault.Invalid, "query parameter %q is given %d times", name, len(occurrences))
		}
	}
	return query{values}, nil
}

// number returns the value of a numeric parameter, which must be from 1 to
// maximum, or defaultValue when the parameter is absent.
func (q query) number(name string, defaultValue, maximum uint64) (uint64, error) {
	if !q.Has(name) {
		return defaultValue, nil
	}
	number, err := strconv.ParseUint(q.Get(name), 10, 64)
	if err != nil || number == 0 || number > maximum {
		return 0, fault.New(fault.Invalid, "query parameter %s=%q is not a whole number from 1 to %d", name, q.Get(name), maximum)
	}
	return number, nil
}
