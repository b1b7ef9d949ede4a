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

// certificateValidity is how long a certificate is valid before and after the time
// at which it is issued.
const certificateValidity = time.Hour

// Authority is a certificate authority (CA) that signs the certificates of daemons.
type Authority struct {
	cert *x509.Certificate
	key  *ecdsa.PrivateKey
}

// NewAuthority creates an authority with a new key and a self-signed certificate
// for the common name.
func NewAuthority(name string) (*Authority, error) {
	key, err := ecdsa.GenerateKey(elliptic.P256(), rand.Reader)
	if err != nil {
		return nil, fault.Wrap(err, fault.Internal, "generate the key of %s", name)
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

// template returns the fields that CA and daemon certificates share.
func template(name string) *x509.Certificate {
	return &x509.Certificate{
		SerialNumber: big.NewInt(time.Now().UnixNano()), Subject: pkix.Name{CommonName: name},
		NotBefore: time.Now().Add(-certificateValidity), NotAfter: time.Now().Add(certificateValidity),
	}
}

// Issue writes a new certificate and its private key to the files of the VM's
// daemon.
func (a *Authority) Issue(vm *VM) error {
	key, err := ecdsa.GenerateKey(elliptic.P256(), rand.Reader)
	if err != nil {
		return fault.Wrap(err, fault.Internal, "generate the key of %s", vm.Name)
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

// Trust writes the CA file of the VM's daemon, which replaces the authorities that
// the daemon accepts.
func (vm *VM) Trust(authorities ...*Authority) error {
	var blocks []*pem.Block
	for _, a := range authorities {
		blocks = append(blocks, &pem.Block{Type: "CERTIFICATE", Bytes: a.cert.Raw})
	}
	return writePEM(vm.tlsFile("ca"), blocks...)
}

// writePEM writes the blocks to the file, which only its owner can read.
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

// tlsFile returns the path of the VM's TLS file with the extension "crt", "key" or "ca".
func (vm *VM) tlsFile(kind string) string { return vm.fleet.Path(vm.Name + "." + kind) }

// tlsSettings returns the keys of the section [peers] for mutual TLS, or ""
// without an authority.
func (vm *VM) tlsSettings() string {
	if vm.authority == nil {
		return ""
	}
	return fmt.Sprintf("tls_certificate = %s\ntls_key = %s\ntls_ca = %s\n", vm.tlsFile("crt"), vm.tlsFile("key"), vm.tlsFile("ca"))
}
