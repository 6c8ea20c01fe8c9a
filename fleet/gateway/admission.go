package gateway

import (
	"math/rand/v2"
	goruntime "runtime"
	"sync"
	"sync/atomic"
	"time"

	"github.com/prometheus/client_golang/prometheus"
	"go.uber.org/zap"

	"plantainfield.example/core/overload"
	"plantainfield.example/fleet/runtime"
)

// minOverloadedRequests is the number of open requests up to which none is refused
// for lack of processor time: something else uses it then.
const minOverloadedRequests = 8

// admission decides whether the instance has the processor time for a request.
type admission struct {
	loop *runtime.Loop
	log  *zap.Logger
	// open returns the number of requests in progress.
	open func() int64
	// began is the moment that the gate's times are measured from.
	began time.Time
	// probing is when a goroutine was queued that measures how long the scheduler takes
	// to run it, as the time since began, or 0 if there is none.
	probing atomic.Int64
	// mu guards the fields below.
	mu   sync.Mutex
	gate *overload.Gate
	// short is what was last logged, refused the number of requests refused since, and
	// nextLog when it is logged again while the instance is short.
	short   bool
	refused int
	nextLog time.Duration
}

// shortLogPeriod is the time between two log lines while the instance is short of
// processor time.
const shortLogPeriod = time.Second

func newAdmission(loop *runtime.Loop, maxWorkWait time.Duration, open func() int64, log *zap.Logger) *admission {
	a := &admission{loop: loop, open: open, log: log, began: time.Now(), gate: overload.NewGate(maxWorkWait)}
	loop.SetWaitHandler(a.observe)
	return a
}

// observe records how long an event waited for the loop.
func (a *admission) observe(wait time.Duration) {
	a.record(overload.Loop, wait)
	if a.open() > minOverloadedRequests {
		a.probeScheduler()
	}
}

// probeScheduler measures, beside the loop, how long a goroutine that is last in the
// scheduler's queue waits, as those that the network wakes are.
func (a *admission) probeScheduler() {
	queued := time.Since(a.began)
	if !a.probing.CompareAndSwap(0, int64(queued)) {
		return
	}
	go func() {
		goruntime.Gosched()
		a.probing.Store(0)
		a.record(overload.Scheduler, time.Since(a.began)-queued)
	}()
}

// pending returns how long the oldest work that was not begun yet has waited.
func (a *admission) pending(now time.Duration) time.Duration {
	stalled := a.loop.Stalled()
	if queued := a.probing.Load(); queued > 0 {
		stalled = max(stalled, now-time.Duration(queued))
	}
	return stalled
}

func (a *admission) record(source overload.Source, wait time.Duration) {
	a.mu.Lock()
	defer a.mu.Unlock()
	now := time.Since(a.began)
	a.gate.Observe(now, source, wait)
	a.logChange(now, a.pending(now))
}

// admit reports whether a request of a customer is taken. If it is not, it returns
// when its caller may come back.
func (a *admission) admit(customer string) (admitted bool, retryAfter time.Duration) {
	a.mu.Lock()
	defer a.mu.Unlock()
	now := time.Since(a.began)
	pending := a.pending(now)
	a.logChange(now, pending)
	if a.gate.Admit(now, pending, customer) || a.open() <= minOverloadedRequests {
		return true, 0
	}
	a.refused++
	return false, a.gate.RetryAfter(now, pending, rand.Float64())
}

// collectors returns metrics of how long work waits for processor time.
func (a *admission) collectors() []prometheus.Collector {
	state := func() (wait time.Duration, short bool) {
		a.mu.Lock()
		defer a.mu.Unlock()
		now := time.Since(a.began)
		pending := a.pending(now)
		return a.gate.Wait(now, pending), a.gate.Short(now, pending)
	}
	return []prometheus.Collector{
		prometheus.NewGaugeFunc(prometheus.GaugeOpts{Name: "plantainfield_work_wait_seconds", Help: "How long work that is ready waits for processor time."}, func() float64 {
			wait, _ := state()
			return wait.Seconds()
		}),
		prometheus.NewGaugeFunc(prometheus.GaugeOpts{Name: "plantainfield_processor_time_short", Help: "1 while requests are refused because the instance is short of processor time, otherwise 0."}, func() float64 {
			if _, short := state(); short {
				return 1
			}
			return 0
		}),
	}
}

// logChange logs when the instance begins or ceases to be short of processor time, and
// how many requests it has refused meanwhile. The caller holds mu.
func (a *admission) logChange(now, pending time.Duration) {
	short := a.gate.Short(now, pending)
	if short == a.short && (!short || now < a.nextLog) {
		return
	}
	a.log.Info("processor time short", zap.Bool("short", short), zap.Duration("wait", a.gate.Wait(now, pending)), zap.Duration("pending", pending), zap.Int("refused", a.refused))
	a.short, a.refused, a.nextLog = short, 0, now+shortLogPeriod
}
