package node

import (
	"fmt"
	"testing"
	"time"

	. "github.com/smartystreets/goconvey/convey"

	"plantainfield.example/core/event"
	"plantainfield.example/core/targethealth"
)

func TestRetriesWhileTargetsDie(t *testing.T) {
	Convey("With a third of nine targets dead at any time, and a different third every 100 ms, retries are at most a tenth of the requests and never go to the target that has just failed", t, func() {
		w := readyWorld(1, 10_000_000)
		for i := range 7 {
			w.addTarget(fmt.Sprintf("t%d", i+3), "m")
		}
		w.listInstances()
		w.runFor(targethealth.FirstReportTimeout)
		attempts, requests := 0, 0
		sameTarget := 0
		lastTarget := map[uint64]string{}
		w.hooks.onAction = func(_ *instance, a event.Action) {
			if d := a.Dispatch; d != nil {
				attempts++
				if lastTarget[d.Request] == d.Target {
					sameTarget++
				}
				lastTarget[d.Request] = d.Target
			}
		}
		names := sortedKeys(w.targets)
		for round := range 300 {
			for i, name := range names {
				w.targets[name].dead = (i+round)%3 == 0
			}
			for range 10 {
				requests++
				w.send("n1", exampleRequest(fmt.Sprintf("k%d", requests), 1, true))
				w.runFor(event.TickPeriod)
			}
		}
		w.runFor(5 * time.Second)
		t.Logf("%d attempts for %d requests", attempts, requests)
		So(attempts*10, ShouldBeLessThanOrEqualTo, requests*11)
		So(attempts, ShouldBeGreaterThan, requests) // there were retries
		So(sameTarget, ShouldEqual, 0)
		So(w.violations(map[string]int64{"b": 10_000_000}), ShouldBeEmpty)
	})
}

func TestConfigurationReadsAfterPlatformOutage(t *testing.T) {
	Convey("After a platform outage of ten minutes, 330 instances read the configuration at a bounded rate and do not write it", t, func() {
		const readsPerSecond = 2000
		w := fleetOf(330).w
		w.platformDown = true
		for range 6 {
			w.runFor(100 * time.Millisecond)
			w.now += 100 * time.Second // the outage, in fewer steps
		}
		reads, writes := 0, 0
		w.hooks.interceptCall = func(_ *instance, call event.PlatformCall) bool {
			if call.Object.Kind == event.KindConfiguration && call.Op == event.OpGet {
				reads++
			} else if call.Object.Kind == event.KindConfiguration {
				writes++
			}
			return false
		}
		w.platformDown = false
		for range 5 {
			reads, writes = 0, 0
			w.runFor(time.Second)
			So(reads, ShouldBeLessThanOrEqualTo, readsPerSecond/4) // calls for other kinds of objects need the rest
			So(writes, ShouldEqual, 0)
		}
	})
}
