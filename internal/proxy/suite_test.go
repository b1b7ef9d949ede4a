package proxy_test

import (
	"context"
	"fmt"
	"io"
	"math/rand/v2"
	"net/http"
	"net/http/httptest"
	"strings"
	"sync"
	"testing"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"
	"github.com/prometheus/client_golang/prometheus"

	"github.com/magnoliamount/magnoliamount/internal/member"
	"github.com/magnoliamount/magnoliamount/internal/model"
	"github.com/magnoliamount/magnoliamount/internal/move"
	"github.com/magnoliamount/magnoliamount/internal/once"
	"github.com/magnoliamount/magnoliamount/internal/proxy"
	"github.com/magnoliamount/magnoliamount/internal/routing"
	"github.com/magnoliamount/magnoliamount/internal/timeline"
)

func TestProxy(t *testing.T) {
	RegisterFailHandler(Fail)
	RunSpecs(t, "proxy")
}

// testTimeout bounds each wait of a test.
const testTimeout = 30 * time.Second

// node is a VM with a target and its inbound proxy.
type node struct {
	vm      string
	version string
	target  *httptest.Server
	inbound *proxy.Inbound
	front   *httptest.Server
}

// crash closes the target's listener and connections, as a crashing process does.
func (n *node) crash() {
	_ = n.target.Listener.Close()
	n.target.CloseClientConnections()
}

// mesh is an outbound proxy and the nodes that it sends requests to.
type mesh struct {
	route    model.Route
	nodes    []*node
	outbound *proxy.Outbound
	front    *httptest.Server
	observer *recordingObserver
	claimer  *memoryClaimer
	client   *http.Client
	metrics  *prometheus.Registry
	slots    uint32
	state    *model.State
	steps    map[uint64]move.Step
}

// newMesh serves the route with one node for each handler.
func newMesh(route model.Route, handlers ...http.Handler) *mesh {
	route.Name, route.Service, route.PathPrefix = "r", "order", "/"
	m := &mesh{route: route, observer: &recordingObserver{}, claimer: newClaims(), slots: 10}
	m.client = &http.Client{Transport: &http.Transport{MaxIdleConnsPerHost: 100, DisableCompression: true}}
	m.metrics = prometheus.NewRegistry()
	metrics := proxy.NewMetrics(m.metrics)
	m.outbound = proxy.NewOutbound(proxy.OutboundConfig{
		Domain: "a", Random: rand.New(rand.NewPCG(1, 2)), Observer: m.observer, Metrics: metrics,
	})
	m.front = httptest.NewServer(m.outbound)
	for i, h := range handlers {
		n := &node{vm: fmt.Sprintf("vm%d", i), version: "v1", target: httptest.NewServer(h)}
		n.inbound = proxy.NewInbound(proxy.InboundConfig{Claimer: m.claimer, Observer: m.observer, Metrics: metrics})
		n.front = httptest.NewServer(n.inbound)
		m.nodes = append(m.nodes, n)
	}
	m.state = model.NewState()
	m.state.Services["order"] = &model.Service{Name: "order", Versions: []string{"v1"}, Shares: map[string]uint32{"v1": 100}, Proved: []string{"v1"}}
	m.state.Routes["r"] = &m.route
	m.update()
	m.outbound.SetReady(nil)
	return m
}

// update applies the mesh's fields to the proxies.
func (m *mesh) update() {
	config := m.config()
	for i, n := range m.nodes {
		n.inbound.SetTarget(config.Endpoints[i].Target)
	}
	m.outbound.Update(config)
}

// config returns the configuration with an endpoint for each node.
func (m *mesh) config() *routing.Config {
	config := &routing.Config{State: m.state, Steps: m.steps}
	for _, n := range m.nodes {
		target := member.Target{
			Service: "order", Version: n.version, Address: n.target.Listener.Addr().String(), Slots: m.slots, Connections: 110,
		}
		config.Endpoints = append(config.Endpoints, member.Endpoint{
			VM: n.vm, Incarnation: 1, State: member.Ready, Domain: "a",
			InboundAddress: n.front.Listener.Addr().String(), Target: target,
		})
	}
	return config
}

// moveTo changes the last node to v2 and opens a move of the service to v2, with
// the given share of traffic.
func (m *mesh) moveTo(permille uint32) {
	m.nodes[len(m.nodes)-1].version = "v2"
	before := m.state.Services["order"]
	target := model.Service{Name: "order", Versions: []string{"v1", "v2"}, Shares: map[string]uint32{"v2": 100}}
	ticket := &model.Ticket{Number: 2, Services: []model.Service{target}, Moves: []model.Move{{Service: "order"}}}
	m.state.Services["order"] = &model.Service{Name: "order", Versions: target.Versions, Shares: before.Shares, Proved: before.Proved}
	m.state.Open[2] = &model.OpenTicket{Ticket: ticket, Before: model.Image{Services: map[string]*model.Service{"order": before}}}
	m.steps = map[uint64]move.Step{2: {Ticket: 2, Permille: permille}}
	m.update()
}

func (m *mesh) close() {
	m.client.CloseIdleConnections()
	m.front.Close()
	m.outbound.Update(&routing.Config{State: model.NewState()})
	for _, n := range m.nodes {
		n.inbound.SetTarget(member.Target{})
		n.front.Close()
		n.target.Close()
	}
}

func (m *mesh) request(method, path, body string, header ...string) *http.Request {
	ctx, cancel := context.WithTimeout(context.Background(), testTimeout)
	DeferCleanup(cancel)
	var reader io.Reader
	if body != "" {
		reader = strings.NewReader(body)
	}
	r, err := http.NewRequestWithContext(ctx, method, m.front.URL+path, reader)
	Expect(err).NotTo(HaveOccurred())
	for i := 0; i < len(header); i += 2 {
		r.Header.Add(header[i], header[i+1])
	}
	return r
}

// reply is a response with its complete body.
type reply struct {
	*http.Response
	body string
}

func (r reply) outcome() proxy.Outcome { return proxy.Outcome(r.Header.Get(proxy.OutcomeHeader)) }

func (m *mesh) do(r *http.Request) reply {
	GinkgoHelper()
	response, err := m.client.Do(r)
	Expect(err).NotTo(HaveOccurred())
	defer response.Body.Close()
	body, err := io.ReadAll(response.Body)
	Expect(err).NotTo(HaveOccurred())
	return reply{response, string(body)}
}

// recordingObserver is an Observer that records observations and crashes.
type recordingObserver struct {
	mu           sync.Mutex
	observations []move.Observation
	crashes      []uint64
}

func (o *recordingObserver) Observe(observation move.Observation) {
	o.mu.Lock()
	defer o.mu.Unlock()
	o.observations = append(o.observations, observation)
}

func (o *recordingObserver) Record(timeline.Event) {}

func (o *recordingObserver) RecordCrash(fingerprint uint64) {
	o.mu.Lock()
	defer o.mu.Unlock()
	o.crashes = append(o.crashes, fingerprint)
}

func (o *recordingObserver) recordedObservations() []move.Observation {
	o.mu.Lock()
	defer o.mu.Unlock()
	return append([]move.Observation(nil), o.observations...)
}

func (o *recordingObserver) recordedCrashes() []uint64 {
	o.mu.Lock()
	defer o.mu.Unlock()
	return append([]uint64(nil), o.crashes...)
}

// memoryClaimer is an in-memory Claimer, shared by all nodes.
type memoryClaimer struct {
	mu        sync.Mutex
	err       error
	granted   map[once.Key]string
	responses map[once.Key]once.Response
	digests   map[string]bool
	released  int
	// releaseDelay is the time until a release takes effect.
	releaseDelay time.Duration
}

func newClaims() *memoryClaimer {
	return &memoryClaimer{granted: map[once.Key]string{}, responses: map[once.Key]once.Response{}, digests: map[string]bool{}}
}

func (c *memoryClaimer) Claim(_ context.Context, key once.Key, digest string) (once.Grant, error) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.err != nil {
		return once.Grant{}, c.err
	}
	c.digests[digest] = true
	if response, ok := c.responses[key]; ok {
		return once.Grant{Decision: once.Replay, Response: &response}, nil
	}
	if c.granted[key] != "" {
		return once.Grant{Decision: once.InDoubt}, nil
	}
	c.granted[key] = digest
	return once.Grant{Decision: once.Granted, Attempt: digest}, nil
}

func (c *memoryClaimer) Release(key once.Key, _ string) {
	time.AfterFunc(c.releaseDelay, func() {
		c.mu.Lock()
		defer c.mu.Unlock()
		delete(c.granted, key)
	})
	c.mu.Lock()
	defer c.mu.Unlock()
	c.released++
}

func (c *memoryClaimer) Finish(key once.Key, _ string, response once.Response) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.responses[key] = response
}

func (c *memoryClaimer) releases() int {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.released
}
