package mtls

import (
	"crypto/ecdsa"
	"crypto/elliptic"
	"crypto/rand"
	"crypto/x509"
	"crypto/x509/pkix"
	"encoding/pem"
	"errors"
	"fmt"
	"math/big"
	"net/url"
	"os"
	"path/filepath"
	"time"
)

const (
	// authorityLifetime is the validity of a certificate authority.
	authorityLifetime = 5 * 365 * 24 * time.Hour
	// backdate is how long before its creation a certificate becomes valid, since the
	// clocks of VMs may differ by minutes.
	backdate         = time.Hour
	serialBits       = 128
	privateFileMode  = 0o600
	publicFileMode   = 0o644
	keyDirectoryMode = 0o700
	pemCertificate   = "CERTIFICATE"
	pemKey           = "PRIVATE KEY"
)

// Names of the files of an authority.
const (
	AuthorityCertFile = "ca.crt"
	AuthorityKeyFile  = "ca.key"
)

// Authority issues certificates to processes and operators.
type Authority struct {
	certificate *x509.Certificate
	key         *ecdsa.PrivateKey
	certPEM     []byte
	keyPEM      []byte
}

// Pair is a certificate and its private key in PEM form.
type Pair struct {
	CertPEM []byte
	KeyPEM  []byte
}

// NewAuthority creates a certificate authority that is valid from now.
func NewAuthority(now time.Time) (*Authority, error) {
	template := &x509.Certificate{
		Subject:               pkix.Name{CommonName: "laburnumgw authority"},
		NotBefore:             now.Add(-backdate),
		NotAfter:              now.Add(authorityLifetime),
		IsCA:                  true,
		BasicConstraintsValid: true,
		KeyUsage:              x509.KeyUsageCertSign,
	}
	pair, certificate, key, err := sign(template, nil, nil)
	if err != nil {
		return nil, fmt.Errorf("create authority: %w", err)
	}
	return &Authority{certificate: certificate, key: key, certPEM: pair.CertPEM, keyPEM: pair.KeyPEM}, nil
}

// LoadAuthority reads an authority from a directory.
func LoadAuthority(dir string) (*Authority, error) {
	certPEM, err := os.ReadFile(filepath.Join(dir, AuthorityCertFile))
	if err != nil {
		return nil, fmt.Errorf("read authority certificate: %w", err)
	}
	keyPEM, err := os.ReadFile(filepath.Join(dir, AuthorityKeyFile))
	if err != nil {
		return nil, fmt.Errorf("read authority key: %w", err)
	}
	certificate, key, err := parsePair(certPEM, keyPEM)
	if err != nil {
		return nil, fmt.Errorf("parse authority: %w", err)
	}
	return &Authority{certificate: certificate, key: key, certPEM: certPEM, keyPEM: keyPEM}, nil
}

func parsePair(certPEM, keyPEM []byte) (*x509.Certificate, *ecdsa.PrivateKey, error) {
	certBlock, _ := pem.Decode(certPEM)
	keyBlock, _ := pem.Decode(keyPEM)
	if certBlock == nil || keyBlock == nil {
		return nil, nil, errors.New("file holds no PEM block")
	}
	certificate, err := x509.ParseCertificate(certBlock.Bytes)
	if err != nil {
		return nil, nil, fmt.Errorf("parse certificate: %w", err)
	}
	parsed, err := x509.ParsePKCS8PrivateKey(keyBlock.Bytes)
	if err != nil {
		return nil, nil, fmt.Errorf("parse key: %w", err)
	}
	key, ok := parsed.(*ecdsa.PrivateKey)
	if !ok {
		return nil, nil, errors.New("key is not an ECDSA key")
	}
	return certificate, key, nil
}

// CertPEM returns the authority's certificate in PEM form.
func (a *Authority) CertPEM() []byte { return a.certPEM }

// Save writes the authority into a directory.
func (a *Authority) Save(dir string) error {
	if err := os.MkdirAll(dir, keyDirectoryMode); err != nil {
		return fmt.Errorf("create key directory: %w", err)
	}
	if err := os.WriteFile(filepath.Join(dir, AuthorityCertFile), a.certPEM, publicFileMode); err != nil {
		return fmt.Errorf("write authority certificate: %w", err)
	}
	if err := os.WriteFile(filepath.Join(dir, AuthorityKeyFile), a.keyPEM, privateFileMode); err != nil {
		return fmt.Errorf("write authority key: %w", err)
	}
	return nil
}

// Issue creates a certificate for an identity that is valid from now.
func (a *Authority) Issue(identity Identity, now time.Time, lifetime time.Duration) (Pair, error) {
	template := &x509.Certificate{
		Subject:     pkix.Name{CommonName: identity.VM},
		NotBefore:   now.Add(-backdate),
		NotAfter:    now.Add(lifetime),
		KeyUsage:    x509.KeyUsageDigitalSignature,
		ExtKeyUsage: []x509.ExtKeyUsage{x509.ExtKeyUsageServerAuth, x509.ExtKeyUsageClientAuth},
		URIs:        []*url.URL{identity.URI()},
	}
	pair, _, _, err := sign(template, a.certificate, a.key)
	if err != nil {
		return Pair{}, fmt.Errorf("issue certificate for %s: %w", identity, err)
	}
	return pair, nil
}

// Save writes the pair as <name>.crt and <name>.key. Each file is replaced by a
// rename, so that a reader never sees half of a file.
func (p Pair) Save(dir, name string) error {
	if err := replaceFile(filepath.Join(dir, name+".key"), p.KeyPEM, privateFileMode); err != nil {
		return err
	}
	return replaceFile(filepath.Join(dir, name+".crt"), p.CertPEM, publicFileMode)
}

func replaceFile(path string, content []byte, mode os.FileMode) error {
	temporary := path + ".new"
	if err := os.WriteFile(temporary, content, mode); err != nil {
		return fmt.Errorf("write key file: %w", err)
	}
	if err := os.Rename(temporary, path); err != nil {
		return fmt.Errorf("replace key file: %w", err)
	}
	return nil
}

// sign creates a key and a certificate for it. Without a parent the certificate is
// self-signed.
func sign(template, parent *x509.Certificate, parentKey *ecdsa.PrivateKey) (Pair, *x509.Certificate, *ecdsa.PrivateKey, error) {
	key, err := ecdsa.GenerateKey(elliptic.P256(), rand.Reader)
	if err != nil {
		return Pair{}, nil, nil, fmt.Errorf("generate key: %w", err)
	}
	serial, err := rand.Int(rand.Reader, new(big.Int).Lsh(big.NewInt(1), serialBits))
	if err != nil {
		return Pair{}, nil, nil, fmt.Errorf("generate serial number: %w", err)
	}
	template.SerialNumber = serial
	if parent == nil {
		parent = template
		parentKey = key
	}
	der, err := x509.CreateCertificate(rand.Reader, template, parent, &key.PublicKey, parentKey)
	if err != nil {
		return Pair{}, nil, nil, fmt.Errorf("sign certificate: %w", err)
	}
	certificate, err := x509.ParseCertificate(der)
	if err != nil {
		return Pair{}, nil, nil, fmt.Errorf("parse certificate: %w", err)
	}
	keyDER, err := x509.MarshalPKCS8PrivateKey(key)
	if err != nil {
		return Pair{}, nil, nil, fmt.Errorf("encode key: %w", err)
	}
	pair := Pair{
		CertPEM: pem.EncodeToMemory(&pem.Block{Type: pemCertificate, Bytes: der}),
		KeyPEM:  pem.EncodeToMemory(&pem.Block{Type: pemKey, Bytes: keyDER}),
	}
	return pair, certificate, key, nil
}
