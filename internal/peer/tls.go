package peer

import (
	"bytes"
	"context"
	"crypto/tls"
	"crypto/x509"
	"net"
	"os"
	"sync"
	"sync/atomic"

	"github.com/magnoliamount/magnoliamount/internal/fault"
)

// TLSFiles contains the paths of the PEM files for mutual TLS. The files are read
// at each handshake, so that replaced files take effect on new links; open links
// stay open. If the files do not match, as in the middle of a replacement, the
// previous content stays in use.
type TLSFiles struct {
	Certificate string
	Key         string
	// CA contains the certificates of the authority that signs the certificates
	// of all daemons.
	CA string
}

// credentials contains the content of one set of TLSFiles and its parsed form.
type credentials struct {
	certificate, key, ca []byte
	pair                 tls.Certificate
	caPool               *x509.CertPool
}

// certificateReloader loads credentials from files and keeps the last valid ones.
type certificateReloader struct {
	files          TLSFiles
	reloadFailures *atomic.Uint64
	mu             sync.Mutex
	current        *credentials
}

// newCertificateReloader loads the files. It fails with fault.Invalid if they
// cannot be used. Failures of later reloads are counted in reloadFailures.
func newCertificateReloader(files TLSFiles, reloadFailures *atomic.Uint64) (*certificateReloader, error) {
	r := &certificateReloader{files: files, reloadFailures: reloadFailures}
	loaded, err := r.load()
	if err != nil {
		return nil, err
	}
	r.current = loaded
	return r, nil
}

// reload loads the files and returns the credentials. If loading fails, it
// returns the last valid ones.
func (r *certificateReloader) reload() *credentials {
	r.mu.Lock()
	defer r.mu.Unlock()
	loaded, err := r.load()
	if err != nil {
		r.reloadFailures.Add(1)
		return r.current
	}
	r.current = loaded
	return r.current
}

func (r *certificateReloader) load() (*credentials, error) {
	var c credentials
	for _, file := range []struct {
		path        string
		destination *[]byte
	}{{r.files.Certificate, &c.certificate}, {r.files.Key, &c.key}, {r.files.CA, &c.ca}} {
		content, err := os.ReadFile(file.path)
		if err != nil {
			return nil, fault.Wrap(err, fault.Invalid, "read TLS file %q", file.path)
		}
		*file.destination = content
	}
	if r.current != nil && r.current.equal(&c) {
		return r.current, nil
	}
	return &c, c.parse(r.files)
}

func (c *credentials) equal(other *credentials) bool {
	return bytes.Equal(c.certificate, other.certificate) && bytes.Equal(c.key, other.key) && bytes.Equal(c.ca, other.ca)
}

func (c *credentials) parse(files TLSFiles) error {
	pair, err := tls.X509KeyPair(c.certificate, c.key)
	if err != nil {
		return fault.Wrap(err, fault.Invalid, "load certificate %q and key %q", files.Certificate, files.Key)
	}
	c.pair = pair
	c.caPool = x509.NewCertPool()
	if !c.caPool.AppendCertsFromPEM(c.ca) {
		return fault.New(fault.Invalid, "CA file %q contains no certificate", files.CA)
	}
	return nil
}

// config returns the TLS configuration of one handshake, for both sides.
func (c *credentials) config() *tls.Config {
	return &tls.Config{
		MinVersion:   tls.VersionTLS13,
		Certificates: []tls.Certificate{c.pair},
		ClientAuth:   tls.RequireAnyClientCert,
		// A resumed session would not be verified against a replaced CA.
		SessionTicketsDisabled: true,
		// VM addresses change, so certificates contain no host names. verify
		// checks the chain to the CA; the default host name check is disabled.
		InsecureSkipVerify: true,
		VerifyConnection:   c.verify,
	}
}

func (c *credentials) verify(state tls.ConnectionState) error {
	if len(state.PeerCertificates) == 0 {
		return fault.New(fault.Unauthorized, "peer sent no certificate")
	}
	options := x509.VerifyOptions{
		Roots: c.caPool, Intermediates: x509.NewCertPool(),
		KeyUsages: []x509.ExtKeyUsage{x509.ExtKeyUsageAny},
	}
	for _, certificate := range state.PeerCertificates[1:] {
		options.Intermediates.AddCert(certificate)
	}
	if _, err := state.PeerCertificates[0].Verify(options); err != nil {
		return fault.Wrap(err, fault.Unauthorized, "verify the peer's certificate")
	}
	return nil
}

// handshake runs the TLS handshake on a connection and returns the TLS
// connection. A nil reloader returns the connection unchanged. Its errors are
// those of classifyOpenError.
func (r *certificateReloader) handshake(ctx context.Context, conn net.Conn, dialed bool) (net.Conn, error) {
	if r == nil {
		return conn, nil
	}
	config := r.reload().config()
	tlsConn := tls.Server(conn, config)
	if dialed {
		tlsConn = tls.Client(conn, config)
	}
	if err := tlsConn.HandshakeContext(ctx); err != nil {
		return nil, classifyOpenError(ctx, err, "TLS handshake")
	}
	return tlsConn, nil
}
