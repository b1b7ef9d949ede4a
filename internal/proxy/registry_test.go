package proxy_test

import (
	"encoding/json"
	"fmt"
	"net/http/httptest"
	"net/netip"
	"strings"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/magnoliamount/magnoliamount/internal/member"
	"github.com/magnoliamount/magnoliamount/internal/proxy"
)

var _ = Describe("registry", func() {
	const announcement = `{"service":"order","version":"v1","address":"127.0.0.1:9","slots":10,"connections":120}`
	var now time.Time
	var changes []string
	var registry *proxy.Registry
	BeforeEach(func() {
		now = time.Unix(1_700_000_000, 0)
		changes = nil
		registry = proxy.NewRegistry(proxy.RegistryConfig{
			LocalAddresses: []netip.Addr{netip.MustParseAddr("10.1.1.1")},
			Now:            func() time.Time { return now },
			OnChange: func(t member.Target, s member.State) {
				changes = append(changes, fmt.Sprintf("%s %s %s", t.Version, s, t.Started.Sub(time.Unix(1_700_000_000, 0))))
			},
		})
	})
	call := func(from, method, body string) *httptest.ResponseRecorder {
		r := httptest.NewRequest(method, proxy.TargetPath, strings.NewReader(body))
		r.RemoteAddr = from
		w := httptest.NewRecorder()
		registry.ServeHTTP(w, r)
		return w
	}
	post := func(body string) int { return call("127.0.0.1:5", "POST", body).Code }

	// Guards against a target that stays ready after its process has exited.
	It("drains a target after three missed announcements", func() {
		Expect(post(announcement)).To(Equal(200))
		now = now.Add(2 * time.Second)
		Expect(post(announcement)).To(Equal(200))
		Expect(changes).To(Equal([]string{"v1 ready 0s"}))
		registry.Expire(now.Add(6 * time.Second))
		Expect(changes).To(HaveLen(1))
		now = now.Add(6*time.Second + 1)
		registry.Expire(now)
		registry.Expire(now)
		Expect(changes).To(HaveLen(2))
		Expect(changes[1]).To(HavePrefix("v1 draining"))
		Expect(post(announcement)).To(Equal(200))
		Expect(changes[2]).To(Equal("v1 ready 8.000000001s"), "a target that returns starts cold")
	})

	// Guards against a draining target that receives new requests because of an
	// announcement that was already in transit.
	It("drains on DELETE and stays draining", func() {
		Expect(call("127.0.0.1:5", "DELETE", "").Code).To(Equal(404))
		post(announcement)
		Expect(call("127.0.0.1:5", "DELETE", "").Code).To(Equal(200))
		Expect(post(announcement)).To(Equal(409))
		Expect(changes).To(Equal([]string{"v1 ready 0s", "v1 draining 0s"}))
		var status proxy.TargetStatus
		Expect(json.Unmarshal(call("127.0.0.1:5", "GET", "").Body.Bytes(), &status)).To(Succeed())
		Expect(status.State).To(Equal("draining"))
		Expect(post(strings.Replace(announcement, "v1", "v2", 1))).To(Equal(200))
		Expect(changes[2]).To(Equal("v2 ready 0s"))
	})

	// Guards against other machines that announce themselves to receive a
	// service's traffic.
	DescribeTable("accepts announcements from its own VM only", func(from string, status int) {
		Expect(call(from, "POST", announcement).Code).To(Equal(status))
	},
		Entry("loopback", "127.0.0.1:5", 200), Entry("IPv6 loopback", "[::1]:5", 200),
		Entry("mapped loopback", "[::ffff:127.0.0.1]:5", 200), Entry("address of the VM", "10.1.1.1:5", 200),
		Entry("address of another VM", "10.1.1.2:5", 403), Entry("no address", "", 403),
	)

	// Guards against announcements that would create invalid endpoints in the mesh.
	DescribeTable("rejects invalid announcements", func(old, replacement string) {
		Expect(post(strings.Replace(announcement, old, replacement, 1))).To(Equal(400))
		Expect(changes).To(BeEmpty())
	},
		Entry("invalid JSON", "{", ""), Entry("no service", "order", ""), Entry("invalid version", "v1", "V 1"),
		Entry("no port", ":9", ""), Entry("no slots", "10", "0"), Entry("too many connections", "120", "5000"),
	)
})
