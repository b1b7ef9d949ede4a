package settings

import (
	"crypto/tls"
	"crypto/x509"
	"net/netip"
	"time"
)

// minRenewals is how many renewals fit into a lease, so that one slow write
// does not lose it.
const minRenewals = 3

// minLostPeriods keeps a lost daemon in the statements longer than it takes to
// notice the loss.
const minLostPeriods = 2

// checkClashes finds values that are valid alone but not together.
func (l *loader) checkClashes() {
	l.checkListeners()
	l.checkAdvertise()
	l.checkTimeouts()
	l.checkPeerTLS()
	l.checkAdminTLS()
}

func (l *loader) checkListeners() {
	s := &l.settings.Listen
	seen := map[string]string{}
	for _, entry := range []struct{ key, address string }{
		{"caller", s.Caller}, {"inbound", s.Inbound}, {"peer", s.Peer}, {"admin", s.Admin},
	} {
		if entry.address == "" {
			continue
		}
		if other, taken := seen[entry.address]; taken {
			l.add("listen", entry.key, "%s is also the %s listener's address", entry.address, other)
		}
		seen[entry.address] = entry.key
	}
}

// checkAdvertise refuses addresses that no other machine can dial.
func (l *loader) checkAdvertise() {
	s := &l.settings.Advertise
	for _, entry := range []struct{ key, address string }{
		{"caller", s.Caller}, {"inbound", s.Inbound}, {"peer", s.Peer}, {"admin", s.Admin},
	} {
		parsed, err := netip.ParseAddrPort(entry.address)
		if err == nil && parsed.Addr().IsUnspecified() {
			l.add("advertise", entry.key, "%s names no machine; set the address that others use", entry.address)
		}
	}
}

func (l *loader) checkTimeouts() {
	t := &l.settings.Timeouts
	l.atLeast("lease", t.Lease, minRenewals, "lease_renew", t.LeaseRenew)
	l.atLeast("member_expiry", t.MemberExpiry, minLostPeriods, "endpoint_lost", t.EndpointLost)
	l.atLeast("drain", t.Drain, 1, "drain_notice", t.DrainNotice)
	if l.settings.Platform.Timeout > t.Lease {
		l.add("platform", "timeout", "%s is longer than [timeouts] lease of %s", l.settings.Platform.Timeout, t.Lease)
	}
}

func (l *loader) atLeast(key string, value time.Duration, factor int, otherKey string, other time.Duration) {
	if value < time.Duration(factor)*other {
		l.add("timeouts", key, "%s is less than %d times %s, which is %s", value, factor, otherKey, other)
	}
}

func (l *loader) checkPeerTLS() {
	p := &l.settings.Peers
	l.checkPair("peers", p.TLSCertificate, p.TLSKey)
	if (p.TLSCA == "") != (p.TLSCertificate == "") {
		l.add("peers", "tls_ca", "tls_ca and tls_certificate go together")
		return
	}
	if p.TLSCA == "" {
		return
	}
	content, err := readBounded(p.TLSCA)
	if err != nil || !x509.NewCertPool().AppendCertsFromPEM(content) {
		l.add("peers", "tls_ca", "%s holds no certificate in PEM form", p.TLSCA)
	}
}

func (l *loader) checkAdminTLS() {
	a := &l.settings.Admin
	l.checkPair("admin", a.TLSCertificate, a.TLSKey)
}

func (l *loader) checkPair(section, certificate, key string) {
	if (certificate == "") != (key == "") {
		l.add(section, "tls_key", "tls_certificate and tls_key go together")
		return
	}
	if certificate == "" {
		return
	}
	if _, err := tls.LoadX509KeyPair(certificate, key); err != nil {
		l.add(section, "tls_certificate", "the certificate and its key cannot be used: %v", err)
	}
}
