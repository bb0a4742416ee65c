package runner

import (
	"crypto/tls"
	"crypto/x509"
	"os"

	"github.com/go-faster/errors"

	"github.com/oleanderpick/oleanderpick/internal/configurer"
)

// tlsSettings are the TLS configurations of a router; nil where plain.
type tlsSettings struct {
	callers    *tls.Config
	peerServer *tls.Config
	peerClient *tls.Config
}

func (t tlsSettings) scheme() string {
	if t.peerClient != nil {
		return "https"
	}

	return "http"
}

func loadTLS(settings configurer.Settings) (tlsSettings, error) {
	loaded := tlsSettings{}
	if settings.CertFile != "" {
		pair, err := tls.LoadX509KeyPair(settings.CertFile, settings.KeyFile)
		if err != nil {
			return loaded, errors.Wrapf(err, "setting -tls-cert: value %q", settings.CertFile)
		}
		loaded.callers = &tls.Config{Certificates: []tls.Certificate{pair}, MinVersion: tls.VersionTLS12}
	}
	if settings.PeerCertFile == "" {
		return loaded, nil
	}

	pair, err := tls.LoadX509KeyPair(settings.PeerCertFile, settings.PeerKeyFile)
	if err != nil {
		return loaded, errors.Wrapf(err, "setting -peer-tls-cert: value %q", settings.PeerCertFile)
	}
	authority, err := os.ReadFile(settings.PeerCAFile)
	if err != nil {
		return loaded, errors.Wrapf(err, "setting -peer-tls-ca: value %q", settings.PeerCAFile)
	}
	pool := x509.NewCertPool()
	if !pool.AppendCertsFromPEM(authority) {
		return loaded, errors.Errorf("setting -peer-tls-ca: value %q: allowed: a file of PEM certificates", settings.PeerCAFile)
	}
	loaded.peerServer = &tls.Config{
		Certificates: []tls.Certificate{pair},
		ClientAuth:   tls.RequireAndVerifyClientCert,
		ClientCAs:    pool,
		MinVersion:   tls.VersionTLS13,
	}
	loaded.peerClient = &tls.Config{
		Certificates: []tls.Certificate{pair},
		RootCAs:      pool,
		MinVersion:   tls.VersionTLS13,
	}

	return loaded, nil
}
