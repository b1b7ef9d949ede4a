package faults

import (
	"io"
	"net"
	"sync"

	"github.com/Shopify/toxiproxy/v2"

	"github.com/magnoliamount/magnoliamount/internal/fault"
)

// Front opens an address that leads to the upstream address of the
// destination through the proxy of the connecting source.
func (n *Network) Front(to, upstream string) (string, error) { return n.front(to, upstream, false) }

func (n *Network) front(to, upstream string, peer bool) (string, error) {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return "", fault.Wrap(err, fault.Internal, "listen in front of %s", upstream)
	}
	n.mu.Lock()
	n.listeners = append(n.listeners, listener)
	n.mu.Unlock()
	go n.serve(listener, Link{To: to, Peer: peer}, upstream)
	return listener.Addr().String(), nil
}

func (n *Network) serve(listener net.Listener, link Link, upstream string) {
	for {
		conn, err := listener.Accept()
		if err != nil {
			return
		}
		go n.carry(conn.(*net.TCPConn), link, upstream)
	}
}

// carry joins the connection to the proxy of its pair.
func (n *Network) carry(client *net.TCPConn, link Link, upstream string) {
	link.From = n.sourceOf(client)
	p, err := n.pair(pairKey{link, upstream})
	if err != nil || !p.enter(client) {
		reset(client)
		return
	}
	defer p.leave(client)
	conn, err := net.Dial("tcp", p.proxy.Listen)
	if err != nil {
		reset(client)
		return
	}
	join(client, conn.(*net.TCPConn))
}

// join copies both directions and passes on the end of each.
func join(a, b *net.TCPConn) {
	var copies sync.WaitGroup
	copies.Go(func() { pump(a, b) })
	copies.Go(func() { pump(b, a) })
	copies.Wait()
	_ = a.Close()
	_ = b.Close()
}

func pump(from, to *net.TCPConn) {
	_, err := io.Copy(to, from)
	if err != nil {
		reset(to)
		reset(from)
		return
	}
	_ = to.CloseWrite()
}

// reset closes without the rest of the data, as a broken link does.
func reset(conn *net.TCPConn) {
	_ = conn.SetLinger(0)
	_ = conn.Close()
}

// pair is the proxy between a source and a destination's address.
type pair struct {
	proxy *toxiproxy.Proxy

	mu    sync.Mutex
	cut   bool
	conns map[*net.TCPConn]struct{}
}

func (n *Network) pair(key pairKey) (*pair, error) {
	n.mu.Lock()
	defer n.mu.Unlock()
	if n.closed {
		return nil, fault.New(fault.Unavailable, "the network is closed")
	}
	if p := n.pairs[key]; p != nil {
		return p, nil
	}
	proxy := toxiproxy.NewProxy(n.server, key.link.From+"-"+key.link.To, "127.0.0.1:0", key.address)
	if err := proxy.Start(); err != nil {
		return nil, fault.Wrap(err, fault.Internal, "start the proxy from %s to %s", key.link.From, key.link.To)
	}
	p := &pair{proxy: proxy, conns: map[*net.TCPConn]struct{}{}}
	n.pairs[key] = p
	return p, p.apply(n.faultOf(key.link))
}

// enter counts the connection unless the link is cut.
func (p *pair) enter(conn *net.TCPConn) bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.cut {
		return false
	}
	p.conns[conn] = struct{}{}
	return true
}

func (p *pair) leave(conn *net.TCPConn) {
	p.mu.Lock()
	defer p.mu.Unlock()
	delete(p.conns, conn)
}

// setCut cuts or joins the link.
func (p *pair) setCut(cut bool) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.cut = cut
	if !cut {
		return
	}
	for conn := range p.conns {
		reset(conn)
	}
}

func (p *pair) close() {
	p.setCut(true)
	p.proxy.Stop()
}
