// Command standin-platform serves a stand-in for the platform's object API.
package main

import (
	"fmt"
	"os"
	"time"

	"github.com/spf13/cobra"

	"plantainfield.example/standins/httpserve"
	"plantainfield.example/standins/platform"
)

const (
	defaultWritesPerSecond = 400
	defaultReadsPerSecond  = 2000
)

func main() {
	var listen string
	var o platform.Options
	cmd := &cobra.Command{
		Use:   "standin-platform",
		Short: "Serve an in-memory stand-in for the platform's object API",
		Args:  cobra.NoArgs,
		RunE: func(*cobra.Command, []string) error {
			return httpserve.Run(listen, platform.New(o).Handler())
		},
	}
	cmd.Flags().StringVar(&listen, "listen", "127.0.0.1:0", "IP:port to listen on")
	cmd.Flags().DurationVar(&o.InstanceLag, "instance-lag", 200*time.Millisecond, "delay until changes to the instance list are visible")
	cmd.Flags().IntVar(&o.WritesPerSecond, "writes-per-second", defaultWritesPerSecond, "maximum rate of writes; more are rejected")
	cmd.Flags().IntVar(&o.ReadsPerSecond, "reads-per-second", defaultReadsPerSecond, "maximum rate of reads; more are rejected")
	if err := cmd.Execute(); err != nil {
		fmt.Fprintln(os.Stderr, err)
		os.Exit(1)
	}
}
