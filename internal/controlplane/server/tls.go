package server

import (
	"crypto/tls"
	"crypto/x509"
	"errors"
	"fmt"
	"os"
	"slices"
	"strings"
	"sync"
	"time"

	"github.com/sirupsen/logrus"
	"google.golang.org/grpc/credentials"
)

// TLSConfig lists the server's certificate files, all in PEM format, and the names of the proxies that may connect.
type TLSConfig struct {
	CertFile, KeyFile string
	ClientCAFile      string   // CA certificates that verify the certificates of proxies
	AllowedNames      []string // DNS or URI names in the certificates of proxies; "*.example" matches all subdomains of example
}

// reloadInterval is the minimum interval between checks for changed files.
const reloadInterval = time.Second

// Errors that reject a proxy during the TLS handshake.
var (
	errNoCertificate  = errors.New("no client certificate")
	errNameNotAllowed = errors.New("no name in the client certificate is allowed")
)

// fileFingerprints hold the modification times and sizes of the three files, to detect changes without reading the files.
type fileFingerprints [3]string

// certificateReloader holds the TLS configuration from the last successful read of the files.
type certificateReloader struct {
	config TLSConfig
	log    *logrus.Logger

	mu           sync.Mutex // guards the fields below
	nextCheck    time.Time
	fingerprints fileFingerprints
	current      *tls.Config
}

// NewCredentials returns credentials that reload their files when the files change. New connections use the new certificates; open
// connections are not affected. If the changed files are invalid, the previous certificates stay in use.
func NewCredentials(config TLSConfig, log *logrus.Logger) (credentials.TransportCredentials, error) {
	r := &certificateReloader{config: config, log: log}
	var err error
	if r.current, r.fingerprints, err = r.load(); err != nil {
		return nil, err
	}
	r.nextCheck = time.Now().Add(reloadInterval)
	return credentials.NewTLS(&tls.Config{
		MinVersion:         tls.VersionTLS13,
		NextProtos:         []string{"h2"},
		GetConfigForClient: func(*tls.ClientHelloInfo) (*tls.Config, error) { return r.latest(), nil },
	}), nil
}

// latest returns the configuration for a new connection.
func (r *certificateReloader) latest() *tls.Config {
	r.mu.Lock()
	defer r.mu.Unlock()
	now := time.Now()
	if now.Before(r.nextCheck) {
		return r.current
	}
	r.nextCheck = now.Add(reloadInterval)
	if r.fingerprint() == r.fingerprints {
		return r.current
	}
	config, fingerprints, err := r.load()
	if err != nil {
		r.log.WithError(err).Error("renewed certificates unusable, keeping the previous ones")
		return r.current
	}
	r.current, r.fingerprints = config, fingerprints
	r.log.Info("loaded renewed certificates")
	return config
}

// fingerprint returns the current fingerprints of the files. The fingerprint is empty for a file that cannot be examined.
func (r *certificateReloader) fingerprint() fileFingerprints {
	var fingerprints fileFingerprints
	for i, name := range []string{r.config.CertFile, r.config.KeyFile, r.config.ClientCAFile} {
		if info, err := os.Stat(name); err == nil {
			fingerprints[i] = fmt.Sprint(info.ModTime().UnixNano(), info.Size()) //nolint:forbidigo // only compared for equality
		}
	}
	return fingerprints
}

// load reads the files.
func (r *certificateReloader) load() (*tls.Config, fileFingerprints, error) {
	fingerprints := r.fingerprint() // taken before reading, so that the next check detects a change during the read
	certificate, err := tls.LoadX509KeyPair(r.config.CertFile, r.config.KeyFile)
	if err != nil {
		return nil, fingerprints, fmt.Errorf("loading certificate and key %s, %s: %w", r.config.CertFile, r.config.KeyFile, err)
	}
	text, err := os.ReadFile(r.config.ClientCAFile)
	if err != nil {
		return nil, fingerprints, fmt.Errorf("reading client CA file: %w", err)
	}
	authorities := x509.NewCertPool()
	if !authorities.AppendCertsFromPEM(text) {
		return nil, fingerprints, fmt.Errorf("reading client CA file: %s contains no certificate", r.config.ClientCAFile)
	}
	return &tls.Config{
		MinVersion:   tls.VersionTLS13,
		NextProtos:   []string{"h2"},
		Certificates: []tls.Certificate{certificate},
		ClientAuth:   tls.RequireAndVerifyClientCert,
		ClientCAs:    authorities,
		// A session ticket would let a proxy reconnect after its certificate has expired.
		SessionTicketsDisabled: true,
		VerifyConnection:       r.verifyName,
	}, fingerprints, nil
}

// verifyName rejects proxies whose certificates hold no allowed name.
func (r *certificateReloader) verifyName(state tls.ConnectionState) error {
	if len(state.PeerCertificates) == 0 {
		return errNoCertificate
	}
	certificate := state.PeerCertificates[0]
	for _, name := range certificateNames(certificate) {
		matches := func(pattern string) bool { return matchesPattern(pattern, name) }
		if slices.ContainsFunc(r.config.AllowedNames, matches) {
			return nil
		}
	}
	r.log.WithField("proxy", certificateName(certificate)).Warn("proxy certificate name not allowed")
	return errNameNotAllowed
}

// matchesPattern reports whether a name matches an allowed name, which may start with "*.".
func matchesPattern(pattern, name string) bool {
	if suffix, ok := strings.CutPrefix(pattern, "*"); ok && strings.HasPrefix(suffix, ".") {
		return strings.HasSuffix(name, suffix) && len(name) > len(suffix)
	}
	return pattern == name
}

// certificateNames returns the DNS and URI names in a certificate.
func certificateNames(certificate *x509.Certificate) []string {
	names := slices.Clone(certificate.DNSNames)
	for _, uri := range certificate.URIs {
		names = append(names, uri.String())
	}
	return names
}

// certificateName returns the name that identifies a proxy in the log and in load reports.
func certificateName(certificate *x509.Certificate) string {
	if names := certificateNames(certificate); len(names) > 0 {
		return names[0]
	}
	return certificate.Subject.CommonName
}
