package ctl

import (
	"fmt"
	"os"
	"path/filepath"
	"time"

	"laburnumgw/lib/errkind"
	"laburnumgw/lib/mtls"
)

// KeysCommand groups the commands for the keys of processes and operators.
type KeysCommand struct {
	Init  KeysInitCommand  `command:"init" description:"Create a certificate authority"`
	Issue KeysIssueCommand `command:"issue" description:"Issue the certificate of a process or an operator"`
}

// KeysInitCommand creates an authority.
type KeysInitCommand struct {
	Dir string `long:"dir" required:"true" description:"directory for ca.crt and ca.key"`
}

// Execute creates the authority unless the directory holds one.
func (c *KeysInitCommand) Execute([]string) error {
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
	fmt.Println("authority written to", c.Dir)
	return nil
}

// KeysIssueCommand issues a certificate. Issuing it again under the same name rotates
// the key; running processes read the new files without a restart.
type KeysIssueCommand struct {
	Dir      string        `long:"dir" required:"true" description:"directory that holds the authority"`
	Out      string        `long:"out" description:"directory for the certificate and the key; the authority's by default"`
	Role     string        `long:"role" required:"true" choice:"entry" choice:"endpoint" choice:"operator" description:"role to prove"`
	Zone     string        `long:"zone" required:"true" description:"availability zone of the VM; any name for operators"`
	VM       string        `long:"vm" required:"true" description:"name of the VM or the operator"`
	Lifetime time.Duration `long:"lifetime" default:"2160h" description:"validity of the certificate"`
}

// Execute issues the certificate.
func (c *KeysIssueCommand) Execute([]string) error {
	authority, err := mtls.LoadAuthority(c.Dir)
	if err != nil {
		return err
	}
	identity := mtls.Identity{Role: mtls.Role(c.Role), Zone: c.Zone, VM: c.VM}
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
	fmt.Printf("%s.crt and %s.key written to %s for %s\n", c.VM, c.VM, out, identity)
	return nil
}
