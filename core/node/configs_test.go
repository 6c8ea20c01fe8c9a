package node

import (
	"encoding/json"
	"fmt"
	"testing"
	"time"

	. "github.com/smartystreets/goconvey/convey"
	"pgregory.net/rapid"

	"plantainfield.example/core/config"
	"plantainfield.example/core/errkind"
	"plantainfield.example/core/event"
)

// configBound is the maximum time until an accepted configuration is in force
// at all instances.
const configBound = 4 * time.Second

// configAudit records what the fake platform stored, what instances put in
// force and what operators got as answers.
type configAudit struct {
	w *world
	// objects are the written configuration objects, in order; byGen holds their
	// contents by generation, and byOp their generations by operation ID.
	objects []event.Object
	byGen   map[uint64]config.Stored
	byOp    map[string]uint64
	inForce map[*instance]uint64
	// ops holds the operation ID of each apply; repeated is set for those that
	// were sent more than once.
	ops      map[caller]string
	repeated map[string]bool
	// nextLoss is how the result of the next configuration write is lost.
	nextLoss string
	problems []string
}

func auditConfigs(w *world) *configAudit {
	c := &configAudit{
		w: w, byGen: map[uint64]config.Stored{}, byOp: map[string]uint64{}, inForce: map[*instance]uint64{},
		ops: map[caller]string{}, repeated: map[string]bool{},
	}
	w.hooks = hooks{interceptCall: c.loseAnswer, onWrite: c.onWrite, onAction: c.onAction}
	return c
}

func (c *configAudit) fail(format string, args ...any) {
	c.problems = append(c.problems, fmt.Sprintf(format, args...))
}

func (c *configAudit) onWrite(o event.Object) {
	if o.Kind != event.KindConfiguration {
		return
	}
	var s config.Stored
	_ = json.Unmarshal(o.Value, &s)
	if s.Generation != uint64(len(c.byGen))+1 {
		c.fail("generation %d was written after %d generations", s.Generation, len(c.byGen))
	}
	if g, ok := c.byOp[s.OperationID]; ok {
		c.fail("%s was written as generation %d and as %d", s.OperationID, g, s.Generation)
	}
	c.objects = append(c.objects, o)
	c.byGen[s.Generation], c.byOp[s.OperationID] = s, s.Generation
}

func (c *configAudit) onAction(in *instance, a event.Action) {
	switch {
	case a.AdoptConfig != nil:
		g := a.AdoptConfig.Generation
		if g <= c.inForce[in] {
			c.fail("%s incarnation %d went from generation %d to %d", in.name, in.incarnation, c.inForce[in], g)
		}
		if _, ok := c.byGen[g]; !ok {
			c.fail("%s put generation %d in force, which was never accepted", in.name, g)
		}
		c.inForce[in] = g
	case a.AnswerApply != nil:
		c.checkAnswer(c.ops[caller{in.name, in.incarnation, a.AnswerApply.Apply}], *a.AnswerApply)
	}
}

func (c *configAudit) checkAnswer(op string, a event.AnswerApply) {
	g, stored := c.byOp[op]
	switch a.Kind {
	case errkind.None:
		if !stored || g != a.Generation {
			c.fail("%s was answered as accepted as generation %d; the platform has it as %d", op, a.Generation, g)
		}
	case errkind.ConfigConflict:
		if _, ok := c.byGen[a.Generation]; stored || !ok {
			c.fail("%s was answered with a conflict with generation %d; the platform has it as %d", op, a.Generation, g)
		}
	case errkind.PlatformUnavailable:
		if stored && !c.repeated[op] {
			c.fail("%s was answered that nothing changed; the platform has it as generation %d", op, g)
		}
	}
}

// loseAnswer loses the result of a configuration write. Depending on nextLoss,
// the write has taken effect, takes effect later, or never does.
func (c *configAudit) loseAnswer(in *instance, call event.PlatformCall) bool {
	write := call.Op == event.OpCreate || call.Op == event.OpUpdate
	if c.nextLoss == "" || !write || call.Object.Kind != event.KindConfiguration || c.w.platformDown || c.w.cutPlatform[in.name] {
		return false
	}
	switch c.nextLoss {
	case "after effect":
		c.w.platformCall(call)
	case "before effect":
		c.w.schedule("late write", func() { c.w.platformCall(call) })
	}
	c.nextLoss = ""
	r := event.PlatformResult{Call: call.Call, Status: event.PlatformUnknown}
	c.w.schedule("lost answer", func() { c.w.step(in, event.Event{PlatformResult: &r}) })
	return true
}

// apply sends a configuration file as an operator.
func (c *configAudit) apply(to, op string, base uint64, prepaid int64) caller {
	doc := exampleDocument(prepaid)
	doc.BasedOnGeneration = base
	in := c.w.nodes[to]
	who := caller{in.name, in.incarnation, c.w.handle + 1}
	c.ops[who] = op
	c.w.apply(to, op, doc)
	return who
}

// behind returns the instances that don't have the latest generation in force.
func (c *configAudit) behind() []string {
	var out []string
	for _, name := range c.w.nodeNames() {
		if g := c.w.nodes[name].node.configs.generation(); g != uint64(len(c.byGen)) {
			out = append(out, fmt.Sprintf("%s at %d of %d", name, g, len(c.byGen)))
		}
	}
	return out
}

func (c *configAudit) endFaults() {
	c.w.platformDown, c.nextLoss = false, ""
	clear(c.w.cutPlatform)
	clear(c.w.cutPeers)
	for _, name := range c.w.nodeNames() {
		c.w.nodes[name].paused = false
	}
}

// sentFile is a configuration file that an operator sent once.
type sentFile struct {
	op      string
	base    uint64
	prepaid int64
}

func (c *configAudit) actions(sent *[]sentFile) map[string]func(*rapid.T) {
	w := c.w
	names := w.nodeNames()
	node := func(rt *rapid.T) string { return rapid.SampledFrom(names).Draw(rt, "instance") }
	return map[string]func(*rapid.T){
		"apply": func(rt *rapid.T) {
			to := node(rt)
			o := sentFile{fmt.Sprintf("op-%d", len(*sent)+2), w.nodes[to].node.configs.generation(), rapid.Int64Range(1, 3).Draw(rt, "prepaid")}
			*sent = append(*sent, o)
			c.apply(to, o.op, o.base, o.prepaid)
		},
		"repeat apply": func(rt *rapid.T) {
			if len(*sent) > 0 {
				o := rapid.SampledFrom(*sent).Draw(rt, "operation")
				c.repeated[o.op] = true
				c.apply(node(rt), o.op, o.base, o.prepaid)
			}
		},
		"lose": func(rt *rapid.T) {
			c.nextLoss = rapid.SampledFrom([]string{"after effect", "before effect", "without effect"}).Draw(rt, "how")
		},
		"stale watch": func(rt *rapid.T) {
			o := rapid.SampledFrom(c.objects).Draw(rt, "object")
			w.step(w.nodes[node(rt)], event.Event{ObjectSeen: &event.ObjectSeen{Object: o}})
		},
		"restart":      func(rt *rapid.T) { w.startNode(node(rt)); w.listInstances() },
		"pause":        func(rt *rapid.T) { w.nodes[node(rt)].paused = rapid.Bool().Draw(rt, "paused") },
		"platform":     func(rt *rapid.T) { w.platformDown = rapid.Bool().Draw(rt, "down") },
		"cut platform": func(rt *rapid.T) { w.cutPlatform[node(rt)] = rapid.Bool().Draw(rt, "cut") },
		"cut peers":    func(rt *rapid.T) { w.cutPeers[pair(node(rt), node(rt))] = rapid.Bool().Draw(rt, "cut") },
		"arrive":       w.deliverAny,
		"arrive again": w.deliverAny,
		"arrive more":  w.deliverAny,
		"settle":       func(*rapid.T) { w.runFor(100 * time.Millisecond) },
		"tick":         func(rt *rapid.T) { w.tick(time.Duration(rapid.IntRange(1, 900).Draw(rt, "ms")) * time.Millisecond) },
		"": func(rt *rapid.T) {
			if len(c.problems) > 0 {
				rt.Fatalf("%v", c.problems)
			}
		},
	}
}

// TestConfigurationUnderRandomInterleavings has operators apply files
// concurrently at instances that restart and pause, with lost results, stale
// watches, network cuts and outages.
func TestConfigurationUnderRandomInterleavings(t *testing.T) {
	rapid.Check(t, func(rt *rapid.T) {
		w := newWorld(1)
		c := auditConfigs(w)
		for i := range 4 {
			w.startNode(fmt.Sprintf("n%d", i+1))
		}
		w.listInstances()
		c.apply("n1", "op-1", 0, 1)
		w.runFor(time.Second)
		var sent []sentFile
		rt.Repeat(c.actions(&sent))
		c.endFaults()
		w.runFor(10 * time.Second) // longer than any apply may take
		for who := range c.ops {
			in := w.nodes[who.instance]
			if _, ok := in.applies[who.handle]; in.incarnation == who.incarnation && !ok {
				rt.Fatalf("%s was never answered", c.ops[who])
			}
		}
		if late := c.behind(); len(late) > 0 || len(c.problems) > 0 {
			rt.Fatalf("behind: %v; problems: %v", late, c.problems)
		}
	})
}

// fleetOf returns n instances with generation 1 in force.
func fleetOf(n int) *configAudit {
	w := newWorld(1)
	c := auditConfigs(w)
	for i := range n {
		w.startNode(fmt.Sprintf("n%03d", i))
	}
	w.listInstances()
	c.apply("n000", "op-1", 0, 1)
	w.runFor(configBound)
	return c
}

func TestAcceptedConfigurationIsInForceInTime(t *testing.T) {
	for _, size := range []int{9, 330} {
		Convey(fmt.Sprintf("Given %d instances", size), t, func() {
			c := fleetOf(size)
			names := c.w.nodeNames()
			So(c.behind(), ShouldBeEmpty)
			Convey("all adopt a configuration in time if only the first reaches the platform", func() {
				for _, name := range names[1:] {
					c.w.cutPlatform[name] = true
				}
				c.apply(names[0], "op-2", 1, 2)
				c.w.runFor(configBound)
				So(c.behind(), ShouldBeEmpty)
			})
			Convey("all adopt a configuration in time if the last reaches only one peer and not the platform", func() {
				last, only := names[size-1], names[size/2]
				c.w.cutPlatform[last] = true
				for _, name := range names {
					c.w.cutPeers[pair(last, name)] = name != only
				}
				c.w.runFor(time.Second)
				c.apply(names[0], "op-2", 1, 2)
				c.w.runFor(configBound)
				So(c.behind(), ShouldBeEmpty)
			})
			Convey("all adopt a configuration in time if peers can't reach each other", func() {
				for i, a := range names {
					for _, b := range names[i:] {
						c.w.cutPeers[pair(a, b)] = true
					}
				}
				c.apply(names[0], "op-2", 1, 2)
				c.w.runFor(configBound)
				So(c.behind(), ShouldBeEmpty)
			})
			Convey("an instance that restarts during an outage of the platform fetches the configuration from a peer", func() {
				c.w.platformDown = true
				c.w.startNode(names[size-1])
				c.w.runFor(configBound)
				So(c.behind(), ShouldBeEmpty)
			})
		})
	}
}

func TestApplyAnswers(t *testing.T) {
	Convey("Given three instances", t, func() {
		c := fleetOf(3)
		answer := func(who caller) event.AnswerApply { return c.w.nodes[who.instance].applies[who.handle] }
		Convey("an accepted write whose result is lost is reported as accepted, even after a later write", func() {
			c.nextLoss = "after effect"
			first := c.apply("n000", "op-2", 1, 2)
			for len(c.byGen) < 2 {
				c.w.deliver(0)
			}
			c.w.nodes["n000"].paused = true
			c.w.nodes["n001"].node.configs.nextPoll = 0
			c.w.runFor(2 * time.Second)
			second := c.apply("n001", "op-3", 2, 3)
			c.w.runFor(time.Second)
			c.w.nodes["n000"].paused = false
			c.w.runFor(time.Second)
			So(answer(first), ShouldResemble, event.AnswerApply{Apply: first.handle, Generation: 2})
			So(answer(second), ShouldResemble, event.AnswerApply{Apply: second.handle, Generation: 3})
		})
		Convey("of two operators with the same file one gets a conflict", func() {
			a, b := c.apply("n000", "op-2", 1, 2), c.apply("n001", "op-3", 1, 2)
			c.w.runFor(time.Second)
			So([]errkind.Kind{answer(a).Kind, answer(b).Kind}, ShouldResemble, []errkind.Kind{errkind.None, errkind.ConfigConflict})
			So(answer(b).Generation, ShouldEqual, 2)
			So(answer(b).Problems, ShouldHaveLength, 1)
		})
		Convey("an apply that is repeated at another instance is recognized", func() {
			c.apply("n000", "op-2", 1, 2)
			c.w.runFor(time.Second)
			again := c.apply("n002", "op-2", 1, 2)
			c.w.runFor(time.Second)
			So(answer(again), ShouldResemble, event.AnswerApply{Apply: again.handle, Generation: 2})
		})
		Convey("an unreachable platform is read a bounded number of times", func() {
			reads := 0
			c.w.hooks.interceptCall = func(_ *instance, call event.PlatformCall) bool {
				if call.Object.Kind == event.KindConfiguration {
					reads++
				}
				return false
			}
			c.w.platformDown = true
			refused := c.apply("n000", "op-2", 1, 2)
			c.w.runFor(100 * time.Millisecond)
			So(reads, ShouldBeLessThanOrEqualTo, 2) // and perhaps one poll
			c.w.runFor(applyTimeout)
			So(answer(refused).Kind, ShouldEqual, errkind.PlatformUnavailable)
		})
		Convey("a lost result during an outage is never reported as nothing changed", func() {
			c.nextLoss = "after effect"
			first := c.apply("n000", "op-2", 1, 2)
			for len(c.byGen) < 2 {
				c.w.deliver(0)
			}
			c.w.platformDown = true
			c.w.runFor(readBackTimeout)
			So(answer(first).Kind, ShouldEqual, errkind.ConfigOutcomeUnknown)
			c.w.platformDown = false
			c.w.runFor(configBound)
			So(c.behind(), ShouldBeEmpty)
			again := c.apply("n001", "op-2", 1, 2)
			c.w.runFor(time.Second)
			So(answer(again), ShouldResemble, event.AnswerApply{Apply: again.handle, Generation: 2})
		})
		Convey("a restarted instance does not adopt a configuration from a stale list", func() {
			c.apply("n000", "op-2", 1, 2)
			c.w.runFor(time.Second)
			in := c.w.startNode("n002")
			c.w.step(in, event.Event{ObjectSeen: &event.ObjectSeen{Object: c.objects[0]}})
			So(in.node.configs.generation(), ShouldEqual, 0)
			c.w.runFor(time.Second)
			So(in.node.configs.generation(), ShouldEqual, 2)
		})
		Convey("an apply sent again to an instance that knows its generation only from peers gets no conflict", func() {
			for _, name := range c.w.nodeNames() {
				c.w.cutPeers[pair(name, "n001")] = true
			}
			c.apply("n000", "op-2", 1, 2)
			c.w.runFor(100 * time.Millisecond)
			intercept := c.w.hooks.interceptCall
			c.w.hooks.interceptCall = func(in *instance, call event.PlatformCall) bool {
				if in.name != "n001" || call.Op != event.OpGet || call.Object.Kind != event.KindConfiguration {
					return intercept(in, call)
				}
				stale := event.PlatformResult{Call: call.Call, Status: event.PlatformOK, Object: c.objects[0]}
				c.w.schedule("stale read", func() { c.w.step(in, event.Event{PlatformResult: &stale}) })
				return true
			}
			c.w.step(c.w.nodes["n001"], event.Event{PeerReceived: &event.PeerReceived{
				From: "n000", Incarnation: "1", Message: event.PeerMessage{Heartbeat: &event.Heartbeat{Generation: 2}},
			}})
			again := c.apply("n001", "op-2", 1, 2)
			c.w.runFor(200 * time.Millisecond)
			c.w.hooks.interceptCall = intercept
			c.w.runFor(configBound)
			So(answer(again), ShouldResemble, event.AnswerApply{Apply: again.handle, Generation: 2})
		})
		Convey("a platform that lost generations gets them back, and none is assigned twice", func() {
			c.apply("n000", "op-2", 1, 2)
			c.w.runFor(configBound)
			c.w.hooks.onWrite = nil
			c.w.objects[event.KindConfiguration][configName] = c.objects[0]
			late := c.apply("n001", "op-3", 1, 3)
			c.w.runFor(100 * time.Millisecond)
			So(answer(late).Kind, ShouldEqual, errkind.ConfigConflict)
			So(answer(late).Generation, ShouldEqual, 2)
			c.w.runFor(configBound)
			var s config.Stored
			So(json.Unmarshal(c.w.objects[event.KindConfiguration][configName].Value, &s), ShouldBeNil)
			So(s.Generation, ShouldEqual, 2)
		})
	})
}
