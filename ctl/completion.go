package ctl

import (
	"fmt"

	"github.com/jessevdk/go-flags"
)

// bashScript calls the tool itself for completions. The flags library prints them if
// GO_FLAGS_COMPLETION is set.
const bashScript = `_laburnumctl() {
    local words=("${COMP_WORDS[@]:1:$COMP_CWORD}")
    local IFS=$'\n'
    COMPREPLY=($(GO_FLAGS_COMPLETION=1 "${COMP_WORDS[0]}" "${words[@]}"))
}
complete -o default -F _laburnumctl laburnumctl
`

type completionBash struct{ session *Session }

// Execute prints the script.
func (c *completionBash) Execute([]string) error {
	_, err := fmt.Fprint(c.session.environment.Stdout, bashScript)
	return err
}

func addCompletion(parser *flags.Parser, session *Session) error {
	command, err := parser.AddCommand("completion", "Print shell completion", "Prints a script that completes commands and flags.", &struct{}{})
	if err != nil {
		return err
	}
	_, err = command.AddCommand("bash", "Print the script for bash",
		"Prints the script for bash. Load it with: source <(laburnumctl completion bash)", &completionBash{session: session})
	return err
}
