package main

import (
	"context"

	"go.uber.org/fx"
	"go.uber.org/zap"
	"go.uber.org/zap/zapcore"
)

var timeEncoder = zapcore.RFC3339NanoTimeEncoder

// runApp starts the application, waits for a signal, stops the application and
// returns the exit code.
func runApp(app *fx.App, log *zap.Logger) int {
	start, cancel := context.WithTimeout(context.Background(), app.StartTimeout())
	defer cancel()
	if err := app.Start(start); err != nil {
		log.Error("start failed", zap.Error(err))
		return 1
	}
	sig := <-app.Wait()
	stop, cancelStop := context.WithTimeout(context.Background(), app.StopTimeout())
	defer cancelStop()
	if err := app.Stop(stop); err != nil {
		log.Error("stop failed", zap.Error(err))
		return 1
	}
	return sig.ExitCode
}
