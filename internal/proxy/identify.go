package proxy

import "net/http"

// responseMatch tells which request a response belongs to.
type responseMatch int

const (
	sameRequest responseMatch = iota
	otherRequest
	// unknownRequest is the match of a response without an id on a connection that
	// carried an earlier request, whose response the endpoint may have sent again.
	unknownRequest
)

// identify compares the request id that the endpoint echoed with that of the
// request. reused is true when the connection carried an earlier request.
func (p *pool) identify(r *http.Request, response *http.Response, reused bool) responseMatch {
	if p.requestID == "" {
		return sameRequest
	}
	sent, echoed := r.Header.Get(p.requestID), response.Header.Get(p.requestID)
	switch {
	case echoed == sent:
		return sameRequest
	case echoed != "":
		return otherRequest
	case reused:
		return unknownRequest
	}
	return sameRequest
}
