package shutdown

import "net"

// HoldAccepted makes calls of Accept report to accepted that they have got a connection
// and wait until released is closed.
func (l *Listener) HoldAccepted(accepted chan<- struct{}, released <-chan struct{}) {
	accept := l.accept
	l.accept = func() (*net.TCPConn, error) {
		c, err := accept()
		if err == nil {
			accepted <- struct{}{}
			<-released
		}
		return c, err
	}
}
