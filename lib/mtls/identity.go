// Package mtls authenticates the role of each process with mutual TLS. A certificate's
// URI SAN laburnumgw://<role>/<zone>/<vm> names the role, availability zone and VM.
package mtls

import (
	"crypto/x509"
	"fmt"
	"net/url"
	"strings"

	"laburnumgw/lib/errkind"
)

// Scheme is the URI scheme of identities in certificates.
const Scheme = "laburnumgw"

// Role determines which calls a process may make.
type Role string

// Roles of the system's processes and operators.
const (
	RoleEntry    Role = "entry"
	RoleEndpoint Role = "endpoint"
	RoleOperator Role = "operator"
)

// Identity is the role and location of a process, as stated by its certificate.
type Identity struct {
	Role Role
	Zone string
	VM   string
}

// URI returns the identity as the URI that a certificate carries.
func (i Identity) URI() *url.URL {
	return &url.URL{Scheme: Scheme, Host: string(i.Role), Path: "/" + i.Zone + "/" + i.VM}
}

// String returns the identity as text.
func (i Identity) String() string { return i.URI().String() }

// ParseIdentity reads an identity from its URI.
func ParseIdentity(uri *url.URL) (Identity, error) {
	if uri.Scheme != Scheme {
		return Identity{}, fmt.Errorf("scheme of %q is not %q", uri, Scheme)
	}
	parts := strings.Split(strings.TrimPrefix(uri.Path, "/"), "/")
	if len(parts) != 2 || parts[0] == "" || parts[1] == "" {
		return Identity{}, fmt.Errorf("path of %q is not /<zone>/<vm>", uri)
	}
	identity := Identity{Role: Role(uri.Host), Zone: parts[0], VM: parts[1]}
	switch identity.Role {
	case RoleEntry, RoleEndpoint, RoleOperator:
		return identity, nil
	default:
		return Identity{}, fmt.Errorf("role %q is not one of entry, endpoint, operator", uri.Host)
	}
}

// FromCertificate returns the identity that a certificate carries.
func FromCertificate(certificate *x509.Certificate) (Identity, error) {
	var firstErr error
	for _, uri := range certificate.URIs {
		identity, err := ParseIdentity(uri)
		if err == nil {
			return identity, nil
		}
		if firstErr == nil {
			firstErr = err
		}
	}
	if firstErr == nil {
		firstErr = fmt.Errorf("certificate has no URI SAN")
	}
	return Identity{}, errkind.Wrap(firstErr, errkind.Denied,
		"issue a certificate with `laburnumctl keys issue`", "certificate carries no identity")
}
