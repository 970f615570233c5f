// Package mtlstest creates certificates and keys of instances for tests and the demo.
package mtlstest

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

	"github.com/boragegate/boragegate/internal/mtls"
)

// Authority is a certificate authority that signs certificates of instances.
type Authority struct {
	certificate *x509.Certificate
	key         *ecdsa.PrivateKey
}

// NewAuthority returns an authority with a new key and a self-signed certificate.
func NewAuthority() (*Authority, error) {
	key, err := ecdsa.GenerateKey(elliptic.P256(), rand.Reader)
	if err != nil {
		return nil, err
	}
	template := newTemplate("authority")
	template.IsCA, template.BasicConstraintsValid = true, true
	template.KeyUsage = x509.KeyUsageCertSign
	der, err := x509.CreateCertificate(rand.Reader, template, template, &key.PublicKey, key)
	if err != nil {
		return nil, err
	}
	certificate, err := x509.ParseCertificate(der)
	return &Authority{certificate, key}, err
}

// Issue creates a certificate and key for an instance ID and writes them, and the
// certificate of the authority, to PEM files in the directory.
func (a *Authority) Issue(dir, id string) (mtls.Files, error) {
	key, err := ecdsa.GenerateKey(elliptic.P256(), rand.Reader)
	if err != nil {
		return mtls.Files{}, err
	}
	leaf := newTemplate(id)
	leaf.DNSNames = []string{id}
	der, err := x509.CreateCertificate(rand.Reader, leaf, a.certificate, &key.PublicKey, a.key)
	if err != nil {
		return mtls.Files{}, err
	}
	privateKey, err := x509.MarshalECPrivateKey(key)
	if err != nil {
		return mtls.Files{}, err
	}
	f := mtls.Files{
		Certificate: filepath.Join(dir, id+".crt"),
		Key:         filepath.Join(dir, id+".key"),
		Authority:   filepath.Join(dir, id+".ca"),
	}
	for _, out := range []struct{ name, kind, der string }{
		{f.Certificate, "CERTIFICATE", string(der)},
		{f.Key, "EC PRIVATE KEY", string(privateKey)},
		{f.Authority, "CERTIFICATE", string(a.certificate.Raw)},
	} {
		block := pem.EncodeToMemory(&pem.Block{Type: out.kind, Bytes: []byte(out.der)})
		if err := os.WriteFile(out.name, block, 0o600); err != nil {
			return mtls.Files{}, err
		}
	}
	return f, nil
}

// newTemplate returns the template of a certificate that is valid from one hour ago
// until 24 hours from now.
func newTemplate(name string) *x509.Certificate {
	return &x509.Certificate{
		SerialNumber: big.NewInt(time.Now().UnixNano()),
		Subject:      pkix.Name{CommonName: name},
		NotBefore:    time.Now().Add(-time.Hour),
		NotAfter:     time.Now().Add(24 * time.Hour),
		KeyUsage:     x509.KeyUsageDigitalSignature,
		ExtKeyUsage:  []x509.ExtKeyUsage{x509.ExtKeyUsageServerAuth, x509.ExtKeyUsageClientAuth},
	}
}
