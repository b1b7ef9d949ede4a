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

// authority signs certificates for tests.
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

// write puts a fresh certificate of the authority into the files, which trust the other one.
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
	var ours, strangers *authority
	BeforeEach(func() { ours, strangers = newAuthority("ours"), newAuthority("strangers") })

	secured := func(files *TLSFiles) Config { return Config{Listen: "127.0.0.1:0", TLS: files} }

	It("links daemons of one authority", func() {
		server, accepted := start(secured(ours.files()))
		client, _ := start(secured(ours.files()))
		client.Dial(1, server.Addr().String())
		client.Send(1, hint(1), false)
		Eventually(accepted.log(accepted.up(1))).Should(Equal([]string{"up", "1"}))
	})

	It("refuses a stranger as a dialer and as a listener, and a dialer without TLS", func() {
		server, accepted := start(secured(ours.files()))
		files := strangers.files()
		// The stranger trusts our certificates, so that only our side can refuse.
		strangers.write(files, ours)
		stranger, dialed := start(secured(files))
		stranger.Dial(1, server.Addr().String())
		Expect(dialed.down(1)).To(Equal(fault.Unauthorized))
		client, ourDialed := start(secured(ours.files()))
		client.Dial(1, stranger.Addr().String())
		Expect(ourDialed.down(1)).To(Equal(fault.Unauthorized))
		plain, plainDialed := start(Config{DialTimeout: DefaultDialTimeout / 10})
		plain.Dial(1, server.Addr().String())
		Expect(plainDialed.down(1)).To(Equal(fault.Timeout))
		Expect(accepted.upCount() + dialed.upCount() + ourDialed.upCount() + plainDialed.upCount()).To(BeZero())
	})

	It("uses replaced files for new links and keeps open ones", func() {
		serverFiles, clientFiles := ours.files(), ours.files()
		server, accepted := start(secured(serverFiles))
		client, dialed := start(secured(clientFiles))
		client.Dial(1, server.Addr().String())
		first := accepted.up(1)

		strangers.write(serverFiles, strangers)
		client.Dial(2, server.Addr().String())
		Expect(dialed.down(2)).To(Equal(fault.Unauthorized), "the new authority must take effect")

		strangers.write(clientFiles, strangers)
		client.Dial(3, server.Addr().String())
		accepted.up(2)
		client.Send(1, hint(8), false)
		Eventually(accepted.log(first)).Should(Equal([]string{"up", "8"}))

		Expect(os.WriteFile(serverFiles.Key, []byte("half a k"), 0o600)).To(Succeed())
		client.Dial(4, server.Addr().String())
		accepted.up(3)
		Expect(server.Stats().ReloadFailures).NotTo(BeZero())
	})

	It("refuses to start without usable files", func() {
		_, err := New(Config{Handler: newRecorder(), TLS: &TLSFiles{Certificate: "/nonexistent"}})
		Expect(fault.KindOf(err)).To(Equal(fault.Invalid))
	})
})
