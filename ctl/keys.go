package ctl

import (
	"fmt"
	"os"
	"path/filepath"
	"time"

	"github.com/jessevdk/go-flags"

	"laburnumgw/lib/errkind"
	"laburnumgw/lib/mtls"
)

// addKeys adds the commands that issue the certificates and keys of processes and operators.
func addKeys(parser *flags.Parser, session *Session) error {
	command, err := parser.AddCommand("keys", "Issue the keys of processes and operators",
		"Creates a certificate authority and issues certificates that prove roles.", &struct{}{})
	if err != nil {
		return err
	}
	_, err = command.AddCommand("init", "Create a certificate authority", "Writes ca.crt and ca.key into a directory.", &keysInit{session: session})
	if err != nil {
		return err
	}
	_, err = command.AddCommand("issue", "Issue a certificate",
		"Issues the certificate of a process or an operator. Running processes read replaced files without a restart.", &keysIssue{session: session})
	return err
}

type keysInit struct {
	session *Session
	Dir     string `long:"dir" required:"true" description:"directory for ca.crt and ca.key"`
}

// Execute creates the authority. It fails if the directory already holds one.
func (c *keysInit) Execute([]string) error {
	path := filepath.Join(c.Dir, mtls.AuthorityKeyFile)
	if _, err := os.Stat(path); err == nil {
		return errkind.New(errkind.Conflict, "use another directory, or remove the files if no process uses them", "%s exists", path)
	}
	authority, err := mtls.NewAuthority(time.Now())
	if err != nil {
		return err
	}
	if err := authority.Save(c.Dir); err != nil {
		return err
	}
	return c.session.Output().Print(struct {
		Dir string `json:"dir"`
	}{c.Dir}, Table{Summary: "authority written to " + c.Dir})
}

type keysIssue struct {
	session  *Session
	Dir      string        `long:"dir" required:"true" description:"directory that holds the authority"`
	Out      string        `long:"out" description:"directory for the certificate and the key; the authority's by default"`
	Role     string        `long:"role" required:"true" description:"role to prove: entry, endpoint or operator"`
	Zone     string        `long:"zone" required:"true" description:"availability zone of the VM; any name for operators"`
	VM       string        `long:"vm" required:"true" description:"name of the VM or the operator"`
	Lifetime time.Duration `long:"lifetime" default:"2160h" description:"validity of the certificate"`
}

// Execute issues the certificate.
func (c *keysIssue) Execute([]string) error {
	identity, err := mtls.ParseIdentity(mtls.Identity{Role: mtls.Role(c.Role), Zone: c.Zone, VM: c.VM}.URI())
	if err != nil {
		return &usageError{text: err.Error()}
	}
	authority, err := mtls.LoadAuthority(c.Dir)
	if err != nil {
		return err
	}
	pair, err := authority.Issue(identity, time.Now(), c.Lifetime)
	if err != nil {
		return err
	}
	out := c.Out
	if out == "" {
		out = c.Dir
	}
	if err := pair.Save(out, c.VM); err != nil {
		return err
	}
	return c.session.Output().Print(struct {
		Identity string `json:"identity"`
		Dir      string `json:"dir"`
	}{identity.String(), out}, Table{Summary: fmt.Sprintf("%s.crt and %s.key written to %s for %s", c.VM, c.VM, out, identity)})
}
