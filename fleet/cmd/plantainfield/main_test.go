package main

import (
	"encoding/json"
	"errors"
	"net/http"
	"net/http/httptest"
	"os"
	"path/filepath"
	"strings"
	"testing"

	. "github.com/smartystreets/goconvey/convey"

	"plantainfield.example/core/config"
)

const exampleFile = "../../../examples/iliksu.json"

// run executes a command line and returns its exit code.
func run(args ...string) int {
	cmd := newRootCommand()
	cmd.SetArgs(args)
	err := cmd.Execute()
	var e *exitError
	switch {
	case err == nil:
		return 0
	case errors.As(err, &e):
		return e.code
	default:
		return exitInvalid
	}
}

// startInstance starts a server that answers one path with a fixed status and
// body, and returns its address.
func startInstance(t *testing.T, path string, status int, body string) string {
	s := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		if r.URL.Path != path {
			http.NotFound(w, r)
			return
		}
		w.WriteHeader(status)
		_, _ = w.Write([]byte(body))
	}))
	t.Cleanup(s.Close)
	return strings.TrimPrefix(s.URL, "http://")
}

func TestExitCodes(t *testing.T) {
	bad := filepath.Join(t.TempDir(), "bad.json")
	if err := os.WriteFile(bad, []byte(`{"customer":[]}`), 0o600); err != nil {
		t.Fatal(err)
	}
	Convey("Files are checked before anything is sent", t, func() {
		So(run("validate", exampleFile), ShouldEqual, 0)
		So(run("validate", bad), ShouldEqual, exitInvalid)
		So(run("apply", bad, "-s", "127.0.0.1:1"), ShouldEqual, exitInvalid)
		So(run("validate", "no-such-file"), ShouldEqual, exitInvalid)
	})
	Convey("Invalid command lines are errors", t, func() {
		So(run("aply"), ShouldEqual, exitInvalid)
		So(run("apply"), ShouldEqual, exitInvalid)
		So(run("status", "-o", "yaml"), ShouldEqual, exitInvalid)
	})
	Convey("An unreachable instance is an error", t, func() {
		So(run("status", "-s", "127.0.0.1:1"), ShouldEqual, exitFailed)
	})
	Convey("The exit code of apply distinguishes accepted, conflict and unknown", t, func() {
		accepted := startInstance(t, "/v1/apply", http.StatusOK, `{"generation":2,"accepted":true}`)
		conflict := startInstance(t, "/v1/apply", http.StatusConflict, `{"generation":2,"code":"config_conflict"}`)
		unknown := startInstance(t, "/v1/apply", http.StatusServiceUnavailable, `{"code":"config_outcome_unknown"}`)
		So(run("apply", exampleFile, "-s", accepted), ShouldEqual, 0)
		So(run("apply", exampleFile, "-s", conflict), ShouldEqual, exitConflict)
		So(run("apply", exampleFile, "-s", unknown), ShouldEqual, exitUnknown)
	})
	Convey("The next instance is tried when one does not respond", t, func() {
		accepted := startInstance(t, "/v1/apply", http.StatusOK, `{"generation":2,"accepted":true}`)
		So(run("apply", exampleFile, "-s", "127.0.0.1:1", "-s", accepted), ShouldEqual, 0)
	})
	Convey("Audit fails on violations", t, func() {
		So(run("audit", "-s", startInstance(t, "/v1/audit", http.StatusOK, `{"violations":[]}`)), ShouldEqual, 0)
		So(run("audit", "-s", startInstance(t, "/v1/audit", http.StatusOK, `{"violations":["x"]}`)), ShouldEqual, exitViolations)
	})
	Convey("The exit code of diff reports differences", t, func() {
		raw, err := os.ReadFile(exampleFile)
		So(err, ShouldBeNil)
		inForce, problems := config.Parse(raw)
		So(problems, ShouldBeEmpty)
		serve := func() string {
			body, err := json.Marshal(inForce)
			So(err, ShouldBeNil)
			return startInstance(t, "/v1/configuration", http.StatusOK, string(body))
		}
		So(run("diff", exampleFile, "-s", serve()), ShouldEqual, 0)
		inForce.Budgets[0].PrepaidTokens--
		So(run("diff", exampleFile, "-s", serve()), ShouldEqual, exitDifferences)
	})
	Convey("Every command has help", t, func() {
		for _, c := range newRootCommand().Commands() {
			So(c.Short, ShouldNotBeEmpty)
			So(run(c.Name(), "--help"), ShouldEqual, 0)
		}
	})
}
