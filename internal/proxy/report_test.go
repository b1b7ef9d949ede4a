package proxy

import (
	"io"
	"net/http"
	"net/http/httptest"
	"strings"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/magnoliamount/magnoliamount/internal/member"
)

var _ = Describe("the report of a target", func() {
	It("is the same after it was sent", func() {
		sent := targetReport{pace: 120 * time.Millisecond, kindPace: time.Millisecond, linkWait: 7 * time.Millisecond, failures: 0.125}
		received, ok := parseReport(sent.encode())
		Expect(ok).To(BeTrue())
		Expect(received).To(Equal(sent))
	})

	// Guards against placement by a header that another version of the daemon or a
	// target wrote.
	DescribeTable("is ignored when it is malformed", func(value string) {
		_, ok := parseReport(value)
		Expect(ok).To(BeFalse())
	},
		Entry("none", ""), Entry("too few fields", "1,2,3"), Entry("too many fields", "1,2,3,0.1,5"),
		Entry("negative time", "-1,2,3,0.1"), Entry("not a number", "1,2,3,NaN"), Entry("no fraction", "1,2,3,1.5"),
	)
})

var _ = Describe("messages between daemons", func() {
	// Guards against heads that cost more than the requests: refusals and heads
	// were 27 of 57 MB between failure domains on a day with token sales.
	It("repeat no id, and explain a refusal for lack of room by its status", func() {
		const work = 100 * time.Millisecond
		reached := make(chan http.Header, 2)
		target := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
			reached <- r.Header.Clone()
			time.Sleep(work)
			w.Header().Set("X-Signature", "s")
			w.Header().Set(uploadProtocol().RequestID, r.Header.Get(uploadProtocol().RequestID))
		}))
		DeferCleanup(target.Close)
		inbound := NewInbound(InboundConfig{Observer: noopObserver{}, Protocol: uploadProtocol(), BufferBytes: 1 << 20})
		inbound.SetTarget(member.Target{Service: "desk", Version: "v1", Instance: "i", Address: target.Listener.Addr().String(), Slots: 1, Connections: 10})
		front := httptest.NewServer(inbound)
		DeferCleanup(front.Close)
		send := func() *http.Response {
			r, err := http.NewRequest(http.MethodGet, front.URL+"/x", strings.NewReader(""))
			Expect(err).NotTo(HaveOccurred())
			for name, value := range map[string]string{
				RouteHeader: "look", ServiceHeader: "desk", VersionHeader: "v1", DeadlineHeader: "2000",
				ObjectiveHeader: "100", PatienceHeader: "0", uploadProtocol().RequestID: "id-1",
			} {
				r.Header.Set(name, value)
			}
			response, err := http.DefaultClient.Do(r)
			Expect(err).NotTo(HaveOccurred())
			return response
		}
		// The target's service time has to be measured first.
		Expect(send().StatusCode).To(Equal(http.StatusOK))
		Expect((<-reached).Get(uploadProtocol().RequestID)).To(Equal("id-1"))
		running := make(chan *http.Response, 1)
		go func() { running <- send() }()
		<-reached
		refused := send()
		body, err := io.ReadAll(refused.Body)
		Expect(err).NotTo(HaveOccurred())
		Expect(refused.StatusCode).To(Equal(http.StatusServiceUnavailable))
		Expect(refused.Header.Get(OutcomeHeader)).To(Equal(string(NotRun)))
		Expect(body).To(BeEmpty())
		Expect(refused.Header).NotTo(Or(HaveKey("Date"), HaveKey("Content-Type")))
		Expect((<-running).StatusCode).To(Equal(http.StatusOK))
	})
})
