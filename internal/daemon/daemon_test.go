package daemon_test

import (
	"context"
	"crypto/ecdsa"
	"crypto/elliptic"
	"crypto/rand"
	"crypto/x509"
	"crypto/x509/pkix"
	"encoding/pem"
	"math/big"
	"net/http"
	"net/http/httptest"
	"os"
	"path/filepath"
	"testing"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/magnoliamount/magnoliamount/internal/admin"
	"github.com/magnoliamount/magnoliamount/internal/daemon"
	"github.com/magnoliamount/magnoliamount/internal/fault"
	"github.com/magnoliamount/magnoliamount/internal/logging"
	"github.com/magnoliamount/magnoliamount/internal/model"
	"github.com/magnoliamount/magnoliamount/internal/settings"
	"github.com/magnoliamount/magnoliamount/test/fleet"
	"github.com/magnoliamount/magnoliamount/test/standin"
)

func TestDaemon(t *testing.T) {
	RegisterFailHandler(Fail)
	RunSpecs(t, "daemon")
}

const (
	token = "operators-token"
	// patience is far above what any step takes on a busy machine.
	patience = 30 * time.Second
)

// authority signs the certificates of daemons.
type authority struct {
	dir  string
	cert *x509.Certificate
	key  *ecdsa.PrivateKey
}

func newAuthority(dir, name string) *authority {
	GinkgoHelper()
	key, err := ecdsa.GenerateKey(elliptic.P256(), rand.Reader)
	Expect(err).NotTo(HaveOccurred())
	template := &x509.Certificate{
		SerialNumber: big.NewInt(1), Subject: pkix.Name{CommonName: name}, IsCA: true, BasicConstraintsValid: true,
		NotBefore: time.Now().Add(-time.Hour), NotAfter: time.Now().Add(time.Hour), KeyUsage: x509.KeyUsageCertSign,
	}
	der, err := x509.CreateCertificate(rand.Reader, template, template, &key.PublicKey, key)
	Expect(err).NotTo(HaveOccurred())
	cert, err := x509.ParseCertificate(der)
	Expect(err).NotTo(HaveOccurred())
	writePEM(filepath.Join(dir, name+".ca"), "CERTIFICATE", der)
	return &authority{dir: dir, cert: cert, key: key}
}

func writePEM(path, kind string, der []byte) {
	GinkgoHelper()
	Expect(os.WriteFile(path, pem.EncodeToMemory(&pem.Block{Type: kind, Bytes: der}), 0o600)).To(Succeed())
}

// issue writes a certificate and its key and puts them into the settings.
func (a *authority) issue(s *settings.Settings) {
	GinkgoHelper()
	key, err := ecdsa.GenerateKey(elliptic.P256(), rand.Reader)
	Expect(err).NotTo(HaveOccurred())
	template := &x509.Certificate{
		SerialNumber: big.NewInt(2), Subject: pkix.Name{CommonName: s.VM.Name},
		NotBefore: time.Now().Add(-time.Hour), NotAfter: time.Now().Add(time.Hour), KeyUsage: x509.KeyUsageDigitalSignature,
		ExtKeyUsage: []x509.ExtKeyUsage{x509.ExtKeyUsageClientAuth, x509.ExtKeyUsageServerAuth},
	}
	der, err := x509.CreateCertificate(rand.Reader, template, a.cert, &key.PublicKey, a.key)
	Expect(err).NotTo(HaveOccurred())
	encoded, err := x509.MarshalECPrivateKey(key)
	Expect(err).NotTo(HaveOccurred())
	s.Peers.TLSCertificate = filepath.Join(a.dir, s.VM.Name+".crt")
	s.Peers.TLSKey = filepath.Join(a.dir, s.VM.Name+".key")
	s.Peers.TLSCA = filepath.Join(a.dir, a.cert.Subject.CommonName+".ca")
	writePEM(s.Peers.TLSCertificate, "CERTIFICATE", der)
	writePEM(s.Peers.TLSKey, "EC PRIVATE KEY", encoded)
}

func newSettings(name, endpoint string) *settings.Settings {
	GinkgoHelper()
	addresses, err := fleet.FreeAddresses("127.0.0.1", 4)
	Expect(err).NotTo(HaveOccurred())
	s := settings.Default()
	s.VM = settings.VM{Name: name, FailureDomain: "domain-1", Region: "region-1"}
	s.Listen = settings.Listen{Caller: addresses[0], Inbound: addresses[1], Peer: addresses[2], Admin: addresses[3]}
	s.Advertise = settings.Advertise(s.Listen)
	s.Peers.Token = "daemons-token"
	s.Admin.Token = token
	s.Platform = settings.Platform{
		TableEndpoint: endpoint, Table: standin.DefaultTable, ObjectEndpoint: endpoint, Bucket: standin.DefaultBucket,
		Region: "region-1", AccessKey: "key", SecretKey: "secret", Timeout: 2 * time.Second,
	}
	return s
}

// start runs a daemon until the returned function stops it.
func start(s *settings.Settings) (stop func() error) {
	ctx, cancel := context.WithCancel(context.Background())
	ended := make(chan error, 1)
	go func() { ended <- daemon.Run(ctx, s, logging.Discard().Component("daemon")) }()
	return func() error {
		cancel()
		return <-ended
	}
}

func ready(s *settings.Settings) func() int {
	return func() int {
		response, err := http.Get("http://" + s.Listen.Admin + "/readyz")
		if err != nil {
			return 0
		}
		defer response.Body.Close()
		return response.StatusCode
	}
}

func firstTicket() *model.Ticket {
	return &model.Ticket{
		Number:   1,
		Services: []model.Service{{Name: "orders", Versions: []string{"v1"}, Shares: map[string]uint32{"v1": model.TotalShare}}},
	}
}

var _ = Describe("daemons of one mesh", func() {
	var endpoint, dir string

	BeforeEach(func() {
		platform := httptest.NewServer(standin.New())
		DeferCleanup(platform.Close)
		endpoint = platform.URL
		dir = GinkgoT().TempDir()
	})

	members := func(s *settings.Settings) func() int {
		client, err := admin.NewClient(admin.ClientConfig{Servers: []string{s.Listen.Admin}, Token: token})
		Expect(err).NotTo(HaveOccurred())
		return func() int {
			status, err := client.Status(context.Background())
			if err != nil {
				return 0
			}
			live := 0
			for _, m := range status.Members {
				if m.State == "ready" {
					live++
				}
			}
			return live
		}
	}

	It("keep out a daemon whose certificate another authority signed, or whose token is wrong", func() {
		own, foreign := newAuthority(dir, "own"), newAuthority(dir, "foreign")
		first, second := newSettings("vm-1", endpoint), newSettings("vm-2", endpoint)
		stranger, guesser := newSettings("vm-3", endpoint), newSettings("vm-4", endpoint)
		guesser.Peers.Token = "guessed-token"
		own.issue(first)
		own.issue(second)
		own.issue(guesser)
		foreign.issue(stranger)
		stopFirst := start(first)
		Eventually(ready(first)).WithTimeout(patience).Should(Equal(http.StatusOK))
		stopSecond, stopStranger, stopGuesser := start(second), start(stranger), start(guesser)
		Eventually(ready(second)).WithTimeout(patience).Should(Equal(http.StatusOK))
		Eventually(members(first)).WithTimeout(patience).Should(Equal(2))
		Consistently(ready(stranger)).WithTimeout(2 * time.Second).ShouldNot(Equal(http.StatusOK))
		Expect(ready(guesser)()).NotTo(Equal(http.StatusOK))
		Expect(members(first)()).To(Equal(2))
		for _, stop := range []func() error{stopStranger, stopGuesser, stopSecond, stopFirst} {
			Expect(stop()).To(Succeed())
		}
	})

	It("report a clash of addresses at start instead of running without a listener", func() {
		first, second := newSettings("vm-1", endpoint), newSettings("vm-2", endpoint)
		second.Listen.Admin = first.Listen.Admin
		stop := start(first)
		Eventually(ready(first)).WithTimeout(patience).Should(Equal(http.StatusOK))
		err := daemon.Run(context.Background(), second, logging.Discard().Component("daemon"))
		Expect(fault.KindOf(err)).To(Equal(fault.Invalid))
		Expect(stop()).To(Succeed())
	})

	It("refuse operators without the token and answer a repeated ticket like the first time", func() {
		s := newSettings("vm-1", endpoint)
		stop := start(s)
		Eventually(ready(s)).WithTimeout(patience).Should(Equal(http.StatusOK))
		client, err := admin.NewClient(admin.ClientConfig{Servers: []string{s.Listen.Admin}, Token: "guessed-token"})
		Expect(err).NotTo(HaveOccurred())
		_, err = client.Submit(context.Background(), firstTicket())
		Expect(fault.KindOf(err)).To(Equal(fault.Unauthorized))
		client, err = admin.NewClient(admin.ClientConfig{Servers: []string{s.Listen.Admin}, Token: token})
		Expect(err).NotTo(HaveOccurred())
		accepted, err := client.Submit(context.Background(), firstTicket())
		Expect(err).NotTo(HaveOccurred())
		again, err := client.Submit(context.Background(), firstTicket())
		Expect(err).NotTo(HaveOccurred())
		Expect(again.Revision).To(Equal(accepted.Revision))
		Expect(again.Digest).To(Equal(accepted.Digest))
		Expect(stop()).To(Succeed())
	})
})
