package target

import (
	"io"
	"net/http"

	"github.com/magnoliamount/magnoliamount/internal/proxy"
)

// passedOn are the headers that a target copies into the calls that it makes
// for a request.
var passedOn = []string{proxy.DeadlineHeader, proxy.RequestHeader, proxy.ClockHeader}

// nextClient keeps the connections to the daemon open.
var nextClient = &http.Client{Transport: &http.Transport{MaxIdleConnsPerHost: maxNextConnections}}

const maxNextConnections = 256

// callNext calls the next service and returns the status for the answer. The
// mark that forbids retries goes back to the caller, as design section 8 asks.
func (t *Target) callNext(w http.ResponseWriter, r *http.Request) int {
	if t.options.Next == "" {
		return http.StatusOK
	}
	request, err := http.NewRequestWithContext(r.Context(), http.MethodGet, "http://"+t.options.Daemon+t.options.Next, nil)
	if err != nil {
		return http.StatusInternalServerError
	}
	for _, name := range passedOn {
		if value := r.Header.Get(name); value != "" {
			request.Header.Set(name, value)
		}
	}
	response, err := nextClient.Do(request)
	if err != nil {
		return http.StatusBadGateway
	}
	defer response.Body.Close()
	_, _ = io.Copy(io.Discard, response.Body)
	if mark := response.Header.Get(proxy.NoRetryHeader); mark != "" {
		w.Header().Set(proxy.NoRetryHeader, mark)
	}
	return response.StatusCode
}
