package main

import (
	"github.com/alecthomas/kong"
	kongcompletion "github.com/jotaen/kong-completion"
)

func cmdCompletion() command {
	return command{name: "completion", help: "Print how to complete commands in a shell.", action: &completionAction{}}
}

// completionAction takes the name of the shell as an argument, which avoids having
// to detect it.
type completionAction struct {
	Shell string `arg:"" help:"Your shell: bash, zsh or fish." enum:"bash,zsh,fish"`
	Code  bool   `help:"Print the code itself instead of the command to load it." short:"c"`
}

// Run implements the command.
func (a *completionAction) Run(ctx *kong.Context) error {
	completion := kongcompletion.Completion{Shell: a.Shell, Code: a.Code}
	if err := completion.Run(ctx); err != nil {
		return Error.New("writing the completion: %w", err)
	}
	return nil
}
