// Command standin-engine serves a stand-in of a model engine.
package main

import (
	"fmt"
	"os"
	"time"

	"github.com/spf13/cobra"

	"plantainfield.example/standins/engine"
	"plantainfield.example/standins/httpserve"
	"plantainfield.example/standins/runlog"
)

func main() {
	var listen, logPath string
	var o engine.Options
	cmd := &cobra.Command{
		Use:   "standin-engine",
		Short: "Serve a stand-in of a model engine",
		Args:  cobra.NoArgs,
		RunE: func(*cobra.Command, []string) error {
			log, err := runlog.Open(logPath)
			if err != nil {
				return err
			}
			o.Log = log
			e, err := engine.New(o)
			if err != nil {
				return err
			}
			go e.RefreshLoadReport()
			return httpserve.Run(listen, e.Handler())
		},
	}
	f := cmd.Flags()
	f.StringVar(&listen, "listen", "127.0.0.1:0", "IP:port to listen on")
	f.StringVar(&logPath, "log", "", "file for the record of what ran")
	f.StringVar(&o.Name, "name", "engine", "the target's name")
	f.IntVar(&o.MaxBatch, "max-batch", 32, "streams that run at the same time")
	f.IntVar(&o.PrefillPerSecond, "prefill-per-second", 20_000, "uncached prompt tokens a second")
	f.DurationVar(&o.Step, "step", 5*time.Millisecond, "time of one output token")
	f.DurationVar(&o.StepPerStream, "step-per-stream", 200*time.Microsecond, "added for each other running stream")
	f.Int64Var(&o.OutputTokens, "output-tokens", 40, "length of an answer")
	f.IntVar(&o.CachedBlocks, "cached-blocks", 1000, "prefix blocks that fit in memory")
	f.DurationVar(&o.ReportLag, "report-lag", 200*time.Millisecond, "age of load reports and cache events")
	f.IntVar(&o.CacheEventLoss, "cache-event-loss", 50, "lose each n-th cache event; 0 for none")
	f.BoolVar(&o.CheckFencing, "check-fencing", false, "refuse orders with an old fencing number")
	f.StringVar(&o.CrashOn, "crash-on", "", "exit when a prompt contains this text")
	if err := cmd.Execute(); err != nil {
		fmt.Fprintln(os.Stderr, err)
		os.Exit(1)
	}
}
