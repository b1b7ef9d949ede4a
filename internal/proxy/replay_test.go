package proxy_test

import (
	"bytes"
	"io"
	"math/rand/v2"
	"net/http"
	"net/http/httptest"
	"sync"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/magnoliamount/magnoliamount/internal/model"
	"github.com/magnoliamount/magnoliamount/internal/proxy"
)

var _ = Describe("buffered request bodies", func() {
	// Guards against a retry that sends a body with parts missing, duplicated
	// or overwritten where its buffer grows, and against missing the end of a
	// body that fills the buffer exactly.
	DescribeTable("are sent again unchanged", func(size int, stated bool) {
		ok := http.HandlerFunc(func(http.ResponseWriter, *http.Request) {})
		m := newMesh(model.Route{}, ok, ok)
		DeferCleanup(m.close)
		var mu sync.Mutex
		var received [][]byte
		inbound := http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
			body, _ := io.ReadAll(r.Body)
			mu.Lock()
			defer mu.Unlock()
			received = append(received, body)
			if len(received) == 1 {
				w.Header().Set(proxy.OutcomeHeader, string(proxy.NotRun))
				w.WriteHeader(http.StatusServiceUnavailable)
			}
		})
		for _, n := range m.nodes {
			n.front.Close()
			n.front = httptest.NewServer(inbound)
		}
		m.update()
		random := rand.New(rand.NewPCG(3, uint64(size)))
		want := make([]byte, size)
		for i := range want {
			want[i] = byte(random.Uint32())
		}
		r := m.request(http.MethodPost, "/", "")
		r.Body = io.NopCloser(bytes.NewReader(want))
		r.ContentLength = -1
		if stated {
			r.ContentLength = int64(size)
		}

		Expect(m.do(r).StatusCode).To(Equal(http.StatusOK))
		Expect(received).To(HaveLen(2))
		for _, body := range received {
			Expect(bytes.Equal(body, want)).To(BeTrue(), "%d bytes arrived", len(body))
		}
	},
		Entry("one byte", 1, true),
		Entry("one byte, chunked", 1, false),
		Entry("the first buffer", 4<<10, true),
		Entry("the first buffer, chunked", 4<<10, false),
		Entry("past the first buffer", 4<<10+1, true),
		Entry("past the second buffer", 16<<10+1, true),
		Entry("past the second buffer, chunked", 16<<10+1, false),
		Entry("the largest buffer", 64<<10, true),
		Entry("one byte less than the largest buffer, chunked", 64<<10-1, false),
	)
})
