package target

import (
	"io"
	"net/http"

	"github.com/magnoliamount/magnoliamount/internal/proxy"
)

// forwardedHeaders are the headers that a target copies from a request into the
// request to the next service.
var forwardedHeaders = []string{proxy.DeadlineHeader, proxy.RequestHeader, proxy.ClockHeader}

// nextClient keeps idle connections to the daemon open for reuse.
var nextClient = &http.Client{Transport: &http.Transport{MaxIdleConnsPerHost: maxIdleNextConnections}}

// maxIdleNextConnections bounds the idle connections to the daemon.
const maxIdleNextConnections = 256

// callNext calls the next service and returns the status for the response. It
// copies a no-retry header of the next service into the response, so that the
// hops before this one do not retry either (design section 8).
func (t *Target) callNext(w http.ResponseWriter, r *http.Request) int {
	if t.options.Next == "" {
		return http.StatusOK
	}
	request, err := http.NewRequestWithContext(r.Context(), http.MethodGet, "http://"+t.options.Daemon+t.options.Next, nil)
	if err != nil {
		return http.StatusInternalServerError
	}
	for _, name := range forwardedHeaders {
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
	if noRetry := response.Header.Get(proxy.NoRetryHeader); noRetry != "" {
		w.Header().Set(proxy.NoRetryHeader, noRetry)
	}
	return response.StatusCode
}
