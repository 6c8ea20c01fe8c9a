package main

import (
	"fmt"
	"os"
	"os/signal"
	"syscall"

	"github.com/spf13/cobra"
	"go.uber.org/zap"
	"go.uber.org/zap/zapcore"

	"plantainfield.example/fleet/daemon"
	"plantainfield.example/fleet/logring"
	"plantainfield.example/platform"
)

// newHostedCommand returns the command that runs an instance on the platform.
func newHostedCommand() *cobra.Command {
	return &cobra.Command{
		Use:   "hosted",
		Short: "Run one instance on the platform",
		Long:  "Runs one instance with the platform's settings file, whose path is in $" + platform.SettingsPathEnv + ". SIGTERM stops it gracefully.",
		Args:  cobra.NoArgs,
		Run: func(*cobra.Command, []string) {
			os.Exit(runHosted(os.Getenv(platform.SettingsPathEnv)))
		},
	}
}

// runHosted runs an instance with the settings file at path and returns the
// exit code.
func runHosted(path string) int {
	s, err := platform.LoadSettings(path)
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		return exitInvalid
	}
	log := newRingLogger()
	defer func() { _ = log.Sync() }()
	go reloadOnHangup(path, log)
	app := daemon.NewHosted(platform.NewAdapter(s, log), log)
	if err := app.Err(); err != nil {
		log.Error("start failed", zap.Error(err))
		return 1
	}
	return runApp(app, log)
}

// reloadOnHangup reloads the settings file on each SIGHUP. Only the memory
// limit takes effect at once; changed addresses take effect at the next start.
func reloadOnHangup(path string, log *zap.Logger) {
	hangups := make(chan os.Signal, 1)
	signal.Notify(hangups, syscall.SIGHUP)
	for range hangups {
		s, err := platform.LoadSettings(path)
		if err != nil {
			log.Error("settings not reloaded", zap.Error(err))
			continue
		}
		daemon.SetMemoryLimit(s.Limits.MemoryBytes)
		log.Info("settings reloaded", zap.Int64("memory_bytes", s.Limits.MemoryBytes))
	}
}

// newRingLogger returns a logger that writes JSON lines to standard output and
// never blocks.
func newRingLogger() *zap.Logger {
	encoder := zap.NewProductionEncoderConfig()
	encoder.TimeKey, encoder.EncodeTime = "time", timeEncoder
	encoder.EncodeDuration = zapcore.StringDurationEncoder
	return zap.New(logring.NewCore(zapcore.NewJSONEncoder(encoder), logring.New(os.Stdout), zapcore.InfoLevel))
}
