package peer

import (
	"crypto/ecdsa"
	"crypto/elliptic"
	"crypto/rand"
	"crypto/x509"
	"crypto/x509/pkix"
	"encoding/pem"
	"math/big"
	"os"
	"path/filepath"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/magnoliamount/magnoliamount/internal/fault"
)

// authority is a certificate authority for tests.
type authority struct {
	certificate *x509.Certificate
	key         *ecdsa.PrivateKey
	pem         []byte
}

func newKey() *ecdsa.PrivateKey {
	key, err := ecdsa.GenerateKey(elliptic.P256(), rand.Reader)
	Expect(err).NotTo(HaveOccurred())
	return key
}

func template(serial int64, name string) *x509.Certificate {
	return &x509.Certificate{
		SerialNumber: big.NewInt(serial), Subject: pkix.Name{CommonName: name},
		NotBefore: time.Now().Add(-time.Hour), NotAfter: time.Now().Add(24 * time.Hour),
		BasicConstraintsValid: true,
	}
}

func newAuthority(name string) *authority {
	GinkgoHelper()
	key, t := newKey(), template(1, name)
	t.IsCA, t.KeyUsage = true, x509.KeyUsageCertSign
	der, err := x509.CreateCertificate(rand.Reader, t, t, key.Public(), key)
	Expect(err).NotTo(HaveOccurred())
	certificate, err := x509.ParseCertificate(der)
	Expect(err).NotTo(HaveOccurred())
	return &authority{certificate, key, pem.EncodeToMemory(&pem.Block{Type: "CERTIFICATE", Bytes: der})}
}

// write replaces the files with a new certificate of the authority and the CA
// certificate of the trusted one.
func (a *authority) write(files *TLSFiles, trusted *authority) {
	GinkgoHelper()
	key := newKey()
	der, err := x509.CreateCertificate(rand.Reader, template(2, "daemon"), a.certificate, key.Public(), a.key)
	Expect(err).NotTo(HaveOccurred())
	keyDER, err := x509.MarshalECPrivateKey(key)
	Expect(err).NotTo(HaveOccurred())
	put := func(path string, content []byte) { Expect(os.WriteFile(path, content, 0o600)).To(Succeed()) }
	put(files.Certificate, pem.EncodeToMemory(&pem.Block{Type: "CERTIFICATE", Bytes: der}))
	put(files.Key, pem.EncodeToMemory(&pem.Block{Type: "EC PRIVATE KEY", Bytes: keyDER}))
	put(files.CA, trusted.pem)
}

// files returns new files with a certificate of the authority, which is also the CA.
func (a *authority) files() *TLSFiles {
	GinkgoHelper()
	dir := GinkgoT().TempDir()
	files := &TLSFiles{
		Certificate: filepath.Join(dir, "cert.pem"), Key: filepath.Join(dir, "key.pem"), CA: filepath.Join(dir, "ca.pem"),
	}
	a.write(files, a)
	return files
}

var _ = Describe("mutual TLS", func() {
	var ours, others *authority
	BeforeEach(func() { ours, others = newAuthority("ours"), newAuthority("other") })

	tlsConfig := func(files *TLSFiles) Config { return Config{Listen: "127.0.0.1:0", TLS: files} }

	It("opens links between daemons with certificates of the same authority", func() {
		server, accepted := startTransport(tlsConfig(ours.files()))
		client, _ := startTransport(tlsConfig(ours.files()))
		client.Dial(1, server.Addr().String())
		client.Send(1, commitHint(1), false)
		Eventually(accepted.eventsOf(accepted.waitUp(1))).Should(Equal([]string{"up", "1"}))
	})

	It("rejects a daemon of another authority as a dialer and as a listener, and a dialer without TLS", func() {
		server, accepted := startTransport(tlsConfig(ours.files()))
		files := others.files()
		// The daemon of the other authority trusts our certificates, so that only our
		// side can reject the link.
		others.write(files, ours)
		foreign, dialed := startTransport(tlsConfig(files))
		foreign.Dial(1, server.Addr().String())
		Expect(dialed.waitDown(1)).To(Equal(fault.Unauthorized))
		client, ourDialed := startTransport(tlsConfig(ours.files()))
		client.Dial(1, foreign.Addr().String())
		Expect(ourDialed.waitDown(1)).To(Equal(fault.Unauthorized))
		plain, plainDialed := startTransport(Config{DialTimeout: DefaultDialTimeout / 10})
		plain.Dial(1, server.Addr().String())
		Expect(plainDialed.waitDown(1)).To(Equal(fault.Timeout))
		Expect(accepted.upCount() + dialed.upCount() + ourDialed.upCount() + plainDialed.upCount()).To(BeZero())
	})

	It("uses replaced files for new links and keeps open links, also if a file is replaced by invalid content", func() {
		serverFiles, clientFiles := ours.files(), ours.files()
		server, accepted := startTransport(tlsConfig(serverFiles))
		client, dialed := startTransport(tlsConfig(clientFiles))
		client.Dial(1, server.Addr().String())
		first := accepted.waitUp(1)

		others.write(serverFiles, others)
		client.Dial(2, server.Addr().String())
		Expect(dialed.waitDown(2)).To(Equal(fault.Unauthorized), "the new authority must take effect")

		others.write(clientFiles, others)
		client.Dial(3, server.Addr().String())
		accepted.waitUp(2)
		client.Send(1, commitHint(8), false)
		Eventually(accepted.eventsOf(first)).Should(Equal([]string{"up", "8"}))

		Expect(os.WriteFile(serverFiles.Key, []byte("half a k"), 0o600)).To(Succeed())
		client.Dial(4, server.Addr().String())
		accepted.waitUp(3)
		Expect(server.Stats().ReloadFailures).NotTo(BeZero())
	})

	It("fails to start without valid files", func() {
		_, err := New(Config{Handler: newRecorder(), TLS: &TLSFiles{Certificate: "/nonexistent"}})
		Expect(fault.KindOf(err)).To(Equal(fault.Invalid))
	})
})
