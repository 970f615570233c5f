// Package mtls holds the certificates and keys with which instances authenticate each
// other over TLS, and reloads them when their files are replaced.
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

// ErrIdentity is returned if a peer has no certificate that names the expected
// instance.
var ErrIdentity = errors.New("certificate does not name the instance")

// Files names the PEM files of one instance.
type Files struct {
	// Certificate holds the certificate chain of this instance, leaf first. The leaf has
	// the instance ID as a DNS name or as its common name.
	Certificate string `json:"certificate"`
	// Key holds the private key of the leaf.
	Key string `json:"key"`
	// Authority holds the CA certificates that may sign certificates of instances. If it
	// is empty, a listener accepts connections without a client certificate, and a
	// client verifies the listener's certificate against the CAs of the system.
	Authority string `json:"authority"`
}

// Material holds the current key material of an instance. It is safe for concurrent
// use.
type Material struct {
	files Files

	mu       sync.Mutex
	modTimes [3]time.Time
	current  credentials
	err      error
}

// credentials is the key material of one reload. The authority is nil if none is
// configured.
type credentials struct {
	certificate tls.Certificate
	authority   *x509.CertPool
}

// Load reads the files. It returns an error if any of them cannot be used.
func Load(files Files) (*Material, error) {
	m := &Material{files: files}
	m.refresh()
	if m.err != nil {
		return nil, m.err
	}
	return m, nil
}

// Err returns the error of the last failed check or load of the files, or nil if the files
// have been loaded successfully since. After an error the material that was loaded before
// stays in use.
func (m *Material) Err() error {
	m.mu.Lock()
	defer m.mu.Unlock()
	return m.err
}

// latest reloads the material if a file has changed and returns it.
func (m *Material) latest() credentials {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.refresh()
	return m.current
}

// refresh loads the files if a modification time has changed. The times are read before
// the contents, so a file that is replaced while it is read is reloaded by the next call.
// The caller must hold mu or be the only user.
func (m *Material) refresh() {
	var times [3]time.Time
	for i, name := range []string{m.files.Certificate, m.files.Key, m.files.Authority} {
		if name == "" {
			continue
		}
		info, err := os.Stat(name)
		if err != nil {
			m.err = fmt.Errorf("key material: check files: %w", err)
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
		return credentials{}, fmt.Errorf("key material: load certificate and key: %w", err)
	}
	if f.Authority == "" {
		return credentials{certificate: certificate}, nil
	}
	pem, err := os.ReadFile(f.Authority)
	if err != nil {
		return credentials{}, fmt.Errorf("key material: read authority file: %w", err)
	}
	pool := x509.NewCertPool()
	if !pool.AppendCertsFromPEM(pem) {
		return credentials{}, fmt.Errorf("key material: no PEM certificate found in authority file %s", f.Authority)
	}
	return credentials{certificate, pool}, nil
}

// ServerConfig returns the TLS configuration of a listener. With an authority the
// listener requires a client certificate signed by it. The caller must check the ID of
// the peer with VerifyIdentity.
func (m *Material) ServerConfig() *tls.Config {
	return &tls.Config{
		MinVersion: tls.VersionTLS13,
		GetConfigForClient: func(*tls.ClientHelloInfo) (*tls.Config, error) {
			creds := m.latest()
			c := &tls.Config{
				MinVersion:   tls.VersionTLS13,
				Certificates: []tls.Certificate{creds.certificate},
				// A resumed session would keep using key material that was replaced.
				SessionTicketsDisabled: true,
			}
			if creds.authority != nil {
				c.ClientAuth, c.ClientCAs = tls.RequireAndVerifyClientCert, creds.authority
			}
			return c, nil
		},
	}
}

// ClientConfig returns the TLS configuration of a connection to the instance with the
// given ID. It uses the key material that is current when it is called.
func (m *Material) ClientConfig(id string) *tls.Config {
	creds := m.latest()
	return &tls.Config{
		MinVersion:   tls.VersionTLS13,
		Certificates: []tls.Certificate{creds.certificate},
		// crypto/tls verifies host names only, and an instance ID need not be one.
		// VerifyConnection verifies the chain and the ID instead.
		InsecureSkipVerify: true,
		VerifyConnection: func(state tls.ConnectionState) error {
			return verifyPeer(state, creds.authority, id)
		},
	}
}

// verifyPeer verifies the certificate chain of a server and its instance ID.
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
// its common name, and otherwise an error that wraps ErrIdentity. It does not verify the
// certificate chain.
func VerifyIdentity(state tls.ConnectionState, id string) error {
	if id != "" && len(state.PeerCertificates) > 0 {
		leaf := state.PeerCertificates[0]
		if leaf.Subject.CommonName == id || slices.Contains(leaf.DNSNames, id) {
			return nil
		}
	}
	return fmt.Errorf("%w %q", ErrIdentity, id)
}
