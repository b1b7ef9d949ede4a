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

// TLSFiles names the PEM files for mutual TLS. They are read at each
// handshake, so that replaced files take effect on new links, and open links
// stay. Files that do not fit together, as in the middle of a replacement,
// leave the former ones in use.
type TLSFiles struct {
	Certificate string
	Key         string
	// CA signs the certificates of all daemons.
	CA string
}

// credentials is one loaded set of files.
type credentials struct {
	certificate, key, ca []byte
	pair                 tls.Certificate
	pool                 *x509.CertPool
}

// keeper holds the credentials in use.
type keeper struct {
	files    TLSFiles
	failures *atomic.Uint64
	mu       sync.Mutex
	current  *credentials
}

// newKeeper loads the files. It fails with fault.Invalid.
func newKeeper(files TLSFiles, failures *atomic.Uint64) (*keeper, error) {
	k := &keeper{files: files, failures: failures}
	loaded, err := k.load()
	if err != nil {
		return nil, err
	}
	k.current = loaded
	return k, nil
}

// credentials returns the files' present content, or the last content that
// was usable.
func (k *keeper) credentials() *credentials {
	k.mu.Lock()
	defer k.mu.Unlock()
	loaded, err := k.load()
	if err != nil {
		k.failures.Add(1)
		return k.current
	}
	k.current = loaded
	return k.current
}

func (k *keeper) load() (*credentials, error) {
	var c credentials
	for _, file := range []struct {
		path string
		into *[]byte
	}{{k.files.Certificate, &c.certificate}, {k.files.Key, &c.key}, {k.files.CA, &c.ca}} {
		content, err := os.ReadFile(file.path)
		if err != nil {
			return nil, fault.Wrap(err, fault.Invalid, "read TLS file %q", file.path)
		}
		*file.into = content
	}
	if k.current != nil && k.current.same(&c) {
		return k.current, nil
	}
	return &c, c.parse(k.files)
}

func (c *credentials) same(other *credentials) bool {
	return bytes.Equal(c.certificate, other.certificate) && bytes.Equal(c.key, other.key) && bytes.Equal(c.ca, other.ca)
}

func (c *credentials) parse(files TLSFiles) error {
	pair, err := tls.X509KeyPair(c.certificate, c.key)
	if err != nil {
		return fault.Wrap(err, fault.Invalid, "certificate %q and key %q", files.Certificate, files.Key)
	}
	c.pair = pair
	c.pool = x509.NewCertPool()
	if !c.pool.AppendCertsFromPEM(c.ca) {
		return fault.New(fault.Invalid, "CA file %q holds no certificate", files.CA)
	}
	return nil
}

// config returns the settings of one handshake, of either side.
func (c *credentials) config() *tls.Config {
	return &tls.Config{
		MinVersion:   tls.VersionTLS13,
		Certificates: []tls.Certificate{c.pair},
		ClientAuth:   tls.RequireAnyClientCert,
		// A resumed session would bypass a replaced CA.
		SessionTicketsDisabled: true,
		// VM addresses change, so certificates name none; verify checks the
		// chain to the CA in place of the default check of the host name.
		InsecureSkipVerify: true,
		VerifyConnection:   c.verify,
	}
}

func (c *credentials) verify(state tls.ConnectionState) error {
	if len(state.PeerCertificates) == 0 {
		return fault.New(fault.Unauthorized, "peer sent no certificate")
	}
	options := x509.VerifyOptions{
		Roots: c.pool, Intermediates: x509.NewCertPool(),
		KeyUsages: []x509.ExtKeyUsage{x509.ExtKeyUsageAny},
	}
	for _, certificate := range state.PeerCertificates[1:] {
		options.Intermediates.AddCert(certificate)
	}
	if _, err := state.PeerCertificates[0].Verify(options); err != nil {
		return fault.Wrap(err, fault.Unauthorized, "certificate of the peer")
	}
	return nil
}

// secure runs the handshake on a connection; without a keeper it returns the
// connection. Its failures are those of openFault.
func (k *keeper) secure(ctx context.Context, conn net.Conn, dialed bool) (net.Conn, error) {
	if k == nil {
		return conn, nil
	}
	config := k.credentials().config()
	secured := tls.Server(conn, config)
	if dialed {
		secured = tls.Client(conn, config)
	}
	if err := secured.HandshakeContext(ctx); err != nil {
		return nil, openFault(ctx, err, "TLS handshake")
	}
	return secured, nil
}
