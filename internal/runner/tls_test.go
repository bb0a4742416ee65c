package runner

import (
	"context"
	"crypto/ecdsa"
	"crypto/elliptic"
	"crypto/rand"
	"crypto/tls"
	"crypto/x509"
	"crypto/x509/pkix"
	"encoding/pem"
	"math/big"
	"net"
	"net/http"
	"net/http/httptest"
	"os"
	"path/filepath"
	"testing"
	"time"

	"github.com/hashicorp/go-hclog"
	"gotest.tools/v3/assert"

	"github.com/oleanderpick/oleanderpick/internal/configurer"
	"github.com/oleanderpick/oleanderpick/internal/exchanger/peerwire"
	"github.com/oleanderpick/oleanderpick/internal/lab/keeper"
)

// certificateAuthority signs certificates for a test and writes them to files.
type certificateAuthority struct {
	t           *testing.T
	directory   string
	certificate *x509.Certificate
	key         *ecdsa.PrivateKey
}

func newCertificateAuthority(t *testing.T) *certificateAuthority {
	t.Helper()
	key, err := ecdsa.GenerateKey(elliptic.P256(), rand.Reader)
	assert.NilError(t, err)
	template := &x509.Certificate{
		SerialNumber: big.NewInt(1), Subject: pkix.Name{CommonName: "authority"},
		NotBefore: time.Now().Add(-time.Hour), NotAfter: time.Now().Add(time.Hour),
		IsCA: true, BasicConstraintsValid: true, KeyUsage: x509.KeyUsageCertSign,
	}
	a := &certificateAuthority{t: t, directory: t.TempDir(), certificate: template, key: key}
	certificateDER, err := x509.CreateCertificate(rand.Reader, template, template, &key.PublicKey, key)
	assert.NilError(t, err)
	a.writePEM("ca.pem", "CERTIFICATE", certificateDER)

	return a
}

// writePEM writes a PEM file and returns its path.
func (a *certificateAuthority) writePEM(name, blockType string, contents []byte) string {
	path := filepath.Join(a.directory, name)
	assert.NilError(a.t, os.WriteFile(path, pem.EncodeToMemory(&pem.Block{Type: blockType, Bytes: contents}), 0o600))

	return path
}

// issue creates a signed certificate and returns the paths of the files of the
// certificate and its key.
func (a *certificateAuthority) issue(name string) (certFile, keyFile string) {
	privateKey, err := ecdsa.GenerateKey(elliptic.P256(), rand.Reader)
	assert.NilError(a.t, err)
	template := &x509.Certificate{
		SerialNumber: big.NewInt(2), Subject: pkix.Name{CommonName: name},
		NotBefore: time.Now().Add(-time.Hour), NotAfter: time.Now().Add(time.Hour),
		IPAddresses: []net.IP{net.IPv4(127, 0, 0, 1)},
		ExtKeyUsage: []x509.ExtKeyUsage{x509.ExtKeyUsageServerAuth, x509.ExtKeyUsageClientAuth},
	}
	certificateDER, err := x509.CreateCertificate(rand.Reader, template, a.certificate, &privateKey.PublicKey, a.key)
	assert.NilError(a.t, err)
	keyDER, err := x509.MarshalECPrivateKey(privateKey)
	assert.NilError(a.t, err)

	return a.writePEM(name+".pem", "CERTIFICATE", certificateDER), a.writePEM(name+".key", "EC PRIVATE KEY", keyDER)
}

// An instance answers peers that present a certificate of its own authority. It refuses
// those with a certificate of another authority and those without TLS.
func TestOnlyPeersWithATrustedCertificateAreAnswered(t *testing.T) {
	trusted, untrusted := newCertificateAuthority(t), newCertificateAuthority(t)
	store := httptest.NewServer(keeper.New(keeper.Settings{}).Handler())
	defer store.Close()
	settings := configurer.Settings{
		Name: "entry-1", DataCentre: "north", PlatformURL: store.URL,
		Listen: "127.0.0.1:0", StatusListen: "127.0.0.1:0", PeerListen: "127.0.0.1:0",
		PeerCAFile: filepath.Join(trusted.directory, "ca.pem"), LogLevel: "info", LogFormat: "text",
		MaxBodyBytes: 1000, MaxWaiting: 10, ExchangeInterval: time.Second, StopTimeout: time.Second,
	}
	settings.PeerCertFile, settings.PeerKeyFile = trusted.issue("entry-1")
	settings.CertFile, settings.KeyFile = trusted.issue("callers")
	instance, err := New(settings, Options{}, hclog.NewNullLogger())
	assert.NilError(t, err)
	ctx, stop := context.WithCancel(context.Background())
	runEnded := make(chan error, 1)
	go func() { runEnded <- instance.Run(ctx, ctx) }()
	callerAddress, _, peerAddress := instance.Addresses()

	exchange := func(issuer *certificateAuthority) error {
		certFile, keyFile := issuer.issue("peer")
		certificate, err := tls.LoadX509KeyPair(certFile, keyFile)
		assert.NilError(t, err)
		client := &http.Client{Transport: &http.Transport{TLSClientConfig: &tls.Config{
			Certificates: []tls.Certificate{certificate}, RootCAs: readCertPool(t, trusted),
		}}}
		_, err = peerwire.NewPeerProtobufClient("https://"+peerAddress, client).Exchange(context.Background(), &peerwire.Message{})

		return err
	}
	assert.NilError(t, exchange(trusted))
	assert.ErrorContains(t, exchange(untrusted), "certificate")
	_, err = peerwire.NewPeerProtobufClient("http://"+peerAddress, http.DefaultClient).Exchange(context.Background(), &peerwire.Message{})
	assert.Assert(t, err != nil)

	client := &http.Client{Transport: &http.Transport{TLSClientConfig: &tls.Config{RootCAs: readCertPool(t, trusted)}}}
	response, err := client.Get("https://" + callerAddress + "/v1/models")
	assert.NilError(t, err)
	assert.Equal(t, response.StatusCode, http.StatusServiceUnavailable)

	stop()
	<-runEnded
}

// readCertPool returns a pool with the certificate of an authority.
func readCertPool(t *testing.T, issuer *certificateAuthority) *x509.CertPool {
	t.Helper()
	contents, err := os.ReadFile(filepath.Join(issuer.directory, "ca.pem"))
	assert.NilError(t, err)
	pool := x509.NewCertPool()
	assert.Assert(t, pool.AppendCertsFromPEM(contents))

	return pool
}

func TestMissingCertificateFileIsNamedInError(t *testing.T) {
	tests := []struct {
		name     string
		settings configurer.Settings
		wantErr  string
	}{
		{"callers", configurer.Settings{CertFile: "none.pem", KeyFile: "none.key"}, `setting -tls-cert: value "none.pem"`},
		{"peers", configurer.Settings{PeerCertFile: "none.pem", PeerKeyFile: "none.key", PeerCAFile: "ca.pem"}, `setting -peer-tls-cert: value "none.pem"`},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			_, err := loadTLS(test.settings)
			assert.ErrorContains(t, err, test.wantErr)
		})
	}
}
