package settings

import (
	"crypto/tls"
	"crypto/x509"
	"net/netip"
	"time"
)

// minRenewalsPerLease is the least number of renewal intervals per lease, so that
// one slow write does not lose the lease.
const minRenewalsPerLease = 3

// minLostPeriodsPerExpiry is the least ratio of member_expiry to endpoint_lost.
// With it, statements list a lost daemon as unreachable for longer than the
// detection of the loss takes.
const minLostPeriodsPerExpiry = 2

// checkClashes reports values that are valid on their own but not in combination.
func (l *loader) checkClashes() {
	l.checkListeners()
	l.checkAdvertise()
	l.checkTimeouts()
	l.checkPeerTLS()
	l.checkAdminTLS()
}

func (l *loader) checkListeners() {
	s := &l.settings.Listen
	keyByAddress := map[string]string{}
	for _, entry := range []struct{ key, address string }{
		{"caller", s.Caller}, {"inbound", s.Inbound}, {"peer", s.Peer}, {"admin", s.Admin},
	} {
		if entry.address == "" {
			continue
		}
		if other, ok := keyByAddress[entry.address]; ok {
			l.add("listen", entry.key, "%s is also the %s listener's address", entry.address, other)
		}
		keyByAddress[entry.address] = entry.key
	}
}

// checkAdvertise refuses the unspecified address, which other machines cannot dial.
func (l *loader) checkAdvertise() {
	s := &l.settings.Advertise
	for _, entry := range []struct{ key, address string }{
		{"caller", s.Caller}, {"inbound", s.Inbound}, {"peer", s.Peer}, {"admin", s.Admin},
	} {
		parsed, err := netip.ParseAddrPort(entry.address)
		if err == nil && parsed.Addr().IsUnspecified() {
			l.add("advertise", entry.key, "%s is the unspecified address; set the address that others use", entry.address)
		}
	}
}

func (l *loader) checkTimeouts() {
	t := &l.settings.Timeouts
	l.atLeast("lease", t.Lease, minRenewalsPerLease, "lease_renew", t.LeaseRenew)
	l.atLeast("member_expiry", t.MemberExpiry, minLostPeriodsPerExpiry, "endpoint_lost", t.EndpointLost)
	l.atLeast("drain", t.Drain, 1, "drain_notice", t.DrainNotice)
	if l.settings.Platform.Timeout > t.Lease {
		l.add("platform", "timeout", "%s is longer than [timeouts] lease of %s", l.settings.Platform.Timeout, t.Lease)
	}
}

// atLeast reports a finding when value is less than factor times other.
func (l *loader) atLeast(key string, value time.Duration, factor int, otherKey string, other time.Duration) {
	if value < time.Duration(factor)*other {
		l.add("timeouts", key, "%s is less than %d times %s, which is %s", value, factor, otherKey, other)
	}
}

func (l *loader) checkPeerTLS() {
	p := &l.settings.Peers
	l.checkKeyPair("peers", p.TLSCertificate, p.TLSKey)
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
	l.checkKeyPair("admin", a.TLSCertificate, a.TLSKey)
}

func (l *loader) checkKeyPair(section, certificate, key string) {
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
