package pathbench

import (
	"bufio"
	"net/http"
	"os"
	"strconv"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"

	"plantainfield.example/bench/harness"
	"plantainfield.example/fleet/settings"
)

const (
	callerKey = "example-key-bursa-heat"
	binDir    = "../../bin"
	// The target rates are 30 times an instance's share of the load of the largest
	// fleet.
	targetRequests       = 280     // per second
	targetFrames         = 110_000 // per second
	tokensPerRequest     = targetFrames / targetRequests
	engines              = 3
	processorsPerProcess = "2"
)

const document = `{"basedOnGeneration":0,
"customers":[{"name":"bursa-heat","keys":[{"sha256":"b91f8355f22adff8c0f8dcc34b759b0ded5cb30809b0dcdcb672025c4537353e","budget":"heat"}]}],
"budgets":[{"name":"heat","customer":"bursa-heat","prepaidTokens":900000000000}],
"models":[{"name":"assistant","version":"1","contextTokens":4000,"maxOutputTokens":1000}],
"services":[],
"policies":{"grants":{"policy":"fixed","sizeTokens":1000000000},"limits":{"maxConcurrencyPerTarget":5000}}}`

// testbed is one instance in front of several engines, with a client of the
// instance and a client of the engines.
type testbed struct {
	// admin is the IP:port of the admin listener of the instance.
	admin               string
	direct, viaInstance *client
}

// start starts the processes, which run until the benchmark ends.
func start(b *testing.B, engineFlags ...string) *testbed {
	b.Helper()
	if _, err := os.Stat(binDir); err != nil {
		b.Skip("run make build first")
	}
	b.Setenv("GOMAXPROCS", processorsPerProcess)
	f, err := harness.NewFleet(binDir, b.TempDir(), "--writes-per-second", "5000", "--reads-per-second", "5000")
	check(b, err)
	b.Cleanup(f.Kill)
	var addresses []string
	for i := range engines {
		t, err := f.StartEngine("engine-"+strconv.Itoa(i), "bursa", []string{"assistant"}, engineFlags...)
		check(b, err)
		addresses = append(addresses, t.Instance.Address)
	}
	r, err := f.StartRouter("bursa-1", "bursa", func(s *settings.Settings) { s.LogLevel = "warn" })
	check(b, err)
	p := &testbed{r.Settings.Admin.Address, newClient(addresses...), newClient(r.Settings.Callers.Address)}
	p.apply(b)
	return p
}

// apply applies the configuration and waits until a request is answered.
func (p *testbed) apply(b *testing.B) {
	b.Helper()
	resp, err := http.Post("http://"+p.admin+"/v1/apply", "application/json", strings.NewReader(document))
	check(b, err)
	_ = resp.Body.Close()
	check(b, harness.Eventually(10*time.Second, "a request is answered", func() bool {
		_, err := p.viaInstance.send(0, 1)
		return err == nil
	}))
}

// processorSeconds returns the processor time that the instance has used, in
// seconds.
func (p *testbed) processorSeconds(b *testing.B) float64 {
	b.Helper()
	resp, err := http.Get("http://" + p.admin + "/metrics")
	check(b, err)
	defer resp.Body.Close()
	lines := bufio.NewScanner(resp.Body)
	for lines.Scan() {
		if v, ok := strings.CutPrefix(lines.Text(), "process_cpu_seconds_total "); ok {
			seconds, err := strconv.ParseFloat(v, 64)
			check(b, err)
			return seconds
		}
	}
	b.Fatal("the instance reports no processor time")
	return 0
}

func check(b *testing.B, err error) {
	b.Helper()
	if err != nil {
		b.Fatal(err)
	}
}

// latencies is a histogram of durations in microseconds.
type latencies struct{ h *hdrhistogram.Histogram }

func newLatencies() latencies { return latencies{hdrhistogram.New(1, 60_000_000, 3)} }

func (l latencies) add(d time.Duration) { _ = l.h.RecordValue(max(1, d.Microseconds())) }

// quantileMillis returns a quantile in milliseconds.
func (l latencies) quantileMillis(quantile float64) float64 {
	return float64(l.h.ValueAtQuantile(quantile)) / 1000
}

// result is the result of requests sent at a constant rate. Rates are measured
// over the window in which the load is steady: from when a tenth of the requests
// has been sent until the last one is sent.
type result struct {
	mu         sync.Mutex
	first      latencies
	total      latencies
	failed     int
	begin, end counts
	// cpuSeconds returns the processor time used so far, in seconds.
	cpuSeconds func() float64
}

// counts holds the counters at one time.
type counts struct {
	at         time.Time
	frames     int64
	cpuSeconds float64
}

func newResult() *result {
	return &result{first: newLatencies(), total: newLatencies(), cpuSeconds: func() float64 { return 0 }}
}

func (l *result) counts(c *client) counts { return counts{time.Now(), c.frames.Load(), l.cpuSeconds()} }

// run sends n requests at the target rate and waits for their answers.
func (l *result) run(c *client, n int) {
	var inFlight sync.WaitGroup
	start := time.Now()
	for i := range n {
		time.Sleep(time.Until(start.Add(time.Duration(i) * time.Second / targetRequests)))
		if i == n/10 {
			l.begin = l.counts(c)
		}
		inFlight.Go(func() { l.add(c.send(i, tokensPerRequest)) })
	}
	l.end = l.counts(c)
	inFlight.Wait()
}

func (l *result) add(s sample, err error) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if err != nil {
		l.failed++
		return
	}
	l.first.add(s.first)
	l.total.add(s.total)
}

func (l *result) framesPerSecond() float64 {
	return float64(l.end.frames-l.begin.frames) / l.end.at.Sub(l.begin.at).Seconds()
}

func (l *result) cores() float64 {
	return (l.end.cpuSeconds - l.begin.cpuSeconds) / l.end.at.Sub(l.begin.at).Seconds()
}

func (l *result) report(b *testing.B) {
	b.ReportMetric(float64(b.N-b.N/10)/l.end.at.Sub(l.begin.at).Seconds(), "requests/s")
	b.ReportMetric(l.framesPerSecond(), "frames/s")
	b.ReportMetric(l.first.quantileMillis(50), "first-p50-ms")
	b.ReportMetric(l.first.quantileMillis(99), "first-p99-ms")
	b.ReportMetric(l.total.quantileMillis(50), "total-p50-ms")
	b.ReportMetric(l.total.quantileMillis(99), "total-p99-ms")
	b.ReportMetric(float64(l.failed), "failed")
}

// BenchmarkTargetRate sends requests at the target rate, first to the engines
// directly and then through one instance. One operation is one request; run it with
// -benchtime 2800x for ten seconds of load.
func BenchmarkTargetRate(b *testing.B) {
	p := start(b, "--step", "2ms", "--step-per-stream", "0s", "--output-tokens", "1000", "--max-batch", "2000", "--prefill-per-second", "10000000")
	b.Run("direct", func(b *testing.B) {
		l := newResult()
		l.run(p.direct, b.N)
		l.report(b)
	})
	b.Run("through", func(b *testing.B) {
		l := newResult()
		l.cpuSeconds = func() float64 { return p.processorSeconds(b) }
		l.run(p.viaInstance, b.N)
		l.report(b)
		b.ReportMetric(l.cores(), "cores")
		b.ReportMetric(l.cores()*1e6/l.framesPerSecond(), "us-cpu/frame")
	})
}

// BenchmarkUnloaded sends one request at a time, alternately to an engine and
// through the instance. The difference is the latency that the instance adds.
func BenchmarkUnloaded(b *testing.B) {
	p := start(b, "--step", "1ms", "--step-per-stream", "0s", "--prefill-per-second", "10000000")
	direct, through := newResult(), newResult()
	for i := range b.N {
		direct.add(p.direct.send(i, 1))
		through.add(p.viaInstance.send(i, 1))
	}
	if direct.failed+through.failed > 0 {
		b.Fatalf("%d requests failed", direct.failed+through.failed)
	}
	for _, q := range []struct {
		name  string
		value float64
	}{{"p50", 50}, {"p99", 99}} {
		b.ReportMetric(direct.first.quantileMillis(q.value), "direct-first-"+q.name+"-ms")
		b.ReportMetric(through.first.quantileMillis(q.value)-direct.first.quantileMillis(q.value), "added-first-"+q.name+"-ms")
		b.ReportMetric(direct.total.quantileMillis(q.value), "direct-total-"+q.name+"-ms")
		b.ReportMetric(through.total.quantileMillis(q.value)-direct.total.quantileMillis(q.value), "added-total-"+q.name+"-ms")
	}
}
