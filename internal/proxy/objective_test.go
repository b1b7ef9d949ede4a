package proxy

import (
	"math/rand/v2"
	"net/http"
	"net/http/httptest"
	"strconv"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/magnoliamount/magnoliamount/internal/member"
	"github.com/magnoliamount/magnoliamount/internal/model"
	"github.com/magnoliamount/magnoliamount/internal/routing"
)

// Callers of one route allow between 2.1 and 2.5 s, and want a response within 400 ms
// of their first attempt.
var _ = Describe("the time that a target is told to meet", func() {
	const objective = 400
	var front *httptest.Server
	var told chan int

	BeforeEach(func() {
		told = make(chan int, 1)
		daemon := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
			left, err := strconv.Atoi(r.Header.Get(ObjectiveHeader))
			Expect(err).NotTo(HaveOccurred())
			told <- left
			w.Header().Set("X-Signature", "s")
		}))
		state := model.NewState()
		state.Services["desk"] = &model.Service{Name: "desk", Versions: []string{"v1"}, Shares: map[string]uint32{"v1": 100}, Proved: []string{"v1"}}
		state.Routes["check"] = &model.Route{
			Name: "check", PathPrefix: "/", Service: "desk", Class: model.Normal, Objective: objective * time.Millisecond, Timeout: 2 * time.Second,
		}
		outbound := NewOutbound(OutboundConfig{Domain: "a", Random: rand.New(rand.NewPCG(1, 2)), Observer: noopObserver{}, Protocol: uploadProtocol(), BufferBytes: 1 << 20})
		outbound.Update(&routing.Config{State: state, Endpoints: []member.Endpoint{{
			VM: "one", Incarnation: 1, State: member.Ready, Domain: "a", InboundAddress: daemon.Listener.Addr().String(),
			Target: member.Target{Service: "desk", Version: "v1", Instance: "one", Slots: 1, Connections: 10},
		}}})
		outbound.SetReady(nil)
		front = httptest.NewServer(outbound)
		DeferCleanup(func() {
			front.Close()
			outbound.Update(&routing.Config{State: model.NewState()})
			daemon.Close()
		})
	})

	// send sends a request and returns the time that the target was told, in
	// milliseconds.
	send := func(path string, left time.Duration) int {
		r, err := http.NewRequest(http.MethodGet, front.URL+path, nil)
		Expect(err).NotTo(HaveOccurred())
		r.Header.Set("X-Deadline", strconv.FormatInt(left.Milliseconds(), 10))
		response, err := http.DefaultClient.Do(r)
		Expect(err).NotTo(HaveOccurred())
		Expect(response.Body.Close()).To(Succeed())
		return <-told
	}

	// Guards against first attempts that targets refuse, or put behind others, since
	// their callers wait for less long than others do.
	It("is the whole objective for each first attempt", func() {
		Expect(send("/a", 2500*time.Millisecond)).To(BeNumerically(">", objective/2))
		Expect(send("/b", 2150*time.Millisecond)).To(BeNumerically(">", objective/2))
	})

	It("counts from the first attempt of a caller that returns", func() {
		deadline := time.Now().Add(2500 * time.Millisecond)
		first := send("/a", time.Until(deadline))
		time.Sleep(150 * time.Millisecond)
		Expect(send("/a", time.Until(deadline))).To(BeNumerically("<=", first-150+1))
	})
})
