package bench

import (
	"crypto/ecdsa"
	"crypto/elliptic"
	"crypto/rand"
	"crypto/x509"
	"crypto/x509/pkix"
	"encoding/pem"
	"fmt"
	"math/big"
	"os"
	"path/filepath"
	"time"

	"github.com/magnoliamount/magnoliamount/internal/fault"
)

// Course of the comparison with TLS.
const (
	tlsDaemons = 50
	tlsRounds  = 3
	tlsIdle    = 10 * time.Second
	tlsTickets = 20
)

// TLS is the raw result of the part; rounds without and with TLS alternate.
type TLS struct {
	Daemons int        `json:"daemons"`
	Plain   []TLSRound `json:"plain"`
	Secured []TLSRound `json:"secured"`
}

// TLSRound is one mesh.
type TLSRound struct {
	Idle    Phase `json:"idle"`
	Changes Phase `json:"changes"`
	// StartCPU is the mean processor time of a daemon from its start to the
	// idle phase, in milliseconds.
	StartCPU    float64     `json:"start_cpu_ms"`
	Convergence Convergence `json:"convergence"`
}

// MeasureTLS compares the peer links with and without mutual TLS.
func MeasureTLS(o *Options, dir string) ([]Row, any, error) {
	r := &TLS{Daemons: tlsDaemons}
	peers, err := writeCertificates(filepath.Join(dir, "certificates"))
	if err != nil {
		return nil, r, err
	}
	for i := range tlsRounds {
		for _, settings := range []string{"", peers} {
			round, err := measureTLSRound(o, filepath.Join(dir, fmt.Sprintf("%d-%t", i, settings != "")), settings)
			if err != nil {
				return r.rows(), r, err
			}
			if settings == "" {
				r.Plain = append(r.Plain, round)
			} else {
				r.Secured = append(r.Secured, round)
			}
		}
	}
	return r.rows(), r, nil
}

func measureTLSRound(o *Options, dir, peers string) (TLSRound, error) {
	var round TLSRound
	m, err := startMeshOf(o, dir, meshConfig{daemons: tlsDaemons, peers: peers})
	if err != nil {
		return round, err
	}
	defer m.close()
	if err := m.setUp(); err != nil {
		return round, err
	}
	time.Sleep(settleTime)
	s := newSampler(m)
	for _, reading := range s.take().Daemons {
		round.StartCPU += float64(reading.Usage.CPU.Milliseconds()) / tlsDaemons
	}
	round.Idle, _ = s.phase("idle", func() error { time.Sleep(tlsIdle); return nil })
	var tickets []accepted
	round.Changes, err = s.phase("changes", func() error {
		tickets, err = m.submitMany(tlsTickets, ticketInterval)
		time.Sleep(time.Second)
		return err
	})
	if err != nil {
		return round, err
	}
	round.Convergence, err = m.converge(tickets)
	return round, err
}

func (r *TLS) rows() []Row {
	var rows []Row
	for _, way := range []struct {
		name   string
		rounds []TLSRound
	}{{"no TLS", r.Plain}, {"TLS", r.Secured}} {
		if len(way.rounds) == 0 {
			continue
		}
		add := func(name, unit string, target float64, of func(*TLSRound) float64) {
			var values []float64
			for i := range way.rounds {
				values = append(values, of(&way.rounds[i]))
			}
			rows = append(rows, Row{Name: way.name + ": " + name, Unit: unit, Measured: median(values), Target: target, Note: spread(values)})
		}
		add("start: processor, mean", "ms/daemon", 0, func(t *TLSRound) float64 { return t.StartCPU })
		add("idle: processor, mean", "% of a core", targetCPU, func(t *TLSRound) float64 { return t.Idle.CPU })
		add("idle: received, mean", "B/s", targetBytes, func(t *TLSRound) float64 { return t.Idle.Received })
		add("idle: sent, busiest daemon", "B/s", targetBytes, func(t *TLSRound) float64 { return t.Idle.SentMost })
		add("idle: resident, mean", "MiB", targetMiB, func(t *TLSRound) float64 { return t.Idle.Resident })
		add("changes: processor, mean", "% of a core", targetCPU, func(t *TLSRound) float64 { return t.Changes.CPU })
		add("changes: received, mean", "B/s", targetBytes, func(t *TLSRound) float64 { return t.Changes.Received })
		add("changes: sent, busiest daemon", "B/s", targetBytes, func(t *TLSRound) float64 { return t.Changes.SentMost })
		add("applied everywhere, worst", "ms", targetConvergenceMs, func(t *TLSRound) float64 { return t.Convergence.Everywhere.Max })
	}
	return rows
}

// writeCertificates makes a CA and one certificate for all daemons, and
// returns the settings that name them.
func writeCertificates(dir string) (string, error) {
	dir, err := filepath.Abs(dir)
	if err == nil {
		err = os.MkdirAll(dir, 0o755)
	}
	if err != nil {
		return "", fault.Wrap(err, fault.Internal, "create %s", dir)
	}
	ca, caKey, err := certificate("bench CA", nil, nil)
	if err != nil {
		return "", err
	}
	leaf, key, err := certificate("daemon", ca, caKey)
	if err != nil {
		return "", err
	}
	keyDER, err := x509.MarshalECPrivateKey(key)
	if err != nil {
		return "", fault.Wrap(err, fault.Internal, "encode the key")
	}
	settings := ""
	for name, block := range map[string]*pem.Block{
		"tls_ca":          {Type: "CERTIFICATE", Bytes: ca.Raw},
		"tls_certificate": {Type: "CERTIFICATE", Bytes: leaf.Raw},
		"tls_key":         {Type: "EC PRIVATE KEY", Bytes: keyDER},
	} {
		path := filepath.Join(dir, name+".pem")
		if err := os.WriteFile(path, pem.EncodeToMemory(block), 0o600); err != nil {
			return "", fault.Wrap(err, fault.Internal, "write %s", path)
		}
		settings += fmt.Sprintf("%s = %s\n", name, path)
	}
	return settings, nil
}

// certificate makes a certificate that the CA signs, or a CA if it is nil.
func certificate(name string, ca *x509.Certificate, caKey *ecdsa.PrivateKey) (*x509.Certificate, *ecdsa.PrivateKey, error) {
	key, err := ecdsa.GenerateKey(elliptic.P256(), rand.Reader)
	if err != nil {
		return nil, nil, fault.Wrap(err, fault.Internal, "make a key")
	}
	template := &x509.Certificate{
		SerialNumber: big.NewInt(1), Subject: pkix.Name{CommonName: name},
		NotBefore: time.Now().Add(-time.Hour), NotAfter: time.Now().Add(time.Hour), BasicConstraintsValid: true,
	}
	if ca == nil {
		template.IsCA, template.KeyUsage = true, x509.KeyUsageCertSign
		ca, caKey = template, key
	}
	der, err := x509.CreateCertificate(rand.Reader, template, ca, key.Public(), caKey)
	if err != nil {
		return nil, nil, fault.Wrap(err, fault.Internal, "sign the certificate of %s", name)
	}
	parsed, err := x509.ParseCertificate(der)
	return parsed, key, err
}
