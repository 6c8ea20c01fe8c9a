package main

import (
	"os"
	"path/filepath"
	"testing"

	. "github.com/smartystreets/goconvey/convey"

	"plantainfield.example/bench/faults"
)

func TestReadKnownFailures(t *testing.T) {
	Convey("Only lines that name a scenario are read", t, func() {
		path := filepath.Join(t.TempDir(), "known")
		text := "# faults: commented | x\nfaults: platform down, then kill | make faults, seed 1 | lost | 4\nTestOther | x | y | 4\n"
		So(os.WriteFile(path, []byte(text), 0o600), ShouldBeNil)
		known, err := readKnownFailures(path)
		So(err, ShouldBeNil)
		So(known, ShouldResemble, map[string]bool{"platform down, then kill": true})
	})
	Convey("The repository's list names only scenarios that exist", t, func() {
		known, err := readKnownFailures("../../../KNOWN-RED.txt")
		So(err, ShouldBeNil)
		for _, s := range faults.Scenarios() {
			delete(known, s.Name)
		}
		So(known, ShouldBeEmpty)
	})
}
