// Package settings holds the settings that all roles share. It collects the problems of all
// settings before it reports them, so that an operator sees every mistake at once.
package settings

import (
	"errors"
	"fmt"
	"net/netip"
	"net/url"
	"strings"

	"laburnumgw/lib/errkind"
	"laburnumgw/lib/membership"
	"laburnumgw/lib/mtls"
)

// Process holds the name, the location, the addresses and the key files of a process. A
// process learns its addresses and its availability zone from these settings only.
type Process struct {
	VM       string   `long:"vm" env:"LABURNUMGW_VM" description:"name of this VM"`
	Zone     string   `long:"zone" env:"LABURNUMGW_ZONE" description:"availability zone of this VM"`
	Region   string   `long:"region" env:"LABURNUMGW_REGION" description:"region of the availability zone"`
	Listen   string   `long:"listen" env:"LABURNUMGW_LISTEN" description:"IP:port for the system's other processes"`
	Seeds    []string `long:"seed" env:"LABURNUMGW_SEEDS" env-delim:"," description:"entry to join through, VM@REGION/ZONE=IP:port; repeat for several"`
	Platform string   `long:"platform" env:"LABURNUMGW_PLATFORM" description:"URL of the platform's object API"`
	LogLevel string   `long:"log-level" env:"LABURNUMGW_LOG_LEVEL" default:"info" description:"debug, info, warn or error"`
	Metrics  string   `long:"metrics-listen" env:"LABURNUMGW_METRICS_LISTEN" description:"IP:port for metrics; empty for none"`
	TLSCert  string   `long:"tls-cert" env:"LABURNUMGW_TLS_CERT" description:"file with this process's certificate"`
	TLSKey   string   `long:"tls-key" env:"LABURNUMGW_TLS_KEY" description:"file with this process's private key"`
	TLSCA    string   `long:"tls-ca" env:"LABURNUMGW_TLS_CA" description:"file with the authority's certificate"`
}

// Files returns the names of the files with the certificate, the private key and the
// certificate of the authority.
func (p *Process) Files() mtls.Files {
	return mtls.Files{Cert: p.TLSCert, Key: p.TLSKey, CA: p.TLSCA}
}

// SeedPeers returns the entries to join through, without those on the process's own VM. The
// settings must have passed Checker.Process, because malformed seeds are skipped.
func (p *Process) SeedPeers() []membership.Peer {
	var peers []membership.Peer
	for _, seed := range p.Seeds {
		peer, err := parseSeed(seed)
		if err == nil && peer.VM != p.VM {
			peers = append(peers, peer)
		}
	}
	return peers
}

func parseSeed(text string) (membership.Peer, error) {
	name, address, ok := strings.Cut(text, "=")
	if !ok {
		return membership.Peer{}, errors.New("has no '='")
	}
	vm, location, ok := strings.Cut(name, "@")
	if !ok {
		return membership.Peer{}, errors.New("has no '@'")
	}
	region, zone, ok := strings.Cut(location, "/")
	if !ok || vm == "" || region == "" || zone == "" {
		return membership.Peer{}, errors.New("does not name VM, region and zone")
	}
	if _, err := netip.ParseAddrPort(address); err != nil {
		return membership.Peer{}, fmt.Errorf("address: %w", err)
	}
	return membership.Peer{VM: vm, Region: region, Zone: zone, Address: address}, nil
}

// Checker collects the problems of settings.
type Checker struct {
	problems []error
}

// Addf adds a problem with the value of a flag, and its remedy.
func (c *Checker) Addf(flag, remedy, format string, args ...any) {
	c.problems = append(c.problems, errkind.New(errkind.Invalid, remedy, "--%s: %s", flag, fmt.Sprintf(format, args...)))
}

// Require adds a problem when a value is empty.
func (c *Checker) Require(flag, value string) {
	if value == "" {
		c.Addf(flag, fmt.Sprintf("set --%s or its environment variable", flag), "is missing")
	}
}

// Address adds a problem unless a value is an IP address and a port.
func (c *Checker) Address(flag, value string) {
	if _, err := netip.ParseAddrPort(value); err != nil {
		c.Addf(flag, "use an IP address and a port such as 127.0.0.1:7100", "%q is not an IP address and a port", value)
	}
}

// URL adds a problem unless a value is an http or https URL.
func (c *Checker) URL(flag, value string) {
	parsed, err := url.Parse(value)
	if err != nil || parsed.Host == "" || (parsed.Scheme != "http" && parsed.Scheme != "https") {
		c.Addf(flag, "use a URL such as http://127.0.0.1:7000", "%q is not an http or https URL", value)
	}
}

// LoopbackURL adds a problem unless a value is an http or https URL whose host is a loopback
// IP address, that is, on this VM.
func (c *Checker) LoopbackURL(flag, value string) {
	c.URL(flag, value)
	parsed, err := url.Parse(value)
	if err != nil {
		return
	}
	host, err := netip.ParseAddr(parsed.Hostname())
	if err != nil || !host.IsLoopback() {
		c.Addf(flag, "use a loopback IP address", "%q is not on this VM", value)
	}
}

// Name adds a problem unless a value can be part of object keys and certificate identities.
func (c *Checker) Name(flag, value string) {
	if value == "" {
		c.Require(flag, value)
		return
	}
	for _, r := range value {
		if !strings.ContainsRune("abcdefghijklmnopqrstuvwxyzABCDEFGHIJKLMNOPQRSTUVWXYZ0123456789-_.", r) {
			c.Addf(flag, "use letters, digits, '-', '_' and '.'", "%q contains %q", value, r)
			return
		}
	}
}

// Process checks the settings that all roles share.
func (c *Checker) Process(p *Process) {
	c.Name("vm", p.VM)
	c.Name("zone", p.Zone)
	c.Name("region", p.Region)
	c.Address("listen", p.Listen)
	for _, seed := range p.Seeds {
		if _, err := parseSeed(seed); err != nil {
			c.Addf("seed", "use VM@REGION/ZONE=IP:port such as entry-1@north/a=127.0.0.1:7100", "%q: %v", seed, err)
		}
	}
	if p.Metrics != "" {
		c.Address("metrics-listen", p.Metrics)
	}
	c.URL("platform", p.Platform)
	c.Require("tls-cert", p.TLSCert)
	c.Require("tls-key", p.TLSKey)
	c.Require("tls-ca", p.TLSCA)
}

// Identity adds a problem unless the identity in the certificate has the role of the process
// and the availability zone and VM of its settings.
func (c *Checker) Identity(p *Process, role mtls.Role, certified mtls.Identity) {
	expected := mtls.Identity{Role: role, Zone: p.Zone, VM: p.VM}
	if certified != expected {
		c.Addf("tls-cert", fmt.Sprintf("issue a certificate for %s", expected), "certificate is for %s", certified)
	}
}

// Err returns all problems as one error, or nil.
func (c *Checker) Err() error { return errors.Join(c.problems...) }
