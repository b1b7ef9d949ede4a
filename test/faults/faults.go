// Package faults puts a fault-injecting proxy in front of the listeners of a
// fleet. Each pair of a source and a destination has its own proxy, so that
// single links can be cut, delayed, slowed down or dropped.
//
// A source is recognised by the process that owns the connecting socket. All
// daemons use the same loopback address, and a destination has one advertised
// address for all of them.
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

// Fault describes a disturbed link. The zero value is a healthy link.
type Fault struct {
	// Cut closes the connections of the link and refuses new ones.
	Cut bool
	// Stall carries no bytes and keeps the connections open.
	Stall bool
	// Latency delays the bytes of both directions, Jitter varies the delay.
	Latency time.Duration
	Jitter  time.Duration
	// KilobytesPerSecond bounds each direction of a connection; 0 is unbounded.
	KilobytesPerSecond int64
	// DropAfterBytes closes a connection after so many bytes; 0 never does.
	DropAfterBytes int64
}

// Link is a direction of traffic from a daemon to a destination.
type Link struct {
	From, To string
	// Peer is true for links of the relay tree, false for requests.
	Peer bool
}

// Links selects links.
type Links func(l Link) bool

// Into selects the links to the destination.
func Into(name string) Links { return func(l Link) bool { return l.To == name } }

// FromTo selects the links from a VM to a destination.
func FromTo(from, to string) Links {
	return func(l Link) bool { return l.From == from && l.To == to }
}

// Pair selects the links between two VMs.
func Pair(a, b string) Links {
	return func(l Link) bool { return (l.From == a && l.To == b) || (l.From == b && l.To == a) }
}

// Around selects the links to and from other VMs, without those to the platform.
func Around(name string) Links { return Between(name) }

// Between selects the links that cross the border of the group of VMs.
func Between(group ...string) Links {
	inside := map[string]bool{}
	for _, name := range group {
		inside[name] = true
	}
	return func(l Link) bool { return l.To != Platform && inside[l.From] != inside[l.To] }
}

// Mesh selects all links between VMs.
func Mesh(l Link) bool { return l.To != Platform }

// Tree selects all links of the relay tree.
func Tree(l Link) bool { return l.Peer }

// rule is a fault in effect.
type rule struct {
	links Links
	fault Fault
}

type pairKey struct {
	link    Link
	address string
}

// Network holds the proxies. Its methods may be called from several goroutines.
type Network struct {
	owners func() map[int]string
	server *toxiproxy.ApiServer
	scans  scans

	mu        sync.Mutex
	listeners []net.Listener
	pairs     map[pairKey]*pair
	rules     []rule
	closed    bool
}

// New returns a network without faults. owners names the daemon of each
// process id; connections of other processes come from the source "".
func New(owners func() map[int]string) *Network {
	return &Network{
		owners: owners,
		server: toxiproxy.NewServer(toxiproxy.NewMetricsContainer(prometheus.NewRegistry()), zerolog.Nop()),
		pairs:  map[pairKey]*pair{},
	}
}

// Via puts proxies in front of a VM's peer and inbound listener. Its result
// serves as fleet.VMConfig.Via.
func (n *Network) Via(vm string) func(peer, inbound string) (string, string, error) {
	return func(peer, inbound string) (string, string, error) {
		viaPeer, err := n.front(vm, peer, true)
		if err != nil {
			return "", "", err
		}
		viaInbound, err := n.front(vm, inbound, false)
		return viaPeer, viaInbound, err
	}
}

// Set puts a fault on the links. Of several faults on a link the last counts.
func (n *Network) Set(links Links, fault Fault) error {
	n.mu.Lock()
	defer n.mu.Unlock()
	n.rules = append(n.rules, rule{links, fault})
	for key, p := range n.pairs {
		if !links(key.link) {
			continue
		}
		if err := p.apply(fault); err != nil {
			return err
		}
	}
	return nil
}

// Heal removes all faults.
func (n *Network) Heal() error {
	n.mu.Lock()
	defer n.mu.Unlock()
	n.rules = nil
	for _, p := range n.pairs {
		if err := p.apply(Fault{}); err != nil {
			return err
		}
	}
	return nil
}

// Close ends all proxies and their connections.
func (n *Network) Close() {
	n.mu.Lock()
	defer n.mu.Unlock()
	n.closed = true
	for _, l := range n.listeners {
		_ = l.Close()
	}
	for _, p := range n.pairs {
		p.close()
	}
}

// faultOf returns the fault in effect on a link. The caller holds the lock.
func (n *Network) faultOf(link Link) Fault {
	var current Fault
	for _, r := range n.rules {
		if r.links(link) {
			current = r.fault
		}
	}
	return current
}
