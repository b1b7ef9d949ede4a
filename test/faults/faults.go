// Package faults runs fault-injecting proxies between the processes of a fleet.
// Each pair of a source and a destination has its own proxy, so that a test can
// cut, delay or throttle single links or close their connections.
//
// A source is identified by the process that owns the connecting socket, because
// all daemons connect from the same loopback address and a destination has one
// advertised address for all of them.
package faults

import (
	"net"
	"sync"
	"time"

	"github.com/Shopify/toxiproxy/v2"
	"github.com/prometheus/client_golang/prometheus"
	"github.com/rs/zerolog"
)

// Platform is the destination name of the platform.
const Platform = "platform"

// Fault describes the faults of a link. The zero value is a link without faults.
type Fault struct {
	// Cut closes the connections of the link and refuses new ones.
	Cut bool
	// Stall transfers no bytes and keeps the connections open.
	Stall bool
	// Latency delays the bytes in each direction; Jitter varies the delay.
	Latency time.Duration
	Jitter  time.Duration
	// KilobytesPerSecond limits each direction of a connection; 0 means no limit.
	KilobytesPerSecond int64
	// DropAfterBytes closes a connection after that many bytes in one direction; 0
	// disables it.
	DropAfterBytes int64
}

// Link identifies the connections from a daemon to a destination.
type Link struct {
	From, To string
	// Peer is true for links of the relay tree, false for links of requests.
	Peer bool
}

// LinkFilter reports whether a link is selected.
type LinkFilter func(l Link) bool

// LinksTo selects the links to a destination.
func LinksTo(name string) LinkFilter { return func(l Link) bool { return l.To == name } }

// LinksFromTo selects the links from a VM to a destination.
func LinksFromTo(from, to string) LinkFilter {
	return func(l Link) bool { return l.From == from && l.To == to }
}

// LinksBetween selects the links between two VMs in both directions.
func LinksBetween(a, b string) LinkFilter {
	return func(l Link) bool { return (l.From == a && l.To == b) || (l.From == b && l.To == a) }
}

// LinksOf selects the links between a VM and all other VMs, without the link to
// the platform.
func LinksOf(name string) LinkFilter { return LinksAcross(name) }

// LinksAcross selects the links between VMs of the group and VMs outside it,
// without the links to the platform.
func LinksAcross(group ...string) LinkFilter {
	inside := map[string]bool{}
	for _, name := range group {
		inside[name] = true
	}
	return func(l Link) bool { return l.To != Platform && inside[l.From] != inside[l.To] }
}

// MeshLinks selects all links between VMs.
func MeshLinks(l Link) bool { return l.To != Platform }

// RelayLinks selects all links of the relay tree.
func RelayLinks(l Link) bool { return l.Peer }

// rule is a fault and the links that have it.
type rule struct {
	links LinkFilter
	fault Fault
}

// proxyKey identifies a proxy by its link and the upstream address.
type proxyKey struct {
	link    Link
	address string
}

// Network holds the proxies. Its methods may be called from several goroutines.
type Network struct {
	owners        func() map[int]string
	server        *toxiproxy.ApiServer
	socketScanner socketScanner

	mu        sync.Mutex
	listeners []net.Listener
	proxies   map[proxyKey]*linkProxy
	rules     []rule
	closed    bool
}

// New returns a network without faults. owners maps process ids to the names of
// daemons; connections of other processes have the source "".
func New(owners func() map[int]string) *Network {
	return &Network{
		owners:  owners,
		server:  toxiproxy.NewServer(toxiproxy.NewMetricsContainer(prometheus.NewRegistry()), zerolog.Nop()),
		proxies: map[proxyKey]*linkProxy{},
	}
}

// ProxyVM returns a function that opens proxies for the VM's peer and inbound
// listeners. The function is a value for fleet.VMConfig.Proxy.
func (n *Network) ProxyVM(vm string) func(peer, inbound string) (string, string, error) {
	return func(peer, inbound string) (string, string, error) {
		proxiedPeer, err := n.listen(vm, peer, true)
		if err != nil {
			return "", "", err
		}
		proxiedInbound, err := n.listen(vm, inbound, false)
		return proxiedPeer, proxiedInbound, err
	}
}

// Set applies a fault to the links. It replaces earlier faults of a link and also
// applies to connections that are opened later.
func (n *Network) Set(links LinkFilter, fault Fault) error {
	n.mu.Lock()
	defer n.mu.Unlock()
	n.rules = append(n.rules, rule{links, fault})
	for key, p := range n.proxies {
		if !links(key.link) {
			continue
		}
		if err := p.apply(fault); err != nil {
			return err
		}
	}
	return nil
}

// Heal removes all faults from all links.
func (n *Network) Heal() error {
	n.mu.Lock()
	defer n.mu.Unlock()
	n.rules = nil
	for _, p := range n.proxies {
		if err := p.apply(Fault{}); err != nil {
			return err
		}
	}
	return nil
}

// Close stops all proxies and resets their connections.
func (n *Network) Close() {
	n.mu.Lock()
	defer n.mu.Unlock()
	n.closed = true
	for _, l := range n.listeners {
		_ = l.Close()
	}
	for _, p := range n.proxies {
		p.close()
	}
}

// currentFault returns the fault that applies to a link. The caller holds n.mu.
func (n *Network) currentFault(link Link) Fault {
	var current Fault
	for _, r := range n.rules {
		if r.links(link) {
			current = r.fault
		}
	}
	return current
}
