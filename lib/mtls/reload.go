package mtls

import (
	"crypto/tls"
	"crypto/x509"
	"errors"
	"fmt"
	"os"
	"slices"
	"sync"
	"time"

	"google.golang.org/grpc/credentials"

	"laburnumgw/lib/errkind"
)

// checkInterval is the minimum time between two reads of the key files' modification times.
const checkInterval = time.Second

// Files names the key files of a process.
type Files struct {
	Cert string
	Key  string
	CA   string
}

// keyMaterial is one consistent set of keys.
type keyMaterial struct {
	certificate tls.Certificate
	roots       *x509.CertPool
	identity    Identity
	modified    [3]time.Time
}

// Keys holds the keys of a process and reads their files again when they change.
type Keys struct {
	files Files
	now   func() time.Time

	mu      sync.Mutex
	current *keyMaterial
	checked time.Time
	lastErr error
}

// LoadKeys reads the key files.
func LoadKeys(files Files) (*Keys, error) {
	keys := &Keys{files: files, now: time.Now}
	current, err := keys.read()
	if err != nil {
		return nil, err
	}
	keys.current = current
	keys.checked = keys.now()
	return keys, nil
}

// Identity returns the identity in the process's own certificate.
func (k *Keys) Identity() Identity { return k.load().identity }

// LastError returns the error of the last reload, or nil when it succeeded.
func (k *Keys) LastError() error {
	k.mu.Lock()
	defer k.mu.Unlock()
	return k.lastErr
}

// load returns the current keys, and reloads them first if a file has changed. After a failed
// reload the old keys stay in use, because a half-written rotation must not stop the process.
func (k *Keys) load() *keyMaterial {
	k.mu.Lock()
	defer k.mu.Unlock()
	now := k.now()
	if now.Sub(k.checked) < checkInterval {
		return k.current
	}
	k.checked = now
	modified, err := k.modified()
	if err != nil {
		k.lastErr = err
		return k.current
	}
	if modified == k.current.modified {
		return k.current
	}
	next, err := k.read()
	k.lastErr = err
	if err == nil {
		k.current = next
	}
	return k.current
}

func (k *Keys) modified() ([3]time.Time, error) {
	var times [3]time.Time
	for i, path := range []string{k.files.Cert, k.files.Key, k.files.CA} {
		info, err := os.Stat(path)
		if err != nil {
			return times, fmt.Errorf("read modification time of key file: %w", err)
		}
		times[i] = info.ModTime()
	}
	return times, nil
}

func (k *Keys) read() (*keyMaterial, error) {
	const remedy = "check the files named by --tls-cert, --tls-key and --tls-ca"
	modified, err := k.modified()
	if err != nil {
		return nil, errkind.Wrap(err, errkind.Invalid, remedy, "key files are not readable")
	}
	certificate, err := tls.LoadX509KeyPair(k.files.Cert, k.files.Key)
	if err != nil {
		return nil, errkind.Wrap(err, errkind.Invalid, remedy, "certificate and key do not load")
	}
	caPEM, err := os.ReadFile(k.files.CA)
	if err != nil {
		return nil, errkind.Wrap(err, errkind.Invalid, remedy, "authority certificate is not readable")
	}
	roots := x509.NewCertPool()
	if !roots.AppendCertsFromPEM(caPEM) {
		return nil, errkind.New(errkind.Invalid, remedy, "authority file %q holds no certificate", k.files.CA)
	}
	identity, err := FromCertificate(certificate.Leaf)
	if err != nil {
		return nil, err
	}
	return &keyMaterial{certificate: certificate, roots: roots, identity: identity, modified: modified}, nil
}

// verify checks a peer's chain against the authority and returns its identity.
func (k *Keys) verify(peers []*x509.Certificate) (Identity, error) {
	if len(peers) == 0 {
		return Identity{}, errkind.New(errkind.Denied, "configure a client certificate", "peer sent no certificate")
	}
	intermediates := x509.NewCertPool()
	for _, certificate := range peers[1:] {
		intermediates.AddCert(certificate)
	}
	options := x509.VerifyOptions{
		Roots:         k.load().roots,
		Intermediates: intermediates,
		KeyUsages:     []x509.ExtKeyUsage{x509.ExtKeyUsageAny},
	}
	if _, err := peers[0].Verify(options); err != nil {
		return Identity{}, errkind.Wrap(err, errkind.Denied,
			"issue the peer's certificate from the same authority", "peer certificate is not trusted")
	}
	return FromCertificate(peers[0])
}

// ServerCredentials returns credentials that require a trusted client certificate.
func (k *Keys) ServerCredentials() credentials.TransportCredentials {
	return credentials.NewTLS(&tls.Config{
		MinVersion: tls.VersionTLS13,
		ClientAuth: tls.RequireAnyClientCert,
		GetCertificate: func(*tls.ClientHelloInfo) (*tls.Certificate, error) {
			return &k.load().certificate, nil
		},
		VerifyConnection: func(state tls.ConnectionState) error {
			_, err := k.verify(state.PeerCertificates)
			return err
		},
	})
}

// ClientCredentials returns credentials that accept a server of one of the roles.
func (k *Keys) ClientCredentials(roles ...Role) credentials.TransportCredentials {
	return credentials.NewTLS(&tls.Config{
		MinVersion: tls.VersionTLS13,
		// Names are role URIs, not host names, so the chain and the role are
		// checked in VerifyConnection in place of the host name check.
		InsecureSkipVerify: true,
		GetClientCertificate: func(*tls.CertificateRequestInfo) (*tls.Certificate, error) {
			return &k.load().certificate, nil
		},
		VerifyConnection: func(state tls.ConnectionState) error {
			identity, err := k.verify(state.PeerCertificates)
			if err != nil {
				return err
			}
			return checkRole(identity, roles)
		},
	})
}

var errRole = errors.New("role is not accepted")

func checkRole(identity Identity, roles []Role) error {
	if slices.Contains(roles, identity.Role) {
		return nil
	}
	return errkind.Wrap(errRole, errkind.Denied,
		fmt.Sprintf("use a certificate of a role in %v", roles), "peer %s was refused", identity)
}
