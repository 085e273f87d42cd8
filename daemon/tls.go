package daemon

import (
	"context"
	"crypto/tls"
	"crypto/x509"
	"os"
	"sync/atomic"
	"time"

	"github.com/juju/errors"
	"github.com/rs/zerolog"
	"github.com/thejerf/suture/v4"
	"google.golang.org/grpc"
	"google.golang.org/grpc/credentials"
	"google.golang.org/grpc/credentials/insecure"

	"godwitlock.example/godwitlock/settings"
)

// errTaskDone tells the supervisor not to restart a task.
var errTaskDone = suture.ErrDoNotRestart

const (
	// certCheckInterval is how often the certificate files are read again.
	certCheckInterval = 30 * time.Second
	// certExpiryWarning is the remaining validity of a certificate below which
	// each check logs a warning.
	certExpiryWarning = 14 * 24 * time.Hour
)

// tlsSetup holds the TLS configuration of all connections.
type tlsSetup struct {
	// caller is nil for plain HTTP.
	caller *tls.Config
	client credentials.TransportCredentials
	server []grpc.ServerOption
	certs  []*certificate
}

// loadTLS loads the certificates. Between VMs, both sides present a certificate
// signed by the configured authority. Settings without certificates are valid
// only if plain connections are explicitly allowed.
func loadTLS(cfg *settings.Settings) (tlsSetup, error) {
	setup := tlsSetup{client: insecure.NewCredentials()}
	if cfg.CallerTLS.Cert != "" {
		cert, err := loadCertificate("caller_tls", cfg.CallerTLS.Cert, cfg.CallerTLS.Key)
		if err != nil {
			return setup, err
		}
		setup.certs = append(setup.certs, cert)
		setup.caller = &tls.Config{GetCertificate: cert.getCertificate, MinVersion: tls.VersionTLS12}
	}
	if cfg.PeerTLS.Cert == "" {
		return setup, nil
	}
	cert, err := loadCertificate("peer_tls", cfg.PeerTLS.Cert, cfg.PeerTLS.Key)
	if err != nil {
		return setup, err
	}
	setup.certs = append(setup.certs, cert)
	return setup, setup.securePeers(cert, cfg.PeerTLS.CA)
}

func (setup *tlsSetup) securePeers(cert *certificate, caFile string) error {
	pem, err := os.ReadFile(caFile)
	if err != nil {
		return errors.Annotate(err, "peer_tls.ca")
	}
	pool := x509.NewCertPool()
	if !pool.AppendCertsFromPEM(pem) {
		return errors.NotValidf("peer_tls.ca: no certificate in %s", caFile)
	}
	cfg := &tls.Config{
		GetCertificate: cert.getCertificate, GetClientCertificate: cert.getClientCertificate,
		RootCAs: pool, ClientCAs: pool,
		ClientAuth: tls.RequireAndVerifyClientCert, MinVersion: tls.VersionTLS13,
	}
	setup.client = credentials.NewTLS(cfg)
	setup.server = []grpc.ServerOption{grpc.Creds(credentials.NewTLS(cfg))}
	return nil
}

// certificate is a TLS certificate that is reloaded when its files change, so
// that a renewal needs no restart. It is safe for concurrent use.
type certificate struct {
	field, certFile, keyFile string
	current                  atomic.Pointer[tls.Certificate]
}

func loadCertificate(field, certFile, keyFile string) (*certificate, error) {
	c := &certificate{field: field, certFile: certFile, keyFile: keyFile}
	return c, c.load()
}

// load reads the files. On an error, the previous certificate stays in use.
func (c *certificate) load() error {
	cert, err := tls.LoadX509KeyPair(c.certFile, c.keyFile)
	if err != nil {
		return errors.Annotate(err, c.field)
	}
	c.current.Store(&cert)
	return nil
}

func (c *certificate) getCertificate(*tls.ClientHelloInfo) (*tls.Certificate, error) {
	return c.current.Load(), nil
}

func (c *certificate) getClientCertificate(*tls.CertificateRequestInfo) (*tls.Certificate, error) {
	return c.current.Load(), nil
}

// check reloads the files. It logs files that cannot be read and a certificate
// that expires soon.
func (c *certificate) check(now time.Time, log zerolog.Logger) {
	if err := c.load(); err != nil {
		log.Error().Err(err).Str("event", "certificate_unreadable").Msg("certificate files not loaded; the previous certificate stays in use")
	}
	leaf := c.current.Load().Leaf
	if leaf != nil && leaf.NotAfter.Sub(now) < certExpiryWarning {
		log.Warn().Str("event", "certificate_expires").Str("field", c.field).Time("not_after", leaf.NotAfter).Send()
	}
}

// watchCertificates checks the certificates periodically until ctx is done.
func (d *Daemon) watchCertificates(ctx context.Context) error {
	tick := time.NewTicker(certCheckInterval)
	defer tick.Stop()
	for {
		for _, c := range d.certs {
			c.check(time.Now(), d.log)
		}
		select {
		case <-ctx.Done():
			return ctx.Err()
		case <-tick.C:
		}
	}
}
