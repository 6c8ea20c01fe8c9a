package node

import (
	"encoding/json"
	"fmt"
	"slices"
	"strings"
	"time"

	"pgregory.net/rapid"

	"plantainfield.example/core/bill"
	"plantainfield.example/core/config"
	"plantainfield.example/core/errkind"
	"plantainfield.example/core/event"
)

// world simulates a fleet of nodes over a fake platform, fake targets and a
// fake network. Undelivered messages, calls and results wait in one list, and a
// test chooses which is delivered next. Invariants are checked against the
// records of the fakes.
type world struct {
	now     time.Duration
	seed    uint64
	objects map[event.ObjectKind]map[string]event.Object
	version int
	// ledgerVersion numbers the versions of the ledger, which may go back.
	ledgerVersion int
	// era is the platform's era, or 0 for a platform without eras.
	era     uint64
	nodes   map[string]*instance
	pending []delivery
	targets map[string]*fakeTarget
	answers map[caller]answer
	callers []caller
	// soleProcess is Settings.SoleProcess of the instances, disabled their
	// Settings.Disabled.
	soleProcess bool
	disabled    Features
	// platformDown fails all platform calls; cutPlatform fails those of some
	// instances.
	platformDown bool
	cutPlatform  map[string]bool
	// cutPeers drops messages between pairs of instances, "a|b" with a < b,
	// as pair returns it.
	cutPeers map[string]bool
	// cutTargets names instances whose attempts and probes reach no target.
	cutTargets map[string]bool
	problems   []string
	handle     uint64
	// loseAnswers drops the platform's results of writes after they took effect.
	loseAnswers bool
	// handOvers are the requests that instances handed over to others.
	handOvers []*handOver
	// loss is how the result of the next write that reaches the platform is lost.
	loss writeLoss
	// poisonBodies holds the hashes of the bodies that crash each target that
	// runs them.
	poisonBodies map[string]bool
	// holders are the incarnations of instances that ever held each bill line.
	holders map[bill.RequestID]map[peerIncarnation]bool
	hooks   hooks
}

// hooks let a test observe the fakes and inject faults; each may be nil.
type hooks struct {
	// interceptCall may handle a platform call in place of the fake platform, and
	// returns true if it did.
	interceptCall func(in *instance, call event.PlatformCall) bool
	// onWrite is called for each write that took effect.
	onWrite func(o event.Object)
	// receive returns the event that a node gets in place of one that has arrived.
	receive func(in *instance, e event.Event) event.Event
	// onAction is called for each action of a node.
	onAction func(in *instance, a event.Action)
}

// writeLoss is one way in which the result of a write is lost.
type writeLoss int

const (
	loseNothing writeLoss = iota
	loseWrite             // the write never takes effect
	loseAnswer            // the write took effect
	loseLate              // the write takes effect after its failure is reported
)

// instance is one incarnation of an instance.
type instance struct {
	name        string
	incarnation int
	node        *Node
	paused      bool
	// suspendedFor is for how long the machine was suspended, which the clock of Now
	// doesn't count.
	suspendedFor time.Duration
	// stopped is set by ShutdownDone.
	stopped bool
	applies map[uint64]event.AnswerApply
}

// delivery is a message, call or result in transit. run is called when it
// arrives.
type delivery struct {
	label string
	run   func()
}

// caller identifies one request as sent to one incarnation of an instance.
type caller struct {
	instance    string
	incarnation int
	handle      uint64
}

// answer is the answer that a caller got.
type answer struct {
	request  event.RequestArrived
	complete bool
	replayed bool
	// body is the replayed body.
	body     string
	refused  errkind.Kind
	ran      errkind.Ran
	done     bool
	attempts []string
}

// targetRun is one attempt as recorded by a target.
type targetRun struct {
	attempt  string
	customer string
	key      string
	budget   string
	tokens   int64
}

// fakeTarget records the attempts that ran.
type fakeTarget struct {
	info event.Instance
	dead bool
	runs []targetRun
	// cutNext is set to lose the answer of the next attempt; crashes counts the
	// crashes of the target.
	cutNext bool
	crashes int
	// rejectNext is set to reject the next attempt; rejected are the keys of the
	// requests that were.
	rejectNext bool
	rejected   []string
}

func newWorld(seed uint64) *world {
	return &world{
		seed: seed, objects: map[event.ObjectKind]map[string]event.Object{}, nodes: map[string]*instance{},
		targets: map[string]*fakeTarget{}, answers: map[caller]answer{}, cutPlatform: map[string]bool{}, cutPeers: map[string]bool{}, cutTargets: map[string]bool{},
		poisonBodies: map[string]bool{}, holders: map[bill.RequestID]map[peerIncarnation]bool{},
	}
}

func (w *world) nodeNames() []string { return sortedKeys(w.nodes) }

// startNode starts a new incarnation of an instance.
func (w *world) startNode(name string) *instance {
	incarnation := 1
	if old := w.nodes[name]; old != nil {
		incarnation = old.incarnation + 1
		w.failHandOvers(old)
	}
	in := &instance{
		name: name, incarnation: incarnation, applies: map[uint64]event.AnswerApply{},
		node: New(Settings{Name: name, Incarnation: fmt.Sprint(incarnation), DataCentre: "dc", LedgerShards: 2, SoleProcess: w.soleProcess, Disabled: w.disabled}),
	}
	w.nodes[name] = in
	return in
}

func (w *world) addTarget(name, serves string) {
	w.targets[name] = &fakeTarget{info: event.Instance{
		Name: name, Role: event.RoleEngine, Address: name + ":1", Serves: []string{serves}, State: event.StateLive,
	}}
}

// instanceList returns the instance list of the platform, with all instances
// and targets.
func (w *world) instanceList() []event.Instance {
	var list []event.Instance
	for _, name := range w.nodeNames() {
		list = append(list, event.Instance{Name: name, Role: event.RoleRouter, Address: name + ":1", PeerAddress: name + ":2", State: event.StateLive})
	}
	for _, name := range sortedKeys(w.targets) {
		list = append(list, w.targets[name].info)
	}
	return list
}

// step passes an event to an incarnation of an instance, unless the incarnation
// has ended.
func (w *world) step(in *instance, e event.Event) {
	if w.nodes[in.name] != in || in.stopped {
		return
	}
	if in.paused { // delivered when the process resumes
		w.schedule("paused "+in.name, func() { w.step(in, e) })
		return
	}
	w.seed++
	if w.hooks.receive != nil {
		e = w.hooks.receive(in, e)
	}
	for _, a := range in.node.Step(event.Input{Now: w.now - in.suspendedFor, Uptime: w.now, Seed: w.seed, Event: e}) {
		w.execute(in, a)
	}
	w.recordHolders(in)
}

func (w *world) recordHolders(in *instance) {
	for id := range in.node.bills.held.byID {
		if w.holders[id] == nil {
			w.holders[id] = map[peerIncarnation]bool{}
		}
		w.holders[id][peerIncarnation{in.name, fmt.Sprint(in.incarnation)}] = true
	}
}

func (w *world) schedule(label string, run func()) {
	w.pending = append(w.pending, delivery{label, run})
}

// deliver delivers the i-th pending item. The others keep their order.
func (w *world) deliver(i int) {
	next := w.pending[i]
	if i == 0 {
		w.pending = w.pending[1:] // the common case, without copying the rest
	} else {
		w.pending = slices.Delete(w.pending, i, i+1)
	}
	next.run()
}

// deliverAny delivers a random pending item.
func (w *world) deliverAny(rt *rapid.T) {
	if len(w.pending) > 0 {
		w.deliver(rapid.IntRange(0, len(w.pending)-1).Draw(rt, "which"))
	}
}

// disconnectCaller closes the connection of a random caller whose incarnation
// still runs.
func (w *world) disconnectCaller(rt *rapid.T) {
	if len(w.callers) == 0 {
		return
	}
	c := rapid.SampledFrom(w.callers).Draw(rt, "caller")
	if in := w.nodes[c.instance]; in.incarnation == c.incarnation {
		w.step(in, event.Event{CallerGone: &event.CallerGone{Request: c.handle}})
	}
}

// disruptTarget kills or revives a random target, and sets whether the answer of
// its next attempt is lost.
func (w *world) disruptTarget(rt *rapid.T) {
	target := w.targets[rapid.SampledFrom([]string{"t1", "t2"}).Draw(rt, "target")]
	target.dead = rapid.Bool().Draw(rt, "dead")
	target.cutNext = rapid.Bool().Draw(rt, "cut next")
}

// runFor delivers everything pending in order, with ticks in between, for a
// span of virtual time.
func (w *world) runFor(span time.Duration) {
	for end := w.now + span; w.now < end; {
		for n := len(w.pending); n > 0 && len(w.pending) > 0; n-- {
			w.deliver(0)
		}
		w.tick(event.TickPeriod)
	}
}

func (w *world) tick(d time.Duration) {
	w.now += d
	for _, name := range w.nodeNames() {
		if !w.nodes[name].paused {
			w.step(w.nodes[name], event.Event{Tick: &event.Tick{}})
		}
	}
}

func (w *world) listInstances() {
	for _, name := range w.nodeNames() {
		w.step(w.nodes[name], event.Event{InstancesListed: &event.InstancesListed{Instances: w.instanceList()}})
	}
}

func (w *world) execute(in *instance, a event.Action) {
	if w.hooks.onAction != nil {
		w.hooks.onAction(in, a)
	}
	switch {
	case a.PlatformCall != nil:
		call := *a.PlatformCall
		w.schedule("platform "+string(call.Op), func() { w.deliverToPlatform(in, call) })
	case a.SendPeer != nil:
		m := *a.SendPeer
		w.schedule("peer", func() { w.deliverToPeer(in, m) })
	case a.Dispatch != nil:
		d := *a.Dispatch
		w.recordAttempt(in, d)
		w.schedule("dispatch", func() { w.deliverDispatch(in, d) })
	case a.ReleaseAnswer != nil:
		w.answer(in, a.ReleaseAnswer.Request, func(an *answer) { an.complete = true })
	case a.ReplayAnswer != nil:
		w.answer(in, a.ReplayAnswer.Request, func(an *answer) { an.complete, an.replayed, an.body = true, true, string(a.ReplayAnswer.Answer.Body) })
	case a.Refuse != nil:
		w.answer(in, a.Refuse.Request, func(an *answer) { an.refused, an.ran = a.Refuse.Kind, a.Refuse.Ran })
	case a.ProbeTarget != nil:
		t := w.targets[a.ProbeTarget.Target]
		probed := event.TargetProbed{Target: a.ProbeTarget.Target, Address: a.ProbeTarget.Address, Reached: t != nil && !t.dead && !w.cutTargets[in.name]}
		w.schedule("probe", func() { w.step(in, event.Event{TargetProbed: &probed}) })
	case a.HandOver != nil:
		w.handOver(in, *a.HandOver)
	case a.AnswerApply != nil:
		in.applies[a.AnswerApply.Apply] = *a.AnswerApply
	case a.ShutdownDone != nil:
		in.stopped = true
	}
}

func (w *world) recordAttempt(in *instance, d event.Dispatch) {
	c := caller{in.name, in.incarnation, d.Request}
	an := w.answers[c]
	an.attempts = append(an.attempts, d.Attempt)
	w.answers[c] = an
}

func (w *world) answer(in *instance, handle uint64, set func(*answer)) {
	c := caller{in.name, in.incarnation, handle}
	an := w.answers[c]
	if an.done {
		w.problems = append(w.problems, fmt.Sprintf("request %+v was answered twice", c))
	}
	set(&an)
	an.done = true
	w.answers[c] = an
	w.handOverAnswered(c)
}

// send sends a request to an instance.
func (w *world) send(to string, r event.RequestArrived) caller {
	w.handle++
	r.Request = w.handle
	in := w.nodes[to]
	c := caller{in.name, in.incarnation, r.Request}
	w.answers[c] = answer{request: r}
	w.callers = append(w.callers, c)
	w.step(in, event.Event{RequestArrived: &r})
	return c
}

func (w *world) apply(to string, operation string, doc config.Document) uint64 {
	raw, _ := json.Marshal(doc)
	w.handle++
	h := w.handle
	w.step(w.nodes[to], event.Event{ApplyRequested: &event.ApplyRequested{Apply: h, OperationID: operation, Document: raw}})
	return h
}

func pair(a, b string) string { return min(a, b) + "|" + max(a, b) }

func (w *world) deliverToPeer(from *instance, m event.SendPeer) {
	to := w.nodes[m.To]
	if to == nil || w.cutPeers[pair(from.name, m.To)] {
		return
	}
	w.step(to, event.Event{PeerReceived: &event.PeerReceived{From: from.name, Incarnation: fmt.Sprint(from.incarnation), Message: m.Message}})
}

// deliverDispatch runs an attempt at its target if that is alive.
func (w *world) deliverDispatch(in *instance, d event.Dispatch) {
	end := event.AttemptEnded{Attempt: d.Attempt, Outcome: event.AttemptNotStarted}
	t := w.targets[d.Target]
	crashesBefore := 0
	if t != nil && !t.dead && !w.cutTargets[in.name] {
		req := w.answers[caller{in.name, in.incarnation, d.Request}].request
		if t.rejectNext {
			t.rejectNext = false
			t.rejected = append(t.rejected, req.Key)
			end.TargetBusy = true
			w.schedule("attempt end", func() { w.step(in, event.Event{AttemptEnded: &end}) })
			return
		}
		used := max(1, d.MaxTokens*int64(1+w.seed%4)/4)
		t.runs = append(t.runs, targetRun{d.Attempt, req.Customer, req.Key, req.Budget, used})
		end = event.AttemptEnded{Attempt: d.Attempt, Outcome: event.AttemptCompleted, Usage: used, UsageKnown: true}
		if !req.Idempotent {
			end.Answer = &event.RecordedAnswer{Status: 200, Body: []byte(d.Attempt)}
		}
		w.injectFailure(t, req, &end)
		crashesBefore = t.crashes
	}
	w.schedule("attempt end", func() {
		if t != nil && t.crashes > crashesBefore { // the target crashed while the attempt ran
			end = event.AttemptEnded{Attempt: d.Attempt, Outcome: event.AttemptCrashed}
		}
		w.step(in, event.Event{AttemptEnded: &end})
	})
}

// injectFailure crashes the target or loses the answer of an attempt that it
// runs.
func (w *world) injectFailure(t *fakeTarget, req event.RequestArrived, end *event.AttemptEnded) {
	switch {
	case w.poisonBodies[req.BodyHash]:
		t.crashes++
		*end = event.AttemptEnded{Attempt: end.Attempt, Outcome: event.AttemptCrashed}
	case t.cutNext:
		t.cutNext = false
		*end = event.AttemptEnded{Attempt: end.Attempt, Outcome: event.AttemptFailed}
	}
}

// exampleDocument returns a configuration with one customer that has one
// budget.
func exampleDocument(prepaid int64) config.Document {
	d := config.Defaults()
	d.Customers = []config.Customer{{Name: "c", Keys: []config.Key{{SHA256: strings.Repeat("ab", 32), Budget: "b"}}}}
	d.Budgets = []config.Budget{{Name: "b", Customer: "c", PrepaidTokens: prepaid}}
	d.Models = []config.Model{{Name: "m", Version: "1", ContextTokens: 1000, MaxOutputTokens: 100}}
	d.Policies.Grants.SizeTokens = 200
	return d
}

func exampleRequest(key string, tokens int64, idempotent bool) event.RequestArrived {
	return event.RequestArrived{
		Customer: "c", Budget: "b", Key: key, BodyHash: "hash-" + key, Kind: event.KindModel, Serves: "m",
		Idempotent: idempotent, WorstCaseTokens: tokens,
	}
}

// readyWorld returns a world of n instances with a configuration in force and
// two targets.
func readyWorld(n int, prepaid int64) *world {
	w := newWorld(1)
	for i := range n {
		w.startNode(fmt.Sprintf("n%d", i+1))
	}
	w.addTarget("t1", "m")
	w.addTarget("t2", "m")
	w.listInstances()
	w.apply("n1", "op-1", exampleDocument(prepaid))
	w.runFor(3 * time.Second)
	return w
}
