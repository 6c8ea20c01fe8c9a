// Command standin-engine serves a stand-in for a model engine.
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
		Short: "Serve a stand-in for a model engine",
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
	f.StringVar(&logPath, "log", "", "run log file; empty for none")
	f.StringVar(&o.Name, "name", "engine", "target name in the run log")
	f.IntVar(&o.MaxBatch, "max-batch", 32, "maximum number of concurrent streams")
	f.IntVar(&o.PrefillPerSecond, "prefill-per-second", 20_000, "prefill rate, in uncached prompt tokens per second")
	f.DurationVar(&o.Step, "step", 5*time.Millisecond, "time per output token while one stream is running")
	f.DurationVar(&o.StepPerStream, "step-per-stream", 200*time.Microsecond, "added to --step for each other running stream")
	f.Int64Var(&o.OutputTokens, "output-tokens", 40, "length of a response, in tokens; the request's max_tokens may shorten it")
	f.IntVar(&o.CachedBlocks, "cached-blocks", 1000, "size of the prefix cache, in prefix blocks")
	f.DurationVar(&o.ReportLag, "report-lag", 200*time.Millisecond, "interval of load reports and delay of cache events")
	f.IntVar(&o.CacheEventLoss, "cache-event-loss", 50, "drop every n-th cache event; 0 drops none")
	f.BoolVar(&o.CheckFencing, "check-fencing", false, "refuse orders with an old fencing token")
	f.StringVar(&o.CrashOn, "crash-on", "", "exit when a prompt contains this text; empty disables")
	if err := cmd.Execute(); err != nil {
		fmt.Fprintln(os.Stderr, err)
		os.Exit(1)
	}
}
