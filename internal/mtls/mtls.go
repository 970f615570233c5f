// Package mtls holds the key material with which instances authenticate each
// other, and reloads it when its files are replaced.
package mtls

import (
	"crypto/tls"
	"crypto/x509"
	"errors"
	"fmt"
	"os"
	"slices"
	"sync"
	"time"
)

// ErrIdentity means that a certificate does not name the expected instance.
var ErrIdentity = errors.New("certificate does not name the instance")

// Files names the PEM files of one instance.
type Files struct {
	// Certificate has the chain of this instance, leaf first. Its DNS name or common name is the instance ID.
	Certificate string `json:"certificate"`
	// Key has the private key of the leaf.
	Key string `json:"key"`
	// Authority has the certificates that may sign instances. Without it, a
	// listener takes connections without a certificate.
	Authority string `json:"authority"`
}

// Material is the current key material. It is safe for concurrent use.
type Material struct {
	files Files

	mu       sync.Mutex
	modTimes [3]time.Time
	current  credentials
	err      error
}

type credentials struct {
	certificate tls.Certificate
	authority   *x509.CertPool
}

// Load reads the files.
func Load(files Files) (*Material, error) {
	m := &Material{files: files}
	m.refresh()
	if m.err != nil {
		return nil, m.err
	}
	return m, nil
}

// Err returns why the files as they are now could not be loaded, or nil. The
// material that was loaded last stays in use.
func (m *Material) Err() error {
	m.mu.Lock()
	defer m.mu.Unlock()
	return m.err
}

// latest returns the material, after reloading it if a file has changed.
func (m *Material) latest() credentials {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.refresh()
	return m.current
}

// refresh loads the files if a modification time differs. A file that is
// replaced while it is read is noticed at the next call, because the times are
// taken before reading.
func (m *Material) refresh() {
	var times [3]time.Time
	for i, name := range []string{m.files.Certificate, m.files.Key, m.files.Authority} {
		if name == "" {
			continue
		}
		info, err := os.Stat(name)
		if err != nil {
			m.err = fmt.Errorf("key material: %w", err)
			return
		}
		times[i] = info.ModTime()
	}
	if times == m.modTimes {
		return
	}
	next, err := loadFiles(m.files)
	if m.err = err; err == nil {
		m.current, m.modTimes = next, times
	}
}

func loadFiles(f Files) (credentials, error) {
	certificate, err := tls.LoadX509KeyPair(f.Certificate, f.Key)
	if err != nil {
		return credentials{}, fmt.Errorf("key material: %w", err)
	}
	if f.Authority == "" {
		return credentials{certificate: certificate}, nil
	}
	pem, err := os.ReadFile(f.Authority)
	if err != nil {
		return credentials{}, fmt.Errorf("key material: %w", err)
	}
	pool := x509.NewCertPool()
	if !pool.AppendCertsFromPEM(pem) {
		return credentials{}, fmt.Errorf("key material: %s has no certificate", f.Authority)
	}
	return credentials{certificate, pool}, nil
}

// ServerConfig returns the configuration of a listener. If there is an authority,
// the listener requires a certificate of it; the caller compares the identity
// with Names.
func (m *Material) ServerConfig() *tls.Config {
	return &tls.Config{
		MinVersion: tls.VersionTLS13,
		GetConfigForClient: func(*tls.ClientHelloInfo) (*tls.Config, error) {
			now := m.latest()
			c := &tls.Config{
				MinVersion:   tls.VersionTLS13,
				Certificates: []tls.Certificate{now.certificate},
				// A resumed session would keep using replaced key material.
				SessionTicketsDisabled: true,
			}
			if now.authority != nil {
				c.ClientAuth, c.ClientCAs = tls.RequireAndVerifyClientCert, now.authority
			}
			return c, nil
		},
	}
}

// ClientConfig returns the configuration of a connection to the instance with that ID.
func (m *Material) ClientConfig(id string) *tls.Config {
	now := m.latest()
	return &tls.Config{
		MinVersion:   tls.VersionTLS13,
		Certificates: []tls.Certificate{now.certificate},
		// The library verifies host names only, and an ID need not be one;
		// VerifyConnection checks the chain and the ID instead.
		InsecureSkipVerify: true,
		VerifyConnection: func(state tls.ConnectionState) error {
			return verifyPeer(state, now.authority, id)
		},
	}
}

func verifyPeer(state tls.ConnectionState, authority *x509.CertPool, id string) error {
	if len(state.PeerCertificates) == 0 {
		return fmt.Errorf("%w %s: no certificate", ErrIdentity, id)
	}
	intermediates := x509.NewCertPool()
	for _, c := range state.PeerCertificates[1:] {
		intermediates.AddCert(c)
	}
	_, err := state.PeerCertificates[0].Verify(x509.VerifyOptions{
		Roots: authority, Intermediates: intermediates,
		KeyUsages: []x509.ExtKeyUsage{x509.ExtKeyUsageServerAuth},
	})
	if err != nil {
		return err
	}
	return VerifyIdentity(state, id)
}

// VerifyIdentity returns nil if the peer's certificate has the ID as a DNS name or as
// its common name, else an error that wraps ErrIdentity.
func VerifyIdentity(state tls.ConnectionState, id string) error {
	if id != "" && len(state.PeerCertificates) > 0 {
		leaf := state.PeerCertificates[0]
		if leaf.Subject.CommonName == id || slices.Contains(leaf.DNSNames, id) {
			return nil
		}
	}
	return fmt.Errorf("%w %q", ErrIdentity, id)
}
