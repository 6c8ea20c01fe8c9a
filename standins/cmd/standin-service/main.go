// Command standin-service serves a stand-in for a plain service.
package main

import (
	"fmt"
	"os"
	"time"

	"github.com/spf13/cobra"

	"plantainfield.example/standins/httpserve"
	"plantainfield.example/standins/runlog"
	"plantainfield.example/standins/service"
)

func main() {
	var listen, logPath string
	var o service.Options
	cmd := &cobra.Command{
		Use:   "standin-service",
		Short: "Serve a stand-in for a plain service; POST /bookings is not idempotent",
		Args:  cobra.NoArgs,
		RunE: func(*cobra.Command, []string) error {
			log, err := runlog.Open(logPath)
			if err != nil {
				return err
			}
			o.Log = log
			return httpserve.Run(listen, service.New(o).Handler())
		},
	}
	cmd.Flags().StringVar(&listen, "listen", "127.0.0.1:0", "IP:port to listen on")
	cmd.Flags().StringVar(&logPath, "log", "", "run log file; empty for none")
	cmd.Flags().StringVar(&o.Name, "name", "service", "target name in the run log and in responses")
	cmd.Flags().DurationVar(&o.Delay, "delay", 5*time.Millisecond, "duration of each call")
	if err := cmd.Execute(); err != nil {
		fmt.Fprintln(os.Stderr, err)
		os.Exit(1)
	}
}
