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
	// testTimeout is much longer than any step takes on a busy machine.
	testTimeout = 30 * time.Second
)

// authority is a certificate authority for daemons.
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

// issue writes a new certificate and its key to files and sets their paths in the
// settings.
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

// start runs a daemon. The returned function stops it and returns the error of
// Run.
func start(s *settings.Settings) (stop func() error) {
	ctx, cancel := context.WithCancel(context.Background())
	ended := make(chan error, 1)
	go func() { ended <- daemon.Run(ctx, s, logging.Discard().Component("daemon")) }()
	return func() error {
		cancel()
		return <-ended
	}
}

// ready returns a function that returns the status code of the daemon's /readyz,
// or zero if the request fails.
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

// startOnStandin starts the daemon vm-1, with settings that the functions may change,
// on a stand-in of the platform and waits until it is ready. The returned function
// stops the daemon.
func startOnStandin(changes ...func(s *settings.Settings)) (s *settings.Settings, store *standin.Server, stop func() error) {
	GinkgoHelper()
	store = standin.New()
	platform := httptest.NewServer(store)
	DeferCleanup(platform.Close)
	s = newSettings("vm-1", platform.URL)
	s.Timeouts.DrainNotice = 100 * time.Millisecond
	for _, change := range changes {
		change(s)
	}
	stop = start(s)
	Eventually(ready(s), testTimeout).Should(Equal(http.StatusOK))
	return s, store, stop
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
			readyMembers := 0
			for _, m := range status.Members {
				if m.State == "ready" {
					readyMembers++
				}
			}
			return readyMembers
		}
	}

	It("exclude a daemon whose certificate was signed by another authority or whose token is wrong", func() {
		own, foreign := newAuthority(dir, "own"), newAuthority(dir, "foreign")
		first, second := newSettings("vm-1", endpoint), newSettings("vm-2", endpoint)
		wrongCA, wrongToken := newSettings("vm-3", endpoint), newSettings("vm-4", endpoint)
		wrongToken.Peers.Token = "guessed-token"
		own.issue(first)
		own.issue(second)
		own.issue(wrongToken)
		foreign.issue(wrongCA)
		stopFirst := start(first)
		Eventually(ready(first)).WithTimeout(testTimeout).Should(Equal(http.StatusOK))
		stopSecond, stopWrongCA, stopWrongToken := start(second), start(wrongCA), start(wrongToken)
		Eventually(ready(second)).WithTimeout(testTimeout).Should(Equal(http.StatusOK))
		Eventually(members(first)).WithTimeout(testTimeout).Should(Equal(2))
		Consistently(ready(wrongCA)).WithTimeout(2 * time.Second).ShouldNot(Equal(http.StatusOK))
		Expect(ready(wrongToken)()).NotTo(Equal(http.StatusOK))
		Expect(members(first)()).To(Equal(2))
		for _, stop := range []func() error{stopWrongCA, stopWrongToken, stopSecond, stopFirst} {
			Expect(stop()).To(Succeed())
		}
	})

	It("fail to start if a listen address is in use, instead of running without a listener", func() {
		first, second := newSettings("vm-1", endpoint), newSettings("vm-2", endpoint)
		second.Listen.Admin = first.Listen.Admin
		stop := start(first)
		Eventually(ready(first)).WithTimeout(testTimeout).Should(Equal(http.StatusOK))
		err := daemon.Run(context.Background(), second, logging.Discard().Component("daemon"))
		Expect(fault.KindOf(err)).To(Equal(fault.Invalid))
		Expect(stop()).To(Succeed())
	})

	// Guards against requests that a stopping daemon cuts: it closed idle
	// connections of callers at the end of its drain notice, and a request that was
	// on its way on one of them got EOF before any header.
	It("make callers leave their connections while they stop", func() {
		s := newSettings("vm-1", endpoint)
		s.Timeouts.DrainNotice = 500 * time.Millisecond
		stop := start(s)
		Eventually(ready(s), testTimeout).Should(Equal(http.StatusOK))
		client := &http.Client{Transport: &http.Transport{}}
		defer client.CloseIdleConnections()
		closes := func() bool {
			response, err := client.Get("http://" + s.Listen.Caller + "/none")
			Expect(err).NotTo(HaveOccurred())
			defer response.Body.Close()
			return response.Close
		}
		Expect(closes()).To(BeFalse())
		stopped := make(chan error, 1)
		go func() { stopped <- stop() }()
		Eventually(closes, s.Timeouts.DrainNotice, 5*time.Millisecond).Should(BeTrue())
		Eventually(stopped, testTimeout).Should(Receive(Succeed()))
	})

	It("reject operators without the token, and return the same response for a repeated ticket", func() {
		s := newSettings("vm-1", endpoint)
		stop := start(s)
		Eventually(ready(s)).WithTimeout(testTimeout).Should(Equal(http.StatusOK))
		client, err := admin.NewClient(admin.ClientConfig{Servers: []string{s.Listen.Admin}, Token: "guessed-token"})
		Expect(err).NotTo(HaveOccurred())
		_, err = client.Submit(context.Background(), firstTicket())
		Expect(fault.KindOf(err)).To(Equal(fault.Unauthorized))
		client, err = admin.NewClient(admin.ClientConfig{Servers: []string{s.Listen.Admin}, Token: token})
		Expect(err).NotTo(HaveOccurred())
		accepted, err := client.Submit(context.Background(), firstTicket())
		Expect(err).NotTo(HaveOccurred())
		repeated, err := client.Submit(context.Background(), firstTicket())
		Expect(err).NotTo(HaveOccurred())
		Expect(repeated.Revision).To(Equal(accepted.Revision))
		Expect(repeated.Digest).To(Equal(accepted.Digest))
		Expect(stop()).To(Succeed())
	})
})
