// Command plantainfieldd is the daemon of a router instance.
package main

import (
	"fmt"
	"os"

	"github.com/spf13/cobra"
	"go.uber.org/zap"

	"plantainfield.example/fleet/daemon"
	"plantainfield.example/fleet/settings"
)

const exitInvalid = 2

func main() {
	var checkOnly bool
	cmd := &cobra.Command{
		Use:   "plantainfieldd SETTINGS",
		Short: "Run one instance of the router fleet",
		Long:  "Runs one instance of the router fleet with a JSON settings file. SIGTERM stops it gracefully.",
		Args:  cobra.ExactArgs(1),
		Run: func(_ *cobra.Command, args []string) {
			os.Exit(run(args[0], checkOnly))
		},
	}
	cmd.AddCommand(newHostedCommand())
	cmd.Flags().BoolVar(&checkOnly, "check", false, "check the settings file and exit")
	if err := cmd.Execute(); err != nil {
		os.Exit(exitInvalid)
	}
}

// run runs an instance, or only checks the settings, and returns the exit code.
func run(path string, checkOnly bool) int {
	s, problems := settings.Load(path)
	for _, p := range problems {
		fmt.Fprintf(os.Stderr, "%s: %s\n", path, p.Error())
	}
	if len(problems) > 0 {
		return exitInvalid
	}
	if checkOnly {
		fmt.Println("settings are valid")
		return 0
	}
	log, err := newLogger(s)
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		return 1
	}
	defer func() { _ = log.Sync() }()
	app := daemon.New(s, log)
	if err := app.Err(); err != nil {
		log.Error("start failed", zap.Error(err))
		return 1
	}
	return runApp(app, log)
}

func newLogger(s *settings.Settings) (*zap.Logger, error) {
	c := zap.NewProductionConfig()
	c.Sampling = nil
	c.EncoderConfig.TimeKey = "time"
	c.EncoderConfig.EncodeTime = timeEncoder
	level, err := zap.ParseAtomicLevel(s.LogLevel)
	if err != nil {
		return nil, err
	}
	c.Level = level
	log, err := c.Build()
	if err != nil {
		return nil, err
	}
	return log.With(zap.String("instance", s.Name), zap.String("data_centre", s.DataCentre)), nil
}
