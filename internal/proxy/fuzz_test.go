package proxy

import (
	"net/http"
	"testing"
)

// FuzzParseInput guards against headers that crash a daemon, and against
// out-of-range values that reach a claim, a timer or a target.
func FuzzParseInput(f *testing.F) {
	for _, seed := range [][4]string{
		{"id-1", "1000", "key", "7"}, {"", "", "", ""}, {"a/b", "-1", "a b", "-7"},
		{"\x00", "99999999999999999999", "\xff\xfe", "1e3"}, {"x", "3600000", "~", "9223372036854775807"},
		{"x", "+5", "k", "0x10"}, {"x", " 5", "k\n", "1_0"},
	} {
		f.Add(seed[0], seed[1], seed[2], seed[3], "100-Continue")
	}
	f.Fuzz(func(t *testing.T, id, deadline, key, clock, other string) {
		h := http.Header{
			RequestHeader: {id}, DeadlineHeader: {deadline}, KeyHeader: {key}, ClockHeader: {clock},
			"Expect": {other}, "Connection": {other}, "X-Other": {other},
		}
		in, err := parseInput(h, &hopProtocol)
		if err == nil {
			checkInput(t, in)
		}
		to := http.Header{}
		copyEndToEnd(to, h)
		stripDaemonHeaders(to)
		if to[RequestHeader] != nil || to["Connection"] != nil {
			t.Fatal("a daemon header or a hop-by-hop header was forwarded")
		}
	})
}

func checkInput(t *testing.T, in input) {
	t.Helper()
	if in.id == "" || len(in.id) > maxRequestIDBytes {
		t.Fatalf("request id of %d bytes", len(in.id))
	}
	if in.remaining < 0 || in.remaining > maxDeadline {
		t.Fatalf("remaining time %v", in.remaining)
	}
	if in.key == "" || len(in.key) > maxKeyBytes {
		t.Fatalf("key of %d bytes", len(in.key))
	}
}
