package admin

import (
	"math"
	"net/http"
	"net/url"
	"slices"
	"strconv"

	"github.com/magnoliamount/magnoliamount/internal/fault"
)

const maxNumber = uint64(math.MaxUint64)

// query holds the checked query parameters of a call.
type query struct{ url.Values }

// readQuery refuses unknown and repeated parameters, because a mistyped
// filter would otherwise select everything.
func readQuery(r *http.Request, known ...string) (query, error) {
	values, err := url.ParseQuery(r.URL.RawQuery)
	if err != nil {
		return query{}, fault.Wrap(err, fault.Invalid, "the query cannot be read")
	}
	for name, given := range values {
		if !slices.Contains(known, name) {
			return query{}, fault.New(fault.Invalid, "unknown query parameter %q", name)
		}
		if len(given) != 1 {
			return query{}, fault.New(fault.Invalid, "query parameter %q is given %d times", name, len(given))
		}
	}
	return query{values}, nil
}

// number returns the whole number of a parameter, from 1 to high.
func (q query) number(name string, otherwise, high uint64) (uint64, error) {
	if !q.Has(name) {
		return otherwise, nil
	}
	number, err := strconv.ParseUint(q.Get(name), 10, 64)
	if err != nil || number == 0 || number > high {
		return 0, fault.New(fault.Invalid, "query parameter %s=%q is not a whole number from 1 to %d", name, q.Get(name), high)
	}
	return number, nil
}
