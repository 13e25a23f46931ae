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

// TLSConfig names the server's certificate files, all PEM, and the proxies that may connect.
type TLSConfig struct {
	CertFile, KeyFile string
	ClientCAFile      string   // authorities that sign proxies' certificates
	AllowedNames      []string // DNS or URI names in proxies' certificates; "*.example" matches all names below
}

// reloadInterval is the least time between two checks of whether the files have changed.
const reloadInterval = time.Second

// Errors of a proxy's handshake.
var (
	errNoCertificate  = errors.New("no client certificate")
	errNameNotAllowed = errors.New("no name in the client certificate is allowed")
)

// fileFingerprints identify the content of the three files, without reading them.
type fileFingerprints [3]string

// certificateReloader holds the TLS configuration of the files as they were last read.
type certificateReloader struct {
	config TLSConfig
	log    *logrus.Logger

	mu           sync.Mutex // guards what follows
	nextCheck    time.Time
	fingerprints fileFingerprints
	current      *tls.Config
}

// NewCredentials returns credentials that read their files again when these change. Open connections are not affected; new ones use
// the new files. Files that cannot be used leave the previous ones in place.
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

// fingerprint returns the fingerprints of the files as they are now; that of a file which cannot be examined is empty.
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
	fingerprints := r.fingerprint() // before reading: a change meanwhile is read next time
	certificate, err := tls.LoadX509KeyPair(r.config.CertFile, r.config.KeyFile)
	if err != nil {
		return nil, fingerprints, fmt.Errorf("loading certificate and key %s, %s: %w", r.config.CertFile, r.config.KeyFile, err)
	}
	text, err := os.ReadFile(r.config.ClientCAFile)
	if err != nil {
		return nil, fingerprints, fmt.Errorf("reading client authorities: %w", err)
	}
	authorities := x509.NewCertPool()
	if !authorities.AppendCertsFromPEM(text) {
		return nil, fingerprints, fmt.Errorf("reading client authorities: %s holds no certificate", r.config.ClientCAFile)
	}
	return &tls.Config{
		MinVersion:   tls.VersionTLS13,
		NextProtos:   []string{"h2"},
		Certificates: []tls.Certificate{certificate},
		ClientAuth:   tls.RequireAndVerifyClientCert,
		ClientCAs:    authorities,
		// A ticket would admit a proxy again by a certificate that has expired meanwhile.
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

// matchesPattern reports whether an allowed name, which may begin with "*.", includes a name.
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

// certificateName returns the name by which a proxy is known in the log and in load reports.
func certificateName(certificate *x509.Certificate) string {
	if names := certificateNames(certificate); len(names) > 0 {
		return names[0]
	}
	return certificate.Subject.CommonName
}
