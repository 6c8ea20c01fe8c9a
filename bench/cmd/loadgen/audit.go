package main

import (
	"encoding/json"
	"fmt"
	"os"
	"time"

	"github.com/spf13/cobra"

	"plantainfield.example/bench/load"
	"plantainfield.example/fleet/platform"
)

const auditTimeout = 10 * time.Second

func newAuditCommand() *cobra.Command {
	var address string
	var runLogs []string
	cmd := &cobra.Command{
		Use:   "audit",
		Short: "Compare the targets' run logs with the ledger and the bills",
		Args:  cobra.NoArgs,
		RunE: func(cmd *cobra.Command, _ []string) error {
			report, err := load.Audit(cmd.Context(), platform.NewClient(address, auditTimeout), runLogs)
			if err != nil {
				return err
			}
			enc := json.NewEncoder(os.Stdout)
			enc.SetIndent("", "  ")
			if err := enc.Encode(report); err != nil {
				return err
			}
			if len(report.Violations) > 0 {
				return fmt.Errorf("%d violations", len(report.Violations))
			}
			return nil
		},
	}
	cmd.Flags().StringVar(&address, "platform", "", "IP:port of the platform")
	cmd.Flags().StringSliceVar(&runLogs, "runs", nil, "run logs of the targets")
	return cmd
}
