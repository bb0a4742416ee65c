package runner

import (
	"crypto/tls"
	"crypto/x509"
	"os"

	"github.com/go-faster/errors"

	"github.com/oleanderpick/oleanderpick/internal/configurer"
)

// tlsConfigSet holds the TLS configurations of an instance. A nil one means no TLS.
type tlsConfigSet struct {
	callerServer *tls.Config
	peerServer   *tls.Config
	peerClient   *tls.Config
}

// peerScheme returns the URL scheme for calls to peers.
func (s tlsConfigSet) peerScheme() string {
	if s.peerClient != nil {
		return "https"
	}

	return "http"
}

// loadTLS reads the certificates, keys and the authority of peers from the files that the
// settings name. An error names the setting and the file.
func loadTLS(settings configurer.Settings) (tlsConfigSet, error) {
	configs := tlsConfigSet{}
	if settings.CertFile != "" {
		certificate, err := tls.LoadX509KeyPair(settings.CertFile, settings.KeyFile)
		if err != nil {
			return configs, errors.Wrapf(err, "setting -tls-cert: value %q", settings.CertFile)
		}
		configs.callerServer = &tls.Config{Certificates: []tls.Certificate{certificate}, MinVersion: tls.VersionTLS12}
	}
	if settings.PeerCertFile == "" {
		return configs, nil
	}

	certificate, err := tls.LoadX509KeyPair(settings.PeerCertFile, settings.PeerKeyFile)
	if err != nil {
		return configs, errors.Wrapf(err, "setting -peer-tls-cert: value %q", settings.PeerCertFile)
	}
	authorityPEM, err := os.ReadFile(settings.PeerCAFile)
	if err != nil {
		return configs, errors.Wrapf(err, "setting -peer-tls-ca: value %q", settings.PeerCAFile)
	}
	peerAuthorities := x509.NewCertPool()
	if !peerAuthorities.AppendCertsFromPEM(authorityPEM) {
		return configs, errors.Errorf("setting -peer-tls-ca: value %q: allowed: a file of PEM certificates", settings.PeerCAFile)
	}
	configs.peerServer = &tls.Config{
		Certificates: []tls.Certificate{certificate},
		ClientAuth:   tls.RequireAndVerifyClientCert,
		ClientCAs:    peerAuthorities,
		MinVersion:   tls.VersionTLS13,
	}
	configs.peerClient = &tls.Config{
		Certificates: []tls.Certificate{certificate},
		RootCAs:      peerAuthorities,
		MinVersion:   tls.VersionTLS13,
	}

	return configs, nil
}
