package link

import (
	"crypto/tls"
	"crypto/x509"
	"os"

	"github.com/rotisserie/eris"

	"arbutusdock.example/arbutusdock/internal/ids"
)

// Credentials are the certificate of an instance and the fleet CA that every
// certificate of the fleet is verified against.
type Credentials struct {
	Certificate tls.Certificate
	CA          *x509.CertPool
}

// LoadCredentials reads PEM files and checks that the certificate is issued by
// the CA in the name of self.
func LoadCredentials(self ids.Instance, ca, certificate, key string) (Credentials, error) {
	pem, err := os.ReadFile(ca)
	if err != nil {
		return Credentials{}, eris.Wrap(err, "read fleet CA")
	}
	pool := x509.NewCertPool()
	if !pool.AppendCertsFromPEM(pem) {
		return Credentials{}, eris.Errorf("read fleet CA: %s holds no certificate", ca)
	}
	pair, err := tls.LoadX509KeyPair(certificate, key)
	if err != nil {
		return Credentials{}, eris.Wrap(err, "read instance certificate")
	}
	c := Credentials{Certificate: pair, CA: pool}
	if err := c.check(self); err != nil {
		return Credentials{}, eris.Wrapf(err, "check instance certificate %s", certificate)
	}
	return c, nil
}

func (c Credentials) check(self ids.Instance) error {
	leaf := c.Certificate.Leaf
	for _, usage := range []x509.ExtKeyUsage{x509.ExtKeyUsageServerAuth, x509.ExtKeyUsageClientAuth} {
		if _, err := leaf.Verify(x509.VerifyOptions{Roots: c.CA, KeyUsages: []x509.ExtKeyUsage{usage}}); err != nil {
			return eris.Wrap(err, "verify against the fleet CA")
		}
	}
	if name := certificateName(leaf); name != self {
		return eris.Errorf("issued to %q instead of %q", name, self)
	}
	return nil
}

// certificateName returns the instance id in a certificate: the common name,
// which must also be its only DNS name.
func certificateName(leaf *x509.Certificate) ids.Instance {
	if len(leaf.DNSNames) != 1 || leaf.DNSNames[0] != leaf.Subject.CommonName {
		return ""
	}
	return ids.Instance(leaf.Subject.CommonName)
}

func (c Credentials) base() *tls.Config {
	return &tls.Config{
		MinVersion:   tls.VersionTLS13,
		Certificates: []tls.Certificate{c.Certificate},
		RootCAs:      c.CA,
		ClientCAs:    c.CA,
	}
}

// server requires and verifies a certificate of the fleet.
func (c Credentials) server() *tls.Config {
	config := c.base()
	config.ClientAuth = tls.RequireAndVerifyClientCert
	return config
}

// client verifies that the listener is the instance to.
func (c Credentials) client(to ids.Instance) *tls.Config {
	config := c.base()
	config.ServerName = string(to)
	config.VerifyConnection = func(s tls.ConnectionState) error {
		if name := certificateName(s.PeerCertificates[0]); name != to {
			return eris.Errorf("listener is %q instead of %q", name, to)
		}
		return nil
	}
	return config
}
