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

// authority signs certificates for a test and writes them to files.
type authority struct {
	t           *testing.T
	folder      string
	certificate *x509.Certificate
	key         *ecdsa.PrivateKey
}

func newAuthority(t *testing.T) *authority {
	t.Helper()
	key, err := ecdsa.GenerateKey(elliptic.P256(), rand.Reader)
	assert.NilError(t, err)
	template := &x509.Certificate{
		SerialNumber: big.NewInt(1), Subject: pkix.Name{CommonName: "authority"},
		NotBefore: time.Now().Add(-time.Hour), NotAfter: time.Now().Add(time.Hour),
		IsCA: true, BasicConstraintsValid: true, KeyUsage: x509.KeyUsageCertSign,
	}
	a := &authority{t: t, folder: t.TempDir(), certificate: template, key: key}
	encoded, err := x509.CreateCertificate(rand.Reader, template, template, &key.PublicKey, key)
	assert.NilError(t, err)
	a.write("ca.pem", "CERTIFICATE", encoded)

	return a
}

func (a *authority) write(name, kind string, contents []byte) string {
	path := filepath.Join(a.folder, name)
	assert.NilError(a.t, os.WriteFile(path, pem.EncodeToMemory(&pem.Block{Type: kind, Bytes: contents}), 0o600))

	return path
}

func (a *authority) issue(name string) (cert, key string) {
	private, err := ecdsa.GenerateKey(elliptic.P256(), rand.Reader)
	assert.NilError(a.t, err)
	template := &x509.Certificate{
		SerialNumber: big.NewInt(2), Subject: pkix.Name{CommonName: name},
		NotBefore: time.Now().Add(-time.Hour), NotAfter: time.Now().Add(time.Hour),
		IPAddresses: []net.IP{net.IPv4(127, 0, 0, 1)},
		ExtKeyUsage: []x509.ExtKeyUsage{x509.ExtKeyUsageServerAuth, x509.ExtKeyUsageClientAuth},
	}
	encoded, err := x509.CreateCertificate(rand.Reader, template, a.certificate, &private.PublicKey, a.key)
	assert.NilError(a.t, err)
	encodedKey, err := x509.MarshalECPrivateKey(private)
	assert.NilError(a.t, err)

	return a.write(name+".pem", "CERTIFICATE", encoded), a.write(name+".key", "EC PRIVATE KEY", encodedKey)
}

// TestPeersNeedACertificate: an instance answers peers that hold a certificate
// of its authority and no others.
func TestPeersNeedACertificate(t *testing.T) {
	ours, others := newAuthority(t), newAuthority(t)
	platform := httptest.NewServer(keeper.New(keeper.Settings{}).Handler())
	defer platform.Close()
	settings := configurer.Settings{
		Name: "entry-1", DataCentre: "north", PlatformURL: platform.URL,
		Listen: "127.0.0.1:0", StatusListen: "127.0.0.1:0", PeerListen: "127.0.0.1:0",
		PeerCAFile: filepath.Join(ours.folder, "ca.pem"), LogLevel: "info", LogFormat: "text",
		MaxBodyBytes: 1000, MaxWaiting: 10, ExchangeInterval: time.Second, StopTimeout: time.Second,
	}
	settings.PeerCertFile, settings.PeerKeyFile = ours.issue("entry-1")
	settings.CertFile, settings.KeyFile = ours.issue("callers")
	router, err := New(settings, Options{}, hclog.NewNullLogger())
	assert.NilError(t, err)
	ctx, stop := context.WithCancel(context.Background())
	ended := make(chan error, 1)
	go func() { ended <- router.Run(ctx, ctx) }()
	callers, _, peers := router.Addresses()

	exchange := func(signer *authority) error {
		cert, key := signer.issue("peer")
		pair, err := tls.LoadX509KeyPair(cert, key)
		assert.NilError(t, err)
		client := &http.Client{Transport: &http.Transport{TLSClientConfig: &tls.Config{
			Certificates: []tls.Certificate{pair}, RootCAs: pool(t, ours),
		}}}
		_, err = peerwire.NewPeerProtobufClient("https://"+peers, client).Exchange(context.Background(), &peerwire.Message{})

		return err
	}
	assert.NilError(t, exchange(ours))
	assert.ErrorContains(t, exchange(others), "certificate")
	_, err = peerwire.NewPeerProtobufClient("http://"+peers, http.DefaultClient).Exchange(context.Background(), &peerwire.Message{})
	assert.Assert(t, err != nil)

	client := &http.Client{Transport: &http.Transport{TLSClientConfig: &tls.Config{RootCAs: pool(t, ours)}}}
	response, err := client.Get("https://" + callers + "/v1/models")
	assert.NilError(t, err)
	assert.Equal(t, response.StatusCode, http.StatusServiceUnavailable)

	stop()
	<-ended
}

func pool(t *testing.T, signer *authority) *x509.CertPool {
	t.Helper()
	contents, err := os.ReadFile(filepath.Join(signer.folder, "ca.pem"))
	assert.NilError(t, err)
	certificates := x509.NewCertPool()
	assert.Assert(t, certificates.AppendCertsFromPEM(contents))

	return certificates
}

func TestWrongFilesAreNamed(t *testing.T) {
	tests := []struct {
		name     string
		settings configurer.Settings
		message  string
	}{
		{"callers", configurer.Settings{CertFile: "none.pem", KeyFile: "none.key"}, `setting -tls-cert: value "none.pem"`},
		{"peers", configurer.Settings{PeerCertFile: "none.pem", PeerKeyFile: "none.key", PeerCAFile: "ca.pem"}, `setting -peer-tls-cert: value "none.pem"`},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			_, err := loadTLS(test.settings)
			assert.ErrorContains(t, err, test.message)
		})
	}
}
