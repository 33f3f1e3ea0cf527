// Command laburnumctl is the operators' command-line tool.
package main

import (
	"os"

	"laburnumgw/ctl"
)

func main() {
	os.Exit(ctl.Run(os.Args[1:], ctl.Environment{Stdout: os.Stdout, Stderr: os.Stderr}))
}
