package link

import (
	"crypto/tls"
	"crypto/x509"
	"os"

	"github.com/rotisserie/eris"

	"arbutusdock.example/arbutusdock/internal/ids"
)

// Credentials holds the certificate of an instance and the fleet CA, against
// which the certificates of all peers are verified.
type Credentials struct {
	Certificate tls.Certificate
	CA          *x509.CertPool
}

// LoadCredentials reads the PEM files and verifies that the CA has issued the
// certificate to self.
func LoadCredentials(self ids.Instance, ca, certificate, key string) (Credentials, error) {
	pem, err := os.ReadFile(ca)
	if err != nil {
		return Credentials{}, eris.Wrap(err, "read fleet CA")
	}
	pool := x509.NewCertPool()
	if !pool.AppendCertsFromPEM(pem) {
		return Credentials{}, eris.Errorf("read fleet CA: %s contains no certificate", ca)
	}
	certificatePair, err := tls.LoadX509KeyPair(certificate, key)
	if err != nil {
		return Credentials{}, eris.Wrap(err, "read instance certificate")
	}
	c := Credentials{Certificate: certificatePair, CA: pool}
	if err := c.verify(self); err != nil {
		return Credentials{}, eris.Wrapf(err, "check instance certificate %s", certificate)
	}
	return c, nil
}

func (c Credentials) verify(self ids.Instance) error {
	leaf := c.Certificate.Leaf
	for _, usage := range []x509.ExtKeyUsage{x509.ExtKeyUsageServerAuth, x509.ExtKeyUsageClientAuth} {
		if _, err := leaf.Verify(x509.VerifyOptions{Roots: c.CA, KeyUsages: []x509.ExtKeyUsage{usage}}); err != nil {
			return eris.Wrap(err, "verify against the fleet CA")
		}
	}
	if name := instanceID(leaf); name != self {
		return eris.Errorf("issued to %q instead of %q", name, self)
	}
	return nil
}

// instanceID returns the instance ID in a certificate: the common name, which
// must also be the only DNS name. It returns "" for any other certificate.
func instanceID(leaf *x509.Certificate) ids.Instance {
	if len(leaf.DNSNames) != 1 || leaf.DNSNames[0] != leaf.Subject.CommonName {
		return ""
	}
	return ids.Instance(leaf.Subject.CommonName)
}

func (c Credentials) baseConfig() *tls.Config {
	return &tls.Config{
		MinVersion:   tls.VersionTLS13,
		Certificates: []tls.Certificate{c.Certificate},
		RootCAs:      c.CA,
		ClientCAs:    c.CA,
	}
}

// serverConfig returns the TLS configuration of the link listener, which accepts
// only clients with a certificate of the fleet.
func (c Credentials) serverConfig() *tls.Config {
	config := c.baseConfig()
	config.ClientAuth = tls.RequireAndVerifyClientCert
	return config
}

// clientConfig returns the TLS configuration for dialling peer. It verifies that
// the certificate of the listener was issued to peer.
func (c Credentials) clientConfig(peer ids.Instance) *tls.Config {
	config := c.baseConfig()
	config.ServerName = string(peer)
	config.VerifyConnection = func(s tls.ConnectionState) error {
		if name := instanceID(s.PeerCertificates[0]); name != peer {
			return eris.Errorf("listener certificate issued to %q instead of %q", name, peer)
		}
		return nil
	}
	return config
}
