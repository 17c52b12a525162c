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

// keyPair reads its files again when the certificate's file has changed.
type keyPair struct {
	files settings.TLS

	mu       sync.Mutex
	modified time.Time
	cert     *tls.Certificate
}

func (p *keyPair) load() (*tls.Certificate, error) {
	p.mu.Lock()
	defer p.mu.Unlock()
	info, err := os.Stat(p.files.CertFile)
	if err != nil {
		return p.keep(err)
	}
	if p.cert != nil && info.ModTime().Equal(p.modified) {
		return p.cert, nil
	}
	cert, err := tls.LoadX509KeyPair(p.files.CertFile, p.files.KeyFile)
	if err != nil {
		return p.keep(err)
	}
	p.cert = &cert
	p.modified = info.ModTime()
	return p.cert, nil
}

// keep goes on with the former pair while the files are being replaced.
func (p *keyPair) keep(err error) (*tls.Certificate, error) {
	if p.cert != nil {
		return p.cert, nil
	}
	return nil, fault.Wrap(fault.SettingsInvalid, err, "tls.cert_file %s", p.files.CertFile)
}

func authority(t settings.TLS) (*x509.CertPool, error) {
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

// ServerConfig returns the configuration of a listener between processes, or nil without TLS.
func ServerConfig(t settings.TLS) (*tls.Config, error) {
	if !t.Enabled() {
		return nil, nil //nolint:nilnil // No configuration is the valid answer without TLS.
	}
	pool, pair, err := material(t)
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
		return nil, nil //nolint:nilnil // No configuration is the valid answer without TLS.
	}
	pool, pair, err := material(t)
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

// PeerName is the name that every certificate of the processes carries, since they are reached by address.
const PeerName = "bilberrylug"

func material(t settings.TLS) (*x509.CertPool, *keyPair, error) {
	pool, err := authority(t)
	if err != nil {
		return nil, nil, err
	}
	pair := &keyPair{files: t}
	if _, err := pair.load(); err != nil {
		return nil, nil, err
	}
	return pool, pair, nil
}

// CallerConfig returns the configuration of a listener for callers, who show no certificate. The files are read again
// when they change.
func CallerConfig(certFile, keyFile string) *tls.Config {
	pair := &keyPair{files: settings.TLS{CertFile: certFile, KeyFile: keyFile}}
	return &tls.Config{
		MinVersion: tls.VersionTLS12,
		GetCertificate: func(*tls.ClientHelloInfo) (*tls.Certificate, error) {
			return pair.load()
		},
	}
}
