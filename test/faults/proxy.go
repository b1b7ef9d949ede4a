package faults

import (
	"io"
	"net"
	"sync"

	"github.com/Shopify/toxiproxy/v2"

	"github.com/magnoliamount/magnoliamount/internal/fault"
)

// Proxy listens on a new address and forwards its connections to the upstream
// address of the destination, each through the proxy of its source.
func (n *Network) Proxy(to, upstream string) (string, error) { return n.listen(to, upstream, false) }

// listen is Proxy for links with the given value of Link.Peer.
func (n *Network) listen(to, upstream string, peer bool) (string, error) {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return "", fault.Wrap(err, fault.Internal, "open the proxy listener for %s", upstream)
	}
	n.mu.Lock()
	n.listeners = append(n.listeners, listener)
	n.mu.Unlock()
	go n.serve(listener, Link{To: to, Peer: peer}, upstream)
	return listener.Addr().String(), nil
}

// serve accepts connections until the listener is closed.
func (n *Network) serve(listener net.Listener, link Link, upstream string) {
	for {
		conn, err := listener.Accept()
		if err != nil {
			return
		}
		go n.forward(conn.(*net.TCPConn), link, upstream)
	}
}

// forward connects the client to the proxy of its link. It resets the connection
// if the link is cut or the proxy is unavailable.
func (n *Network) forward(client *net.TCPConn, link Link, upstream string) {
	link.From = n.sourceOf(client)
	p, err := n.linkProxy(proxyKey{link, upstream})
	if err != nil || !p.addConn(client) {
		reset(client)
		return
	}
	defer p.removeConn(client)
	conn, err := net.Dial("tcp", p.proxy.Listen)
	if err != nil {
		reset(client)
		return
	}
	copyBidirectional(client, conn.(*net.TCPConn))
}

// copyBidirectional copies both directions, propagates the end of each stream,
// and closes both connections when both streams have ended.
func copyBidirectional(a, b *net.TCPConn) {
	var copies sync.WaitGroup
	copies.Go(func() { copyDirection(a, b) })
	copies.Go(func() { copyDirection(b, a) })
	copies.Wait()
	_ = a.Close()
	_ = b.Close()
}

// copyDirection copies one direction until its end, and resets both connections
// on an error.
func copyDirection(from, to *net.TCPConn) {
	_, err := io.Copy(to, from)
	if err != nil {
		reset(to)
		reset(from)
		return
	}
	_ = to.CloseWrite()
}

// reset closes the connection with a TCP reset and discards unsent data, as a
// broken link does.
func reset(conn *net.TCPConn) {
	_ = conn.SetLinger(0)
	_ = conn.Close()
}

// linkProxy is the proxy between a source and an upstream address of a
// destination.
type linkProxy struct {
	proxy *toxiproxy.Proxy

	mu sync.Mutex
	// cut is true while the link refuses connections.
	cut   bool
	conns map[*net.TCPConn]struct{}
}

// linkProxy returns the proxy for the key; it starts the proxy on the first use.
func (n *Network) linkProxy(key proxyKey) (*linkProxy, error) {
	n.mu.Lock()
	defer n.mu.Unlock()
	if n.closed {
		return nil, fault.New(fault.Unavailable, "the proxy network is closed")
	}
	if p := n.proxies[key]; p != nil {
		return p, nil
	}
	proxy := toxiproxy.NewProxy(n.server, key.link.From+"-"+key.link.To, "127.0.0.1:0", key.address)
	if err := proxy.Start(); err != nil {
		return nil, fault.Wrap(err, fault.Internal, "start the proxy from %s to %s", key.link.From, key.link.To)
	}
	p := &linkProxy{proxy: proxy, conns: map[*net.TCPConn]struct{}{}}
	n.proxies[key] = p
	return p, p.apply(n.currentFault(key.link))
}

// addConn registers the connection; it returns false if the link is cut.
func (p *linkProxy) addConn(conn *net.TCPConn) bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.cut {
		return false
	}
	p.conns[conn] = struct{}{}
	return true
}

func (p *linkProxy) removeConn(conn *net.TCPConn) {
	p.mu.Lock()
	defer p.mu.Unlock()
	delete(p.conns, conn)
}

// setCut cuts the link and resets its connections, or restores the link.
func (p *linkProxy) setCut(cut bool) {
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

// close cuts the link and stops the proxy.
func (p *linkProxy) close() {
	p.setCut(true)
	p.proxy.Stop()
}
