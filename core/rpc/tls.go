package rpc

import (
	"crypto/tls"
	"crypto/x509"
	"os"
	"sync"
	"time"

	"bilberrylug.dev/core/fault"
	"bilberrylug.dev/core/settings"
)

// keyPair reloads its files when the modification time of one of them changes.
type keyPair struct {
	files settings.TLS

	mu sync.Mutex
	// certModified and keyModified are the modification times of the files that were read last.
	certModified, keyModified time.Time
	cert                      *tls.Certificate
}

func (p *keyPair) load() (*tls.Certificate, error) {
	p.mu.Lock()
	defer p.mu.Unlock()
	certInfo, err := os.Stat(p.files.CertFile)
	if err != nil {
		return p.previous(err)
	}
	keyInfo, err := os.Stat(p.files.KeyFile)
	if err != nil {
		return p.previous(err)
	}
	if p.cert != nil && certInfo.ModTime().Equal(p.certModified) && keyInfo.ModTime().Equal(p.keyModified) {
		return p.cert, nil
	}
	cert, err := tls.LoadX509KeyPair(p.files.CertFile, p.files.KeyFile)
	if err != nil {
		return p.previous(err)
	}
	p.cert = &cert
	p.certModified, p.keyModified = certInfo.ModTime(), keyInfo.ModTime()
	return p.cert, nil
}

// previous returns the previous pair, since the files may be in the process of being replaced. Without one it returns err.
func (p *keyPair) previous(err error) (*tls.Certificate, error) {
	if p.cert != nil {
		return p.cert, nil
	}
	return nil, fault.Wrap(fault.SettingsInvalid, err, "tls.cert_file %s", p.files.CertFile)
}

func loadCAPool(t settings.TLS) (*x509.CertPool, error) {
	pem, err := os.ReadFile(t.CAFile)
	if err != nil {
		return nil, fault.Wrap(fault.SettingsInvalid, err, "tls.ca_file %s", t.CAFile)
	}
	pool := x509.NewCertPool()
	if !pool.AppendCertsFromPEM(pem) {
		return nil, fault.New(fault.SettingsInvalid, "tls.ca_file %s holds no certificate", t.CAFile)
	}
	return pool, nil
}

// ServerConfig returns the TLS configuration of a listener for other processes, or nil if TLS is disabled.
func ServerConfig(t settings.TLS) (*tls.Config, error) {
	if !t.Enabled() {
		return nil, nil //nolint:nilnil // A nil configuration means no TLS.
	}
	pool, pair, err := loadFiles(t)
	if err != nil {
		return nil, err
	}
	return &tls.Config{
		MinVersion: tls.VersionTLS13,
		ClientAuth: tls.RequireAndVerifyClientCert,
		ClientCAs:  pool,
		GetCertificate: func(*tls.ClientHelloInfo) (*tls.Certificate, error) {
			return pair.load()
		},
	}, nil
}

func clientConfig(t settings.TLS) (*tls.Config, error) {
	if !t.Enabled() {
		return nil, nil //nolint:nilnil // A nil configuration means no TLS.
	}
	pool, pair, err := loadFiles(t)
	if err != nil {
		return nil, err
	}
	return &tls.Config{
		MinVersion: tls.VersionTLS13,
		RootCAs:    pool,
		ServerName: PeerName,
		GetClientCertificate: func(*tls.CertificateRequestInfo) (*tls.Certificate, error) {
			return pair.load()
		},
	}, nil
}

// PeerName is the DNS name in the certificate of every process, since processes connect by address.
const PeerName = "bilberrylug"

func loadFiles(t settings.TLS) (*x509.CertPool, *keyPair, error) {
	pool, err := loadCAPool(t)
	if err != nil {
		return nil, nil, err
	}
	pair := &keyPair{files: t}
	if _, err := pair.load(); err != nil {
		return nil, nil, err
	}
	return pool, pair, nil
}

// CallerConfig returns the TLS configuration of a listener for callers, who present no certificate. The files are
// reloaded when one of them changes.
func CallerConfig(certFile, keyFile string) *tls.Config {
	pair := &keyPair{files: settings.TLS{CertFile: certFile, KeyFile: keyFile}}
	return &tls.Config{
		MinVersion: tls.VersionTLS12,
		GetCertificate: func(*tls.ClientHelloInfo) (*tls.Certificate, error) {
			return pair.load()
		},
	}
}
