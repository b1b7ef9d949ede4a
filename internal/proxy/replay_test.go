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

var _ = Describe("kept bodies", func() {
	// Guards against a retry that sends a body with parts missing, doubled or
	// overwritten where the room for the kept part grows, and against a body of
	// the full room whose end is not seen.
	DescribeTable("are sent again unchanged", func(size int, stated bool) {
		ok := http.HandlerFunc(func(http.ResponseWriter, *http.Request) {})
		m := newMesh(model.Route{}, ok, ok)
		DeferCleanup(m.close)
		var mu sync.Mutex
		var got [][]byte
		inbound := http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
			body, _ := io.ReadAll(r.Body)
			mu.Lock()
			defer mu.Unlock()
			got = append(got, body)
			if len(got) == 1 {
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
		Expect(got).To(HaveLen(2))
		for _, body := range got {
			Expect(bytes.Equal(body, want)).To(BeTrue(), "%d bytes came", len(body))
		}
	},
		Entry("one byte", 1, true),
		Entry("one byte, chunked", 1, false),
		Entry("the first room", 4<<10, true),
		Entry("the first room, chunked", 4<<10, false),
		Entry("past the first room", 4<<10+1, true),
		Entry("past the second room", 16<<10+1, true),
		Entry("past the second room, chunked", 16<<10+1, false),
		Entry("all that is kept", 64<<10, true),
		Entry("all that is kept but one byte, chunked", 64<<10-1, false),
	)
})
