// Package keys creates and reads the key files of a fleet: the fleet's
// certificate authority (CA), instance certificates and admission keys.
package keys

import (
	"crypto/ed25519"
	"crypto/rand"
	"crypto/x509"
	"crypto/x509/pkix"
	"encoding/hex"
	"encoding/pem"
	"errors"
	"fmt"
	"math/big"
	"os"
	"path/filepath"
	"strings"
	"time"

	"github.com/rotisserie/eris"

	"arbutusdock.example/arbutusdock/internal/ids"
)

const (
	// AdmissionKeyBytes is the length of an admission key (HMAC-SHA-256).
	AdmissionKeyBytes = 32
	// clockSkew is the clock difference allowed between the machine that issues
	// a certificate and those that verify it.
	clockSkew = 5 * time.Minute

	certificatePEMType = "CERTIFICATE"
	keyPEMType         = "PRIVATE KEY"
	maxKeyFileBytes    = 4096
)

// CA is the certificate authority of a fleet.
type CA struct {
	certificate *x509.Certificate
	key         ed25519.PrivateKey
}

// CreateCA creates a CA whose common name is name and writes ca.crt and ca.key to
// dir. It fails if either file exists.
func CreateCA(dir, name string, validity time.Duration) (*CA, error) {
	publicKey, privateKey, err := ed25519.GenerateKey(rand.Reader)
	if err != nil {
		return nil, eris.Wrap(err, "create CA key")
	}
	template, err := newTemplate(name, validity)
	if err != nil {
		return nil, err
	}
	template.IsCA = true
	template.BasicConstraintsValid = true
	template.MaxPathLenZero = true
	template.KeyUsage = x509.KeyUsageCertSign
	der, err := x509.CreateCertificate(rand.Reader, template, template, publicKey, privateKey)
	if err != nil {
		return nil, eris.Wrap(err, "create CA certificate")
	}
	if err := writeKeyPair(dir, "ca", der, privateKey); err != nil {
		return nil, err
	}
	return LoadCA(dir)
}

// LoadCA reads ca.crt and ca.key from dir.
func LoadCA(dir string) (*CA, error) {
	der, err := readPEMBlock(filepath.Join(dir, "ca.crt"), certificatePEMType)
	if err != nil {
		return nil, err
	}
	certificate, err := x509.ParseCertificate(der)
	if err != nil {
		return nil, eris.Wrap(err, "parse CA certificate")
	}
	if der, err = readPEMBlock(filepath.Join(dir, "ca.key"), keyPEMType); err != nil {
		return nil, err
	}
	key, err := x509.ParsePKCS8PrivateKey(der)
	if err != nil {
		return nil, eris.Wrap(err, "parse CA key")
	}
	privateKey, ok := key.(ed25519.PrivateKey)
	if !ok || !privateKey.Public().(ed25519.PublicKey).Equal(certificate.PublicKey) {
		return nil, eris.Errorf("read CA: ca.key in %s does not belong to ca.crt", dir)
	}
	return &CA{certificate: certificate, key: privateKey}, nil
}

// Issue creates the certificate and key of an instance and writes them to dir
// as <id>.crt and <id>.key. It fails if either file exists.
func (ca *CA) Issue(dir string, id ids.Instance, validity time.Duration) error {
	if !ids.ValidName(string(id)) {
		return eris.Errorf("issue certificate: %q must be %s", id, ids.NameRule)
	}
	publicKey, privateKey, err := ed25519.GenerateKey(rand.Reader)
	if err != nil {
		return eris.Wrap(err, "create instance key")
	}
	template, err := newTemplate(string(id), validity)
	if err != nil {
		return err
	}
	template.DNSNames = []string{string(id)}
	template.KeyUsage = x509.KeyUsageDigitalSignature
	template.ExtKeyUsage = []x509.ExtKeyUsage{x509.ExtKeyUsageServerAuth, x509.ExtKeyUsageClientAuth}
	der, err := x509.CreateCertificate(rand.Reader, template, ca.certificate, publicKey, ca.key)
	if err != nil {
		return eris.Wrapf(err, "create certificate of %s", id)
	}
	return writeKeyPair(dir, string(id), der, privateKey)
}

func newTemplate(name string, validity time.Duration) (*x509.Certificate, error) {
	serial, err := rand.Int(rand.Reader, new(big.Int).Lsh(big.NewInt(1), 127))
	if err != nil {
		return nil, eris.Wrap(err, "generate serial number")
	}
	now := time.Now()
	return &x509.Certificate{
		SerialNumber: serial,
		Subject:      pkix.Name{CommonName: name},
		NotBefore:    now.Add(-clockSkew),
		NotAfter:     now.Add(validity),
	}, nil
}

func writeKeyPair(dir, name string, der []byte, privateKey ed25519.PrivateKey) error {
	key, err := x509.MarshalPKCS8PrivateKey(privateKey)
	if err != nil {
		return eris.Wrap(err, "encode key")
	}
	if err := writeNewFile(filepath.Join(dir, name+".key"), pem.EncodeToMemory(&pem.Block{Type: keyPEMType, Bytes: key}), 0o600); err != nil {
		return err
	}
	return writeNewFile(filepath.Join(dir, name+".crt"), pem.EncodeToMemory(&pem.Block{Type: certificatePEMType, Bytes: der}), 0o644)
}

// writeNewFile creates a file and fails if it exists: replacing a CA or
// admission key would invalidate all certificates or tokens issued with it.
func writeNewFile(path string, data []byte, mode os.FileMode) error {
	f, err := os.OpenFile(path, os.O_WRONLY|os.O_CREATE|os.O_EXCL, mode)
	if err != nil {
		return eris.Wrap(err, "create key file")
	}
	_, err = f.Write(data)
	return eris.Wrapf(errors.Join(err, f.Close()), "write %s", path)
}

func readPEMBlock(path, pemType string) ([]byte, error) {
	data, err := os.ReadFile(path)
	if err != nil {
		return nil, eris.Wrap(err, "read key file")
	}
	block, _ := pem.Decode(data)
	if block == nil || block.Type != pemType {
		return nil, eris.Errorf("read %s: no PEM block of type %s", path, pemType)
	}
	return block.Bytes, nil
}

// CreateAdmissionKey writes a new random admission key to dir as
// admission-<id>.key, encoded as 64 hexadecimal digits. It fails if the file
// exists.
func CreateAdmissionKey(dir string, id uint8) error {
	key := make([]byte, AdmissionKeyBytes)
	if _, err := rand.Read(key); err != nil {
		return eris.Wrap(err, "generate admission key")
	}
	return writeNewFile(filepath.Join(dir, fmt.Sprintf("admission-%d.key", id)), []byte(hex.EncodeToString(key)+"\n"), 0o600)
}

// LoadAdmissionKey reads and decodes an admission key file.
func LoadAdmissionKey(path string) ([]byte, error) {
	data, err := os.ReadFile(path)
	if err != nil {
		return nil, eris.Wrap(err, "read admission key")
	}
	if len(data) > maxKeyFileBytes {
		return nil, eris.Errorf("read admission key: %s is larger than %d bytes", path, maxKeyFileBytes)
	}
	key, err := hex.DecodeString(strings.TrimSpace(string(data)))
	if err != nil || len(key) != AdmissionKeyBytes {
		return nil, eris.Errorf("read admission key: %s must hold %d hexadecimal digits", path, 2*AdmissionKeyBytes)
	}
	return key, nil
}
