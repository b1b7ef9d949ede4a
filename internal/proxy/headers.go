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

// Headers from the outbound to the inbound daemon, besides those of proxy.go.
// They carry the route's attributes, so that both daemons treat a request by
// the configuration that it started with.
const (
	// ServiceHeader names the service that the outbound daemon chose.
	ServiceHeader = "Magnoliamount-Service"
	// ClassHeader carries the route's class.
	ClassHeader = "Magnoliamount-Class"
	// OnceHeader is "1" for a request that runs at most once.
	OnceHeader = "Magnoliamount-Once"
	// hopExpectHeader is "1" when the outbound daemon added Expect by itself.
	hopExpectHeader = "Magnoliamount-Hop-Expect"
	// bystanderHeader is "1" beside CrashHeader on the answer to a request that
	// was in flight by chance when the target died.
	bystanderHeader = "Magnoliamount-Bystander"
	// refusedHeader is "1" on an answer of a daemon whose target takes no
	// requests, so that the outbound daemon leaves the target out for a while.
	refusedHeader = "Magnoliamount-Refused"
	// ObjectiveHeader carries the time until the caller wants its answer, in
	// milliseconds, PatienceHeader the longest wait for a slot that the sender
	// accepts, and PriorityHeader the route's priority.
	ObjectiveHeader = "Magnoliamount-Objective-Ms"
	PatienceHeader  = "Magnoliamount-Patience-Ms"
	PriorityHeader  = "Magnoliamount-Priority"
	// PaceHeader carries the mean time in which the target runs a request, in
	// milliseconds, and FailuresHeader the part of its requests that failed.
	PaceHeader     = "Magnoliamount-Pace-Ms"
	FailuresHeader = "Magnoliamount-Failures"
	// LinkWaitHeader carries how long bytes to the sender of an answer wait for
	// its VM's link, in milliseconds.
	LinkWaitHeader = "Magnoliamount-Link-Wait-Ms"
	// arrivedHeader is "1" on the answer to a request that reached the target,
	// though it did not run.
	arrivedHeader = "Magnoliamount-Arrived"
)

const (
	headerPrefix = "Magnoliamount-"
	// maxHeaderBytes bounds the names and values of a request's headers.
	maxHeaderBytes = 32 << 10
	maxKeyBytes    = 255
	maxRequestID   = 64
	// maxDeadline bounds the remaining time that a caller may state.
	maxDeadline = time.Hour
	// loadDecimals is the precision of LoadHeader.
	loadDecimals = 3
	// loadTextBytes covers the value of LoadHeader; a longer one is allocated.
	loadTextBytes = 16
	// fieldValueRoom covers the fields that a call of one attempt sets.
	fieldValueRoom = 16
)

// hopHeaders are meant for one connection only (RFC 9110, section 7.6.1).
var hopHeaders = []string{
	"Connection", "Proxy-Connection", "Keep-Alive", "Proxy-Authenticate",
	"Proxy-Authorization", "Te", "Trailer", "Transfer-Encoding", "Upgrade",
}

// input holds the checked headers of a request.
type input struct {
	id string
	// remaining is the time that the caller gives; it counts if hasDeadline.
	remaining   time.Duration
	hasDeadline bool
	clock       uint64
	key         string
	hasKey      bool
	expects     bool
}

// parseInput checks the headers that daemons interpret. It fails with
// fault.Invalid, or with fault.Overloaded when the headers are too large.
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
	in.expects = strings.EqualFold(h.Get("Expect"), "100-continue")
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

// single returns the only value of a header, and whether it is present.
func single(h http.Header, name string) (string, bool, error) {
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
	id, ok, err := single(h, field)
	if err != nil || !ok {
		return err
	}
	if id == "" || len(id) > maxRequestID || strings.ContainsFunc(id, notIDRune) {
		return fault.New(fault.Invalid, "header %s is not 1 to %d letters, digits, '.', '_' or '-'", field, maxRequestID)
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
	text, ok, err := single(h, field)
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
	key, ok, err := single(h, KeyHeader)
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

// parseRoute returns the name of the route that the outbound daemon matched.
// It labels metrics, which must not grow with arbitrary names.
func parseRoute(h http.Header) (string, error) {
	name, _, err := single(h, RouteHeader)
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
	text, ok, err := single(h, ClockHeader)
	if err != nil || !ok {
		return err
	}
	in.clock, err = strconv.ParseUint(text, 10, 63)
	if err != nil {
		return fault.New(fault.Invalid, "header %s is not a number", ClockHeader)
	}
	return nil
}

// copyEndToEnd copies the headers that are not meant for one connection.
func copyEndToEnd(to, from http.Header) {
	for name, values := range from {
		to[name] = values
	}
	for _, list := range from["Connection"] {
		for name := range strings.SplitSeq(list, ",") {
			delete(to, textproto.CanonicalMIMEHeaderKey(strings.TrimSpace(name)))
		}
	}
	for _, name := range hopHeaders {
		delete(to, name)
	}
}

// stripOwn removes the headers of daemons, except for those to keep.
func stripOwn(h http.Header, keep ...string) {
	for name := range h {
		if !strings.HasPrefix(name, headerPrefix) {
			continue
		}
		kept := false
		for _, k := range keep {
			kept = kept || k == name
		}
		if !kept {
			delete(h, name)
		}
	}
}

func setOne(h http.Header, name, value string) { h[name] = []string{value} }

// fieldValues holds the values of the header fields that one call sets. It is
// part of the call's own struct, so that a field needs no allocation. A value
// is never replaced: http.Transport may still read the headers of an attempt
// that has failed.
type fieldValues struct {
	room [fieldValueRoom]string
	used int
}

func (v *fieldValues) set(h http.Header, name, value string) {
	if v.used == len(v.room) {
		setOne(h, name, value)
		return
	}
	v.room[v.used] = value
	v.used++
	h[name] = v.room[v.used-1 : v.used : v.used]
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

func sawClock(h http.Header, c Clock) {
	if remote, ok := number(h, ClockHeader, 10, 63); ok {
		c.Saw(remote)
	}
}

// number returns the value of a header that holds a number. It leaves the
// usual case, a missing header, to no parser: strconv allocates its errors.
func number(h http.Header, name string, base, bits int) (uint64, bool) {
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

// onceKey returns the claim's key, or fault.Invalid when the key is missing.
func onceKey(in input, service string) (once.Key, error) {
	if !in.hasKey {
		return once.Key{}, fault.New(fault.Invalid, "header %s is missing; the route runs requests at most once", KeyHeader)
	}
	return once.Key{Service: service, Value: in.key}, nil
}
