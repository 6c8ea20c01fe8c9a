// Command loadgen sends a bounded load to a fleet and audits the result.
package main

import (
	"fmt"
	"os"

	"github.com/spf13/cobra"
)

func main() {
	root := &cobra.Command{Use: "loadgen", Short: "Send a bounded load to a fleet and audit the result", SilenceUsage: true}
	root.AddCommand(newRunCommand(), newAuditCommand())
	if err := root.Execute(); err != nil {
		fmt.Fprintln(os.Stderr, err)
		os.Exit(1)
	}
}
