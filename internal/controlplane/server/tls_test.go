package server

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
	"os"
	"path/filepath"
	"strings"
	"testing"
	"time"

	discovery "github.com/envoyproxy/go-control-plane/envoy/service/discovery/v3"
	"github.com/sirupsen/logrus"
	"google.golang.org/grpc/credentials"

	"mintspring/internal/controlplane/snapshot"
	"mintspring/internal/testbed/logrecorder"
)

// authority is a certificate authority for tests.
type authority struct {
	t          *testing.T
	cert       *x509.Certificate
	key        *ecdsa.PrivateKey
	pem        []byte
	lastSerial int64
}

func newAuthority(t *testing.T) *authority {
	a := &authority{t: t}
	a.key, _ = ecdsa.GenerateKey(elliptic.P256(), rand.Reader)
	template := &x509.Certificate{
		SerialNumber: big.NewInt(1), Subject: pkix.Name{CommonName: "authority"}, NotBefore: time.Now().Add(-time.Hour),
		NotAfter: time.Now().Add(time.Hour), IsCA: true, BasicConstraintsValid: true, KeyUsage: x509.KeyUsageCertSign,
	}
	der, err := x509.CreateCertificate(rand.Reader, template, template, &a.key.PublicKey, a.key)
	if err != nil {
		t.Fatal(err)
	}
	a.cert, _ = x509.ParseCertificate(der)
	a.pem = pem.EncodeToMemory(&pem.Block{Type: "CERTIFICATE", Bytes: der})
	return a
}

// sign creates a private key and a signed certificate for a name. Both are PEM.
func (a *authority) sign(name string, notAfter time.Time) (cert, key []byte) {
	a.lastSerial++
	privateKey, _ := ecdsa.GenerateKey(elliptic.P256(), rand.Reader)
	template := &x509.Certificate{
		SerialNumber: big.NewInt(a.lastSerial + 1), Subject: pkix.Name{CommonName: name}, DNSNames: []string{name},
		NotBefore: notAfter.Add(-2 * time.Hour), NotAfter: notAfter, KeyUsage: x509.KeyUsageDigitalSignature,
		ExtKeyUsage: []x509.ExtKeyUsage{x509.ExtKeyUsageClientAuth, x509.ExtKeyUsageServerAuth},
	}
	der, err := x509.CreateCertificate(rand.Reader, template, a.cert, &privateKey.PublicKey, a.key)
	if err != nil {
		a.t.Fatal(err)
	}
	keyDER, _ := x509.MarshalPKCS8PrivateKey(privateKey)
	return pem.EncodeToMemory(&pem.Block{Type: "CERTIFICATE", Bytes: der}), pem.EncodeToMemory(&pem.Block{Type: "PRIVATE KEY", Bytes: keyDER})
}

// tlsCertificate returns a signed certificate with its private key.
func (a *authority) tlsCertificate(name string, notAfter time.Time) tls.Certificate {
	c, err := tls.X509KeyPair(a.sign(name, notAfter))
	if err != nil {
		a.t.Fatal(err)
	}
	return c
}

func (a *authority) pool() *x509.CertPool {
	p := x509.NewCertPool()
	p.AddCert(a.cert)
	return p
}

func writeFile(t *testing.T, file string, b []byte) {
	t.Helper()
	if err := os.WriteFile(file, b, 0o600); err != nil {
		t.Fatal(err)
	}
}

// tlsTestbed is a testbed with mutual TLS and the authority that signs its certificates.
type tlsTestbed struct {
	*testbed
	config    TLSConfig
	trustedCA *authority // signs the certificates of the control plane and of proxies
	log       *logrecorder.Recorder
}

func newTLSTestbed(t *testing.T) *tlsTestbed {
	t.Helper()
	dir := t.TempDir()
	b := &tlsTestbed{trustedCA: newAuthority(t), log: &logrecorder.Recorder{}, config: TLSConfig{
		CertFile: filepath.Join(dir, "cert"), KeyFile: filepath.Join(dir, "key"), ClientCAFile: filepath.Join(dir, "clients"),
		AllowedNames: []string{"edge.example", "*.proxies.example"},
	}}
	b.renew(t)
	writeFile(t, b.config.ClientCAFile, b.trustedCA.pem)
	log := logrus.New()
	log.SetOutput(b.log)
	creds, err := NewCredentials(b.config, log)
	if err != nil {
		t.Fatal(err)
	}
	b.testbed = newTestbed(t, 3, creds)
	return b
}

// renew replaces the certificate and the key of the control plane.
func (b *tlsTestbed) renew(t *testing.T) {
	t.Helper()
	cert, key := b.trustedCA.sign("control.example", time.Now().Add(time.Hour))
	writeFile(t, b.config.CertFile, cert)
	writeFile(t, b.config.KeyFile, key)
}

// clientTLS returns the TLS configuration of a proxy with the given certificates.
func (b *tlsTestbed) clientTLS(certificates ...tls.Certificate) *tls.Config {
	return &tls.Config{Certificates: certificates, RootCAs: b.trustedCA.pool(), ServerName: "control.example"}
}

// serialNumber returns the serial number of the certificate that the control plane presents on a new connection.
func (b *tlsTestbed) serialNumber(t *testing.T) *big.Int {
	t.Helper()
	certificate := b.trustedCA.tlsCertificate("edge.example", time.Now().Add(30*time.Minute))
	conn, err := tls.Dial("tcp", b.addr, b.clientTLS(certificate))
	if err != nil {
		t.Fatal(err)
	}
	defer conn.Close() //nolint:errcheck // only the handshake is tested
	return conn.ConnectionState().PeerCertificates[0].SerialNumber
}

// connect opens a stream and waits for a response.
func (b *tlsTestbed) connect(t *testing.T, creds credentials.TransportCredentials) error {
	t.Helper()
	ctx, cancel := context.WithTimeout(context.Background(), time.Second)
	defer cancel()
	s, err := openStream(ctx, dial(t, b.addr, creds), &discovery.DiscoveryRequest{TypeUrl: string(snapshot.ClusterType)})
	if err != nil {
		return err
	}
	_, err = s.Recv()
	return err
}

// TestMutualTLS checks that a connection fails without a certificate, with an expired certificate, with one from another authority, and
// with one that has no allowed name. Plain text and TLS 1.2 fail too, and so does a proxy that does not trust the control plane.
func TestMutualTLS(t *testing.T) {
	b := newTLSTestbed(t)
	untrustedCA := newAuthority(t)
	notAfter := time.Now().Add(30 * time.Minute)
	tls12 := b.clientTLS(b.trustedCA.tlsCertificate("edge.example", notAfter))
	tls12.MaxVersion = tls.VersionTLS12
	untrustingClient := b.clientTLS(b.trustedCA.tlsCertificate("edge.example", notAfter))
	untrustingClient.RootCAs = untrustedCA.pool()
	for name, c := range map[string]struct {
		config *tls.Config // nil: plain text
		ok     bool
	}{
		"allowed name":           {b.clientTLS(b.trustedCA.tlsCertificate("edge.example", notAfter)), true},
		"below an allowed name":  {b.clientTLS(b.trustedCA.tlsCertificate("p7.proxies.example", notAfter)), true},
		"name not allowed":       {b.clientTLS(b.trustedCA.tlsCertificate("elsewhere.example", notAfter)), false},
		"bare name of a pattern": {b.clientTLS(b.trustedCA.tlsCertificate("proxies.example", notAfter)), false},
		"expired":                {b.clientTLS(b.trustedCA.tlsCertificate("edge.example", time.Now().Add(-time.Minute))), false},
		"another authority":      {b.clientTLS(untrustedCA.tlsCertificate("edge.example", notAfter)), false},
		"no certificate":         {b.clientTLS(), false},
		"older TLS":              {tls12, false},
		"plain text":             {nil, false},
		"trusts other servers":   {untrustingClient, false},
	} {
		var creds credentials.TransportCredentials
		if c.config != nil {
			creds = credentials.NewTLS(c.config)
		}
		if err := b.connect(t, creds); (err == nil) != c.ok {
			t.Errorf("%s: %v", name, err)
		}
	}
}

// TestTLSRenewal checks that renewed certificates are loaded while streams stay open, and that the previous certificates stay in use if
// the new files are invalid.
func TestTLSRenewal(t *testing.T) {
	b := newTLSTestbed(t)
	config := b.clientConfig("p", "a")
	config.Credentials = credentials.NewTLS(b.clientTLS(b.trustedCA.tlsCertificate("edge.example", time.Now().Add(30*time.Minute))))
	p := b.startProxy(config)
	first := b.serialNumber(t)
	time.Sleep(reloadInterval)
	b.renew(t)
	b.waitFor("the renewed certificate", func() bool { return b.serialNumber(t).Cmp(first) != 0 })
	renewed := b.serialNumber(t)
	writeFile(t, b.config.KeyFile, []byte("half a k"))
	time.Sleep(reloadInterval + 100*time.Millisecond)
	if b.serialNumber(t).Cmp(renewed) != 0 || !strings.Contains(b.log.String(), "keeping the previous ones") {
		t.Errorf("after an invalid key file: log %s", b.log)
	}
	if n := p.StreamsOpened(); n != 1 || !usable(p.Client) {
		t.Errorf("after a renewal: %d streams opened, want 1 with a usable snapshot", n)
	}
	b.publish(endpointJSON(1, "terminating"))
	b.waitFor("a snapshot on the existing stream", func() bool { _, err := p.Owner(1); return err == nil })
}

// TestUnusableTLSFiles checks that NewCredentials reports unusable files in a one-line error with their names.
func TestUnusableTLSFiles(t *testing.T) {
	a := newAuthority(t)
	dir := t.TempDir()
	cert, key := a.sign("control.example", time.Now().Add(time.Hour))
	validCert, validKey, missingFile, invalidFile := filepath.Join(dir, "cert"), filepath.Join(dir, "key"), filepath.Join(dir, "none"), filepath.Join(dir, "text")
	writeFile(t, validCert, cert)
	writeFile(t, validKey, key)
	writeFile(t, invalidFile, []byte("text"))
	for _, config := range []TLSConfig{
		{CertFile: missingFile, KeyFile: validKey, ClientCAFile: validCert},
		{CertFile: validCert, KeyFile: missingFile, ClientCAFile: validCert},
		{CertFile: validCert, KeyFile: invalidFile, ClientCAFile: validCert},
		{CertFile: validCert, KeyFile: validKey, ClientCAFile: missingFile},
		{CertFile: validCert, KeyFile: validKey, ClientCAFile: invalidFile},
	} {
		if _, err := NewCredentials(config, logrus.New()); err == nil || strings.Contains(err.Error(), "\n") || !strings.Contains(err.Error(), dir) {
			t.Errorf("%+v: %v", config, err)
		}
	}
}
