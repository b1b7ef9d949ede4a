package proxy_test

import (
	"bytes"
	"io"
	"net/http"
	"runtime/debug"
	"slices"
	"strconv"
	"testing"
	"time"

	. "github.com/onsi/gomega"

	"github.com/magnoliamount/magnoliamount/internal/model"
	"github.com/magnoliamount/magnoliamount/internal/proxy"
)

// BenchmarkAddedLatency sends the same request alternately to the target and
// through both proxies, and reports the percentiles of both latencies in
// microseconds, with Go's default GC percentage and with the daemon's. The
// caller, the proxies and the target share one process.
func BenchmarkAddedLatency(b *testing.B) {
	b.Run("gc=100", func(b *testing.B) { addedLatency(b, 100) })
	b.Run("gc=daemon", func(b *testing.B) { addedLatency(b, proxy.GCPercent) })
}

func addedLatency(b *testing.B, gcPercent int) {
	defer debug.SetGCPercent(debug.SetGCPercent(gcPercent))
	RegisterTestingT(b)
	m := newMesh(model.Route{Idempotent: true}, http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
		_, _ = io.WriteString(w, "ok")
	}))
	defer m.close()
	direct, meshed := make([]time.Duration, 0, b.N), make([]time.Duration, 0, b.N)
	for b.Loop() {
		direct = append(direct, timed(b, m.client, m.nodes[0].target.URL))
		meshed = append(meshed, timed(b, m.client, m.front.URL))
	}
	slices.Sort(direct)
	slices.Sort(meshed)
	for _, p := range []struct {
		name     string
		fraction float64
	}{{"p50", 0.5}, {"p99", 0.99}} {
		i := int(p.fraction * float64(len(direct)-1))
		b.ReportMetric(float64(direct[i].Microseconds()), "direct-"+p.name+"-µs")
		b.ReportMetric(float64(meshed[i].Microseconds()), "mesh-"+p.name+"-µs")
		b.ReportMetric(float64((meshed[i] - direct[i]).Microseconds()), "added-"+p.name+"-µs")
	}
}

func timed(b *testing.B, client *http.Client, url string) time.Duration {
	started := time.Now()
	response, err := client.Get(url)
	if err != nil {
		b.Fatal(err)
	}
	_, _ = io.Copy(io.Discard, response.Body)
	_ = response.Body.Close()
	if response.StatusCode != http.StatusOK {
		b.Fatalf("status %d", response.StatusCode)
	}
	return time.Since(started)
}

// BenchmarkUpload reports the allocations of requests with bodies through both
// proxies. The caller, the proxies and the target share one process.
func BenchmarkUpload(b *testing.B) {
	for _, size := range []int{100, 16 << 10, 128 << 10} {
		b.Run(strconv.Itoa(size), func(b *testing.B) { upload(b, size) })
	}
}

func upload(b *testing.B, size int) {
	RegisterTestingT(b)
	m := newMesh(model.Route{}, http.HandlerFunc(func(_ http.ResponseWriter, r *http.Request) {
		_, _ = io.Copy(io.Discard, r.Body)
	}))
	defer m.close()
	body := make([]byte, size)
	b.ReportAllocs()
	for b.Loop() {
		response, err := m.client.Post(m.front.URL, "application/octet-stream", bytes.NewReader(body))
		if err != nil {
			b.Fatal(err)
		}
		_ = response.Body.Close()
		if response.StatusCode != http.StatusOK {
			b.Fatalf("status %d", response.StatusCode)
		}
	}
}
