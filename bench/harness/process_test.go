package harness

import (
	"testing"

	. "github.com/smartystreets/goconvey/convey"
)

// A process that panicked was taken for one that the scenario had ended.
func TestProcessThatEndsByItselfIsAnError(t *testing.T) {
	start := func(program string, args ...string) *Process {
		p, err := startProcess(t.TempDir(), "p", program, args...)
		So(err, ShouldBeNil)
		return p
	}
	Convey("A process that exits is one that ended by itself, also if it is killed later", t, func() {
		p := start("/bin/sh", "-c", "echo some panic; exit 2")
		<-p.Done()
		p.Kill()
		So(p.EndedByItself(), ShouldNotBeNil)
		So(p.EndedByItself().Error(), ShouldContainSubstring, "some panic")
	})
	Convey("One that exits without an error is too", t, func() {
		p := start("/bin/sh", "-c", "exit 0")
		<-p.Done()
		So(p.EndedByItself(), ShouldNotBeNil)
	})
	Convey("One that runs, was killed or was stopped is not", t, func() {
		p := start("/bin/sleep", "600")
		So(p.EndedByItself(), ShouldBeNil)
		p.Kill()
		So(p.EndedByItself(), ShouldBeNil)
		p = start("/bin/sleep", "600")
		So(p.Stop(startTimeout), ShouldNotBeNil) // sleep has no exit code of its own for SIGTERM
		So(p.EndedByItself(), ShouldBeNil)
	})
	Convey("A fleet names the instance that ended by itself, also one that was replaced since", t, func() {
		f := &Fleet{Platform: start("/bin/sleep", "600"), launched: []*Process{start("/bin/sh", "-c", "exit 2"), start("/bin/sleep", "600")}}
		<-f.launched[0].Done()
		So(f.EndedByThemselves(), ShouldHaveLength, 1)
		f.Platform.Kill()
		f.launched[1].Kill()
	})
}
