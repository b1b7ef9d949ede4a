package proxy

import (
	"net/http"
	"net/textproto"
	"strconv"
	"strings"
	"time"

	"github.com/magnoliamount/magnoliamount/internal/fault"
	"github.com/magnoliamount/magnoliamount/internal/model"
	"github.com/magnoliamount/magnoliamount/internal/once"
)

// Headers between the outbound and the inbound daemon, besides those of
// proxy.go. Those on requests carry the route's attributes, so that both daemons
// apply the configuration that the request started with.
const (
	// ServiceHeader names the service that the outbound daemon chose.
	ServiceHeader = "Magnoliamount-Service"
	// ClassHeader carries the route's class.
	ClassHeader = "Magnoliamount-Class"
	// OnceHeader is "1" for a request that runs at most once.
	OnceHeader = "Magnoliamount-Once"
	// hopExpectHeader is "1" when the outbound daemon, not the caller, added the
	// Expect header.
	hopExpectHeader = "Magnoliamount-Hop-Expect"
	// bystanderHeader is "1" in addition to CrashHeader on the response to a
	// request that was in flight when the target crashed but did not cause the
	// crash.
	bystanderHeader = "Magnoliamount-Bystander"
	// refusedHeader is "1" on a response of a daemon whose target accepts no
	// requests, so that the outbound daemon excludes the target for a while.
	refusedHeader = "Magnoliamount-Refused"
	// ObjectiveHeader carries the remaining time of the route's latency
	// objective, in milliseconds. PatienceHeader carries the longest wait for a
	// slot that the sender accepts, in milliseconds; -1 accepts any wait.
	// PriorityHeader carries the route's priority.
	ObjectiveHeader = "Magnoliamount-Objective-Ms"
	PatienceHeader  = "Magnoliamount-Patience-Ms"
	PriorityHeader  = "Magnoliamount-Priority"
	// TenantHeader carries the name of the tenant that holds the request's API key.
	TenantHeader = "Magnoliamount-Tenant"
	// ReportHeader, on a response, carries a targetReport.
	ReportHeader = "Magnoliamount-Report"
	// coldHeader, on a response, is how much longer the daemon limits the requests to
	// its cold target, in milliseconds. Responses of other targets lack it.
	coldHeader = "Magnoliamount-Cold-Ms"
	// arrivedHeader is "1" on the response to a request that reached the target
	// but did not run.
	arrivedHeader = "Magnoliamount-Arrived"
)

const (
	headerPrefix = "Magnoliamount-"
	// maxHeaderBytes bounds the total size of a request's header names and values.
	maxHeaderBytes    = 32 << 10
	maxKeyBytes       = 255
	maxRequestIDBytes = 64
	// maxDeadline bounds the remaining time that a caller may send.
	maxDeadline = time.Hour
	// loadDecimals is the number of decimals in LoadHeader and ReportHeader.
	loadDecimals = 3
	// loadValueBytes is the size of the stack buffer for the value of LoadHeader.
	// A longer value is allocated.
	loadValueBytes = 16
	// fieldValueCapacity is enough for the fields of a request with one attempt.
	fieldValueCapacity = 16
)

// hopByHopHeaders apply to one connection only (RFC 9110, section 7.6.1).
var hopByHopHeaders = []string{
	"Connection", "Proxy-Connection", "Keep-Alive", "Proxy-Authenticate",
	"Proxy-Authorization", "Te", "Trailer", "Transfer-Encoding", "Upgrade",
}

// input holds the validated headers of a request.
type input struct {
	id string
	// remaining is the time until the caller's deadline; valid if hasDeadline.
	remaining       time.Duration
	hasDeadline     bool
	clock           uint64
	key             string
	hasKey          bool
	expectsContinue bool
}

// parseInput parses and validates the headers that daemons interpret. It fails
// with fault.Invalid, or with fault.Overloaded when the headers are too large.
func parseInput(h http.Header, protocol *Protocol) (input, error) {
	var in input
	if err := checkHeaderSize(h); err != nil {
		return in, err
	}
	if err := in.parseID(h, protocol.RequestID); err != nil {
		return in, err
	}
	if err := in.parseDeadline(h, protocol.Deadline); err != nil {
		return in, err
	}
	if err := in.parseKey(h); err != nil {
		return in, err
	}
	if err := in.parseClock(h); err != nil {
		return in, err
	}
	in.expectsContinue = strings.EqualFold(h.Get("Expect"), "100-continue")
	return in, nil
}

func checkHeaderSize(h http.Header) error {
	size := 0
	for name, values := range h {
		for _, value := range values {
			size += len(name) + len(value)
		}
	}
	if size > maxHeaderBytes {
		return fault.New(fault.Overloaded, "headers have %d bytes; at most %d are allowed", size, maxHeaderBytes)
	}
	return nil
}

// singleValue returns the only value of a header, and whether it is present.
func singleValue(h http.Header, name string) (string, bool, error) {
	values := h[name]
	switch len(values) {
	case 0:
		return "", false, nil
	case 1:
		return values[0], true, nil
	}
	return "", false, fault.New(fault.Invalid, "header %s is given %d times", name, len(values))
}

func (in *input) parseID(h http.Header, field string) error {
	id, ok, err := singleValue(h, field)
	if err != nil || !ok {
		return err
	}
	if id == "" || len(id) > maxRequestIDBytes || strings.ContainsFunc(id, notIDRune) {
		return fault.New(fault.Invalid, "header %s is not 1 to %d letters, digits, '.', '_' or '-'", field, maxRequestIDBytes)
	}
	in.id = id
	return nil
}

func notIDRune(r rune) bool {
	switch {
	case r >= 'a' && r <= 'z', r >= 'A' && r <= 'Z', r >= '0' && r <= '9':
		return false
	}
	return r != '.' && r != '_' && r != '-'
}

func (in *input) parseDeadline(h http.Header, field string) error {
	text, ok, err := singleValue(h, field)
	if err != nil || !ok {
		return err
	}
	ms, err := strconv.ParseUint(text, 10, 32)
	if err != nil || time.Duration(ms)*time.Millisecond > maxDeadline {
		return fault.New(fault.Invalid, "header %s is not a number of 0 to %d milliseconds", field, maxDeadline.Milliseconds())
	}
	in.remaining = time.Duration(ms) * time.Millisecond
	in.hasDeadline = true
	return nil
}

func (in *input) parseKey(h http.Header) error {
	key, ok, err := singleValue(h, KeyHeader)
	if err != nil || !ok {
		return err
	}
	if key == "" || len(key) > maxKeyBytes || strings.ContainsFunc(key, notVisible) {
		return fault.New(fault.Invalid, "header %s is not 1 to %d visible ASCII characters", KeyHeader, maxKeyBytes)
	}
	in.key = key
	in.hasKey = true
	return nil
}

// parseRoute returns the name of the route that the outbound daemon matched. It
// validates the name because the name is a metric label, and arbitrary values
// would create unlimited time series.
func parseRoute(h http.Header) (string, error) {
	name, _, err := singleValue(h, RouteHeader)
	if err != nil {
		return "", err
	}
	if len(name) > model.MaxNameLength || strings.ContainsFunc(name, notIDRune) {
		return "", fault.New(fault.Invalid, "header %s is not a route's name", RouteHeader)
	}
	return name, nil
}

func notVisible(r rune) bool { return r < '!' || r > '~' }

func (in *input) parseClock(h http.Header) error {
	text, ok, err := singleValue(h, ClockHeader)
	if err != nil || !ok {
		return err
	}
	in.clock, err = strconv.ParseUint(text, 10, 63)
	if err != nil {
		return fault.New(fault.Invalid, "header %s is not a number", ClockHeader)
	}
	return nil
}

// copyEndToEnd copies the headers except for hop-by-hop headers.
func copyEndToEnd(to, from http.Header) {
	for name, values := range from {
		to[name] = values
	}
	for _, list := range from["Connection"] {
		for name := range strings.SplitSeq(list, ",") {
			delete(to, textproto.CanonicalMIMEHeaderKey(strings.TrimSpace(name)))
		}
	}
	for _, name := range hopByHopHeaders {
		delete(to, name)
	}
}

// stripDaemonHeaders removes the daemons' headers except for those in keep.
func stripDaemonHeaders(h http.Header, keep ...string) {
	for name := range h {
		if !strings.HasPrefix(name, headerPrefix) {
			continue
		}
		keepName := false
		for _, k := range keep {
			keepName = keepName || k == name
		}
		if !keepName {
			delete(h, name)
		}
	}
}

func setHeader(h http.Header, name, value string) { h[name] = []string{value} }

// fieldValues stores the values of the header fields that the proxy sets for one
// request. It is embedded in the request's struct, so that a field needs no
// allocation. A value is never overwritten, because http.Transport may still
// read the headers of an attempt that has failed.
type fieldValues struct {
	storage [fieldValueCapacity]string
	count   int
}

func (v *fieldValues) set(h http.Header, name, value string) {
	if v.count == len(v.storage) {
		setHeader(h, name, value)
		return
	}
	v.storage[v.count] = value
	v.count++
	h[name] = v.storage[v.count-1 : v.count : v.count]
}

func (v *fieldValues) setClock(h http.Header, c Clock) {
	if value := c.Tick(); value != 0 {
		v.set(h, ClockHeader, strconv.FormatUint(value, 10))
	}
}

func (v *fieldValues) setRemaining(h http.Header, field string, remaining time.Duration) {
	ms := max(0, remaining.Milliseconds())
	v.set(h, field, strconv.FormatInt(ms, 10))
}

func witnessClock(h http.Header, c Clock) {
	if remote, ok := parseNumericHeader(h, ClockHeader, 10, 63); ok {
		c.Witness(remote)
	}
}

// parseNumericHeader returns the value of a header that holds a number. It
// handles the usual case, a missing header, without strconv, which would
// allocate an error.
func parseNumericHeader(h http.Header, name string, base, bits int) (uint64, bool) {
	values := h[name]
	if len(values) == 0 {
		return 0, false
	}
	value, err := strconv.ParseUint(values[0], base, bits)
	return value, err == nil
}

func classOf(h http.Header) model.Class {
	switch class := model.Class(h.Get(ClassHeader)); class {
	case model.Urgent, model.Bulk:
		return class
	}
	return model.Normal
}

func outcomeOf(h http.Header) Outcome { return Outcome(h.Get(OutcomeHeader)) }

// onceKey returns the claim's key. It fails with fault.Invalid when the request
// has no key.
func onceKey(in input, service string) (once.Key, error) {
	if !in.hasKey {
		return once.Key{}, fault.New(fault.Invalid, "header %s is missing; the route runs requests at most once", KeyHeader)
	}
	return once.Key{Service: service, Value: in.key}, nil
}
