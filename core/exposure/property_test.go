package exposure

import (
	"fmt"
	"math"
	"slices"
	"testing"
	"time"

	"pgregory.net/rapid"
)

// process is one incarnation of the instance under test, with a clock of its own that
// stands still while its machine is suspended.
type process struct {
	name      string
	holder    Holder
	clockRate float64
	clock     time.Duration
	running   bool
	suspended bool
	exposed   map[string]int64
	waiting   int64
}

// peerModel is one witness. Its clock goes on while it is suspended.
type peerModel struct {
	name      string
	witness   Witness
	clockRate float64
	clock     time.Duration
	suspended bool
	// unnamed is set while it is not a witness of the instance.
	unnamed bool
}

// packet is a message in transit. It may be lost, repeated or reordered.
type packet struct {
	label string
	run   func()
}

type fleetModel struct {
	rt        *rapid.T
	processes []*process
	witnesses []*peerModel
	packets   []packet
	// history holds the reports that were ever sent.
	history []packet
	lives   int
	ended   int
}

// Two clocks may differ by up to 4 in 100.
func drawRate(rt *rapid.T) float64 { return rapid.Float64Range(0.98, 1.02).Draw(rt, "clock rate") }

func (m *fleetModel) current() *process { return m.processes[len(m.processes)-1] }

func (m *fleetModel) start() {
	p := &process{
		name: fmt.Sprint("i", len(m.processes)), clockRate: drawRate(m.rt), running: true, exposed: map[string]int64{},
		clock: rapid.Custom(func(t *rapid.T) time.Duration {
			return time.Duration(rapid.IntRange(0, 5000).Draw(t, "clock")) * time.Millisecond
		}).Draw(m.rt, "clock at start"),
	}
	p.holder.Started = p.clock
	m.processes = append(m.processes, p)
}

func (m *fleetModel) advance(d time.Duration) {
	for _, w := range m.witnesses {
		w.clock += time.Duration(float64(d) * w.clockRate)
	}
	if p := m.current(); p.running && !p.suspended {
		p.clock += time.Duration(float64(d) * p.clockRate)
	}
}

// report sends the reports that are due at the running process.
func (m *fleetModel) report(p *process) {
	var names []string
	for _, w := range m.witnesses {
		if !w.unnamed {
			names = append(names, w.name)
		}
	}
	reports := p.holder.Reports(p.clock, names, p.waiting > 0, func() map[string]Use {
		uses := map[string]Use{}
		for budget, exposed := range p.exposed {
			uses[budget] = Use{Exposed: exposed, Waiting: p.waiting, Request: 50, Demand: float64(rapid.IntRange(0, 400).Draw(m.rt, "demand"))}
		}
		p.waiting = 0
		return uses
	})
	for _, w := range m.witnesses {
		if r := reports[w.name]; r != nil {
			sent := *r
			next := packet{"report " + p.name, func() { m.receive(w, p, sent) }}
			m.packets, m.history = append(m.packets, next), append(m.history, next)
		}
	}
}

// receive has a witness handle a report, however late it comes.
func (m *fleetModel) receive(w *peerModel, from *process, r Report) {
	if w.suspended {
		return
	}
	ack, ended := w.witness.Received(w.clock, "n", from.name, r)
	if ended != nil {
		m.checkEnded(*ended)
	}
	if ack == nil {
		return
	}
	m.packets = append(m.packets, packet{"acknowledgement", func() {
		if from.running && !from.suspended && ack.To == from.name {
			from.holder.Acknowledged(from.clock, w.name, *ack, func(budget string) int64 { return from.exposed[budget] })
		}
	}})
}

// checkEnded fails if the incarnation runs, or exposed more than a witness states.
func (m *fleetModel) checkEnded(e Ended) {
	m.ended++
	at := slices.IndexFunc(m.processes, func(p *process) bool { return p.name == e.Incarnation })
	p := m.processes[at]
	if p.running {
		m.rt.Fatalf("%s is said to have ended and runs", e.Incarnation)
	}
	for budget, most := range e.Exposed {
		if p.exposed[budget] > most {
			m.rt.Fatalf("%s exposed %d of %s, at most %d according to a witness", e.Incarnation, p.exposed[budget], budget, most)
		}
	}
}

// expose lets a process expose tokens if the marks allow it.
func (m *fleetModel) expose(p *process) {
	budget := fmt.Sprint("b", rapid.IntRange(0, maxMarks+4).Draw(m.rt, "budget"))
	tokens := int64(rapid.IntRange(1, 300).Draw(m.rt, "tokens"))
	if tokens <= p.holder.Headroom(p.clock, budget, p.exposed[budget]) {
		p.exposed[budget] += tokens
	} else {
		p.waiting = max(p.waiting, tokens)
	}
}

// exposeAll lets a process expose all that its marks allow.
func (m *fleetModel) exposeAll(p *process) {
	for budget, exposed := range p.exposed {
		if room := p.holder.Headroom(p.clock, budget, exposed); room < math.MaxInt64 {
			p.exposed[budget] += room
		}
	}
}

func (m *fleetModel) actions() map[string]func(*rapid.T) {
	running := func(do func(p *process)) func(*rapid.T) {
		return func(*rapid.T) {
			if p := m.current(); p.running && !p.suspended {
				do(p)
			}
		}
	}
	return map[string]func(*rapid.T){
		"advance": func(rt *rapid.T) {
			m.advance(time.Duration(rapid.IntRange(1, 800).Draw(rt, "ms")) * time.Millisecond)
		},
		"advance long": func(rt *rapid.T) {
			m.advance(time.Duration(rapid.IntRange(800, 5000).Draw(rt, "ms")) * time.Millisecond)
		},
		"report": running(m.report), "expose": running(m.expose), "expose all": running(m.exposeAll),
		"settle": running(func(p *process) {
			for budget := range p.exposed {
				p.exposed[budget] -= p.exposed[budget] / 10
			}
		}),
		"in touch": running(func(p *process) {
			for range rapid.IntRange(1, 6).Draw(m.rt, "rounds") {
				m.expose(p)
				m.report(p)
				if rapid.IntRange(0, 3).Draw(m.rt, "exposes all") == 0 {
					m.exposeAll(p)
				}
				m.deliverAll()
				m.advance(time.Duration(rapid.IntRange(50, 400).Draw(m.rt, "ms")) * time.Millisecond)
			}
		}),
		"deliver": func(rt *rapid.T) {
			if len(m.packets) == 0 {
				return
			}
			i := rapid.IntRange(0, len(m.packets)-1).Draw(rt, "which")
			next := m.packets[i]
			if !rapid.Bool().Draw(rt, "repeated") {
				m.packets = slices.Delete(m.packets, i, i+1)
			}
			next.run()
		},
		"deliver old ones again": func(rt *rapid.T) {
			if len(m.history) == 0 {
				return
			}
			first := rapid.IntRange(0, len(m.history)-1).Draw(rt, "first")
			count := rapid.IntRange(1, 4).Draw(rt, "count")
			for _, p := range m.history[first:min(len(m.history), first+count)] {
				p.run()
			}
		},
		"lose": func(rt *rapid.T) {
			if len(m.packets) > 0 {
				i := rapid.IntRange(0, len(m.packets)-1).Draw(rt, "which")
				m.packets = slices.Delete(m.packets, i, i+1)
			}
		},
		"suspend": func(rt *rapid.T) { m.current().suspended = rapid.Bool().Draw(rt, "suspended") },
		"change witnesses": func(rt *rapid.T) {
			if rapid.IntRange(0, 3).Draw(rt, "chance") == 0 {
				m.drawWitness().unnamed = rapid.Bool().Draw(rt, "unnamed")
			}
		},
		"suspend witness": func(rt *rapid.T) { m.drawWitness().suspended = rapid.Bool().Draw(rt, "suspended") },
		"restart": func(rt *rapid.T) {
			m.current().running = false
			m.advance(time.Duration(rapid.IntRange(0, 2500).Draw(rt, "ms")) * time.Millisecond)
			m.start()
		},
		"kill witness": func(rt *rapid.T) {
			m.lives++
			m.drawWitness().witness = Witness{Incarnation: fmt.Sprint("life ", m.lives)}
		},
	}
}

func (m *fleetModel) drawWitness() *peerModel {
	return rapid.SampledFrom(m.witnesses).Draw(m.rt, "witness")
}

// deliverAll delivers what is in transit, in order, and what follows from it.
func (m *fleetModel) deliverAll() {
	for range 4 {
		packets := m.packets
		m.packets = nil
		for _, p := range packets {
			p.run()
		}
	}
}

// TestNoIncarnationExposedMoreThanAWitnessStates guards against tokens that are granted
// again although a process that ended had used them, or still runs.
func TestNoIncarnationExposedMoreThanAWitnessStates(t *testing.T) {
	ended := 0
	rapid.Check(t, func(rt *rapid.T) {
		m := &fleetModel{rt: rt}
		for _, name := range []string{"w1", "w2"} {
			m.witnesses = append(m.witnesses, &peerModel{name: name, witness: Witness{Incarnation: name}, clockRate: drawRate(rt)})
		}
		m.start()
		rt.Repeat(m.actions())
		ended += m.ended
	})
	if ended == 0 {
		t.Error("no witness ever stated what an incarnation had exposed")
	}
	t.Logf("%d statements of witnesses", ended)
}
