package fleet

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
	"time"

	"github.com/magnoliamount/magnoliamount/internal/fault"
)

// certificateTime is the validity of certificates in both directions from now.
const certificateTime = time.Hour

// Authority signs the certificates of daemons.
type Authority struct {
	cert *x509.Certificate
	key  *ecdsa.PrivateKey
}

// NewAuthority makes an authority with its own key.
func NewAuthority(name string) (*Authority, error) {
	key, err := ecdsa.GenerateKey(elliptic.P256(), rand.Reader)
	if err != nil {
		return nil, fault.Wrap(err, fault.Internal, "make the key of %s", name)
	}
	template := template(name)
	template.IsCA, template.BasicConstraintsValid, template.KeyUsage = true, true, x509.KeyUsageCertSign
	der, err := x509.CreateCertificate(rand.Reader, template, template, &key.PublicKey, key)
	if err != nil {
		return nil, fault.Wrap(err, fault.Internal, "sign the certificate of %s", name)
	}
	cert, err := x509.ParseCertificate(der)
	if err != nil {
		return nil, fault.Wrap(err, fault.Internal, "parse the certificate of %s", name)
	}
	return &Authority{cert: cert, key: key}, nil
}

func template(name string) *x509.Certificate {
	return &x509.Certificate{
		SerialNumber: big.NewInt(time.Now().UnixNano()), Subject: pkix.Name{CommonName: name},
		NotBefore: time.Now().Add(-certificateTime), NotAfter: time.Now().Add(certificateTime),
	}
}

// Issue writes a certificate for the VM's daemon and its key.
func (a *Authority) Issue(vm *VM) error {
	key, err := ecdsa.GenerateKey(elliptic.P256(), rand.Reader)
	if err != nil {
		return fault.Wrap(err, fault.Internal, "make the key of %s", vm.Name)
	}
	template := template(vm.Name)
	template.KeyUsage = x509.KeyUsageDigitalSignature
	template.ExtKeyUsage = []x509.ExtKeyUsage{x509.ExtKeyUsageClientAuth, x509.ExtKeyUsageServerAuth}
	der, err := x509.CreateCertificate(rand.Reader, template, a.cert, &key.PublicKey, a.key)
	if err != nil {
		return fault.Wrap(err, fault.Internal, "sign the certificate of %s", vm.Name)
	}
	encoded, err := x509.MarshalECPrivateKey(key)
	if err != nil {
		return fault.Wrap(err, fault.Internal, "encode the key of %s", vm.Name)
	}
	if err := writePEM(vm.tlsFile("crt"), &pem.Block{Type: "CERTIFICATE", Bytes: der}); err != nil {
		return err
	}
	return writePEM(vm.tlsFile("key"), &pem.Block{Type: "EC PRIVATE KEY", Bytes: encoded})
}

// Trust writes the authorities that the VM's daemon accepts.
func (vm *VM) Trust(authorities ...*Authority) error {
	var blocks []*pem.Block
	for _, a := range authorities {
		blocks = append(blocks, &pem.Block{Type: "CERTIFICATE", Bytes: a.cert.Raw})
	}
	return writePEM(vm.tlsFile("ca"), blocks...)
}

func writePEM(path string, blocks ...*pem.Block) error {
	var content []byte
	for _, b := range blocks {
		content = append(content, pem.EncodeToMemory(b)...)
	}
	if err := os.WriteFile(path, content, 0o600); err != nil {
		return fault.Wrap(err, fault.Internal, "write %s", path)
	}
	return nil
}

func (vm *VM) tlsFile(kind string) string { return vm.fleet.Path(vm.Name + "." + kind) }

// tlsSettings are the keys of the section [peers] for mutual TLS.
func (vm *VM) tlsSettings() string {
	if vm.authority == nil {
		return ""
	}
	return fmt.Sprintf("tls_certificate = %s\ntls_key = %s\ntls_ca = %s\n", vm.tlsFile("crt"), vm.tlsFile("key"), vm.tlsFile("ca"))
}
