// Command plantainfield is the command-line tool for operators.
package main

import (
	"errors"
	"fmt"
	"os"

	"github.com/spf13/cobra"
)

// Exit codes.
const (
	exitFailed      = 1 // the instance is unreachable, or another failure occurred
	exitInvalid     = 2 // the file or the command line has errors
	exitConflict    = 3 // the file is based on another generation
	exitUnknown     = 4 // the file may have been accepted; check with status
	exitViolations  = 5 // the audit found violated invariants
	exitDifferences = 6 // diff found differences
)

// exitError is an error that determines the exit code of the program.
type exitError struct {
	code int
	err  error
}

func (e *exitError) Error() string { return e.err.Error() }

func exitErrorf(code int, format string, args ...any) error {
	return &exitError{code, fmt.Errorf(format, args...)}
}

func main() {
	cmd := newRootCommand()
	err := cmd.Execute()
	if err == nil {
		return
	}
	fmt.Fprintln(os.Stderr, "plantainfield:", err)
	var e *exitError
	if errors.As(err, &e) {
		os.Exit(e.code)
	}
	os.Exit(exitInvalid)
}

// options holds the flags that are common to all commands.
type options struct {
	servers []string
	output  string
}

func newRootCommand() *cobra.Command {
	o := &options{}
	root := &cobra.Command{
		Use:           "plantainfield",
		Short:         "Apply configuration files to a router fleet and read its status",
		SilenceUsage:  true,
		SilenceErrors: true,
		PersistentPreRunE: func(*cobra.Command, []string) error {
			if o.output != outputTable && o.output != outputJSON {
				return exitErrorf(exitInvalid, "--output must be table or json")
			}
			return nil
		},
	}
	root.PersistentFlags().StringSliceVarP(&o.servers, "server", "s", []string{"127.0.0.1:7003"}, "admin addresses of instances (IP:port), tried in order")
	root.PersistentFlags().StringVarP(&o.output, "output", "o", outputTable, "output format: table or json")
	root.AddCommand(newValidateCommand(o), newApplyCommand(o), newDiffCommand(o), newStatusCommand(o), newDumpCommand(o), newAuditCommand(o))
	return root
}
