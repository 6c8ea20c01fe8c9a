package main

import (
	"os"
	"os/signal"
	"path/filepath"
	"syscall"
	"testing"
	"time"

	. "github.com/smartystreets/goconvey/convey"
	"go.uber.org/zap"
	"go.uber.org/zap/zaptest/observer"
)

// TestHangupDoesNotEndTheProcess checks that SIGHUP, which ends a process that
// does not handle it, makes the daemon read its settings file again. The test
// sends the signal to its own process.
func TestHangupDoesNotEndTheProcess(t *testing.T) {
	Convey("SIGHUP makes the daemon read its settings file again, and invalid settings are rejected", t, func() {
		path := filepath.Join(t.TempDir(), "settings.yaml")
		So(os.WriteFile(path, []byte("node_name: ["), 0o600), ShouldBeNil)
		core, logs := observer.New(zap.InfoLevel)
		guard := make(chan os.Signal, 1) // keeps the signal from ending the test before reloadOnHangup has set its handler
		signal.Notify(guard, syscall.SIGHUP)
		defer signal.Stop(guard)
		go reloadOnHangup(path, zap.New(core))
		deadline := time.Now().Add(20 * time.Second)
		for logs.FilterMessage("settings not reloaded").Len() == 0 && time.Now().Before(deadline) {
			So(syscall.Kill(os.Getpid(), syscall.SIGHUP), ShouldBeNil)
			time.Sleep(5 * time.Millisecond)
		}
		So(logs.FilterMessage("settings not reloaded").Len(), ShouldBeGreaterThan, 0)
	})
}
