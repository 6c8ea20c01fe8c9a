package callerstest

import (
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net"
	"net/http"
	"net/http/httptest"
	"path/filepath"
	"strings"
	"sync/atomic"
	"testing"
	"time"

	"go.uber.org/fx"
	"go.uber.org/zap"

	"plantainfield.example/bench/harness"
	"plantainfield.example/core/audit"
	"plantainfield.example/core/event"
	"plantainfield.example/core/node"
	"plantainfield.example/fleet/apierror"
	"plantainfield.example/fleet/daemon"
	"plantainfield.example/fleet/platform"
	"plantainfield.example/fleet/settings"
	"plantainfield.example/standins/engine"
	standin "plantainfield.example/standins/platform"
	"plantainfield.example/standins/runlog"
	"plantainfield.example/standins/service"
)

const (
	// callerKey is the API key of the only customer; the configuration contains
	// its SHA-256 hash.
	callerKey   = "example-key-bursa-heat"
	waitTimeout = 20 * time.Second
	peerKey     = "rig-peer-key-0123456789"
)

// swappableHandler delegates to a handler that a test can replace while it serves.
type swappableHandler struct{ handler atomic.Pointer[http.Handler] }

func (s *swappableHandler) set(h http.Handler) { s.handler.Store(&h) }

func (s *swappableHandler) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	(*s.handler.Load()).ServeHTTP(w, r)
}

// fixture is one daemon with the stand-ins that it talks to.
type fixture struct {
	t        *testing.T
	settings settings.Settings
	app      *fx.App
	platform *platform.Client
	// Tests can replace the handlers of engine and service; engineHandler is the
	// original handler of the engine.
	engine, service swappableHandler
	engineHandler   http.Handler
	// engineAddress and platformAddress are IP:port.
	engineAddress, platformAddress string
	// runLogPath is the file of the run log of engine and service.
	runLogPath string
}

// options configure a fixture.
type options struct {
	limits func(*settings.Limits)
	engine engine.Options
}

func newFixture(t *testing.T, o options) *fixture {
	t.Helper()
	r := newStandins(t, o)
	r.start()
	return r
}

// newStandins returns a fixture whose daemon has not been started.
func newStandins(t *testing.T, o options) *fixture {
	t.Helper()
	r := &fixture{t: t, runLogPath: filepath.Join(t.TempDir(), "runs")}
	log, err := runlog.Open(r.runLogPath)
	requireNoError(t, err)
	r.startEngine(o.engine, log)
	r.service.set(service.New(service.Options{Name: "records-1", Log: log}).Handler())
	services := r.listen(&r.service)
	r.platformAddress = r.listen(standin.New(standin.Options{WritesPerSecond: 10_000, ReadsPerSecond: 10_000}).Handler())
	r.platform = platform.NewClient(r.platformAddress, time.Second)
	r.register(event.Instance{Name: "engine-1", Role: event.RoleEngine, DataCentre: "bursa", Address: r.engineAddress, Serves: []string{"assistant"}, State: event.StateLive})
	r.register(event.Instance{Name: "records-1", Role: event.RoleService, DataCentre: "bursa", Address: services, Serves: []string{"records"}, State: event.StateLive})
	r.settings = r.newSettings(o)
	return r
}

func (r *fixture) startEngine(o engine.Options, log *runlog.Log) {
	o.Name, o.Log = "engine-1", log
	if o.MaxBatch == 0 {
		o.MaxBatch = 64
	}
	if o.OutputTokens == 0 {
		o.OutputTokens = 20
	}
	o.PrefillPerSecond, o.CachedBlocks = 1_000_000, 1000
	e, err := engine.New(o)
	requireNoError(r.t, err)
	r.engineHandler = e.Handler()
	r.engine.set(r.engineHandler)
	r.engineAddress = r.listen(&r.engine)
}

// setChatHandler replaces the engine's handler of chat requests only.
func (r *fixture) setChatHandler(h http.Handler) {
	mux := http.NewServeMux()
	mux.Handle("/", r.engineHandler)
	mux.Handle(chatPath, h)
	r.engine.set(mux)
}

// listen serves a handler on loopback until the test ends and returns the IP:port.
func (r *fixture) listen(h http.Handler) string {
	s := httptest.NewServer(h)
	r.t.Cleanup(func() {
		s.CloseClientConnections()
		s.Close()
	})
	return strings.TrimPrefix(s.URL, "http://")
}

func (r *fixture) newSettings(o options) settings.Settings {
	s := settings.Defaults()
	s.Name, s.DataCentre, s.PeerKey, s.LogLevel = "bursa-1", "bursa", peerKey, "error"
	s.Platform.Address = r.platformAddress
	s.Platform.FleetCallsPerSecond = 10_000
	for _, l := range []*settings.Listener{&s.Callers, &s.Peers, &s.Admin} {
		address, err := harness.FreeAddress()
		requireNoError(r.t, err)
		l.Address = address
	}
	if o.limits != nil {
		o.limits(&s.Limits)
	}
	return s
}

func (r *fixture) register(in event.Instance) {
	raw, err := json.Marshal(in)
	requireNoError(r.t, err)
	res := r.platform.Do(context.Background(), event.PlatformCall{Op: event.OpCreate, Object: event.Object{Kind: event.KindInstance, Name: in.Name, Value: raw}})
	if res.Status != event.PlatformOK {
		r.t.Fatalf("register %s: %s", in.Name, res.Status)
	}
}

// start starts the daemon in this process, applies the configuration and waits until
// the daemon is ready.
func (r *fixture) start() {
	r.app = daemon.New(&r.settings, zap.NewNop())
	requireNoError(r.t, r.app.Start(context.Background()))
	r.t.Cleanup(func() { _ = r.app.Stop(context.Background()) })
	r.apply()
}

// apply applies the configuration and waits until the daemon is ready.
func (r *fixture) apply() {
	resp, err := http.Post("http://"+r.settings.Admin.Address+"/v1/apply", "application/json", strings.NewReader(document))
	requireNoError(r.t, err)
	raw, _ := io.ReadAll(resp.Body)
	_ = resp.Body.Close()
	if resp.StatusCode != http.StatusOK {
		r.t.Fatalf("apply: %s %s", resp.Status, raw)
	}
	r.eventually("the instance is ready and knows both targets", func() bool {
		d := r.dump()
		return d.Ready && len(d.Status.Targets) == 2
	})
}

const document = `{"basedOnGeneration":0,
"customers":[{"name":"bursa-heat","keys":[{"sha256":"b91f8355f22adff8c0f8dcc34b759b0ded5cb30809b0dcdcb672025c4537353e","budget":"heat"}]}],
"budgets":[{"name":"heat","customer":"bursa-heat","prepaidTokens":900000000}],
"models":[{"name":"assistant","version":"1","contextTokens":400000,"maxOutputTokens":200000}],
"services":[{"name":"records","tokensPerCall":20,"nonIdempotent":[{"method":"POST","path":"/bookings"}]}],
"policies":{"grants":{"policy":"fixed","sizeTokens":1000000}}}`

func (r *fixture) dump() node.Dump {
	r.t.Helper()
	resp, err := http.Get("http://" + r.settings.Admin.Address + "/v1/dump")
	requireNoError(r.t, err)
	defer resp.Body.Close()
	var d node.Dump
	requireNoError(r.t, json.NewDecoder(resp.Body).Decode(&d))
	return d
}

// eventually waits until a condition holds.
func (r *fixture) eventually(what string, condition func() bool) {
	r.t.Helper()
	if err := harness.Eventually(waitTimeout, what, condition); err != nil {
		r.t.Fatal(err)
	}
}

// waitIdle waits until the daemon has no request, no reservation and no bill or
// begun record that is not yet durable.
func (r *fixture) waitIdle() {
	r.t.Helper()
	r.eventually("nothing is left in the state dump", func() bool {
		d := r.dump()
		reserved := int64(0)
		for _, a := range d.Accounts {
			reserved += a.Reserved
		}
		return len(d.Requests) == 0 && reserved == 0 && d.PendingBills == 0 && d.PendingBegun == 0
	})
}

// audit compares the ledger and the bills on the platform.
func (r *fixture) audit() audit.Report {
	r.t.Helper()
	ledgers, _, err := r.platform.List(context.Background(), event.KindLedger)
	requireNoError(r.t, err)
	bills, _, err := r.platform.List(context.Background(), event.KindBillSegment)
	requireNoError(r.t, err)
	report, err := audit.Run(ledgers, bills)
	requireNoError(r.t, err)
	return report
}

// runEntries returns the run log entries with an event name.
func (r *fixture) runEntries(name string) []runlog.Entry {
	r.t.Helper()
	all, err := runlog.Read(r.runLogPath)
	requireNoError(r.t, err)
	var out []runlog.Entry
	for _, e := range all {
		if e.Event == name {
			out = append(out, e)
		}
	}
	return out
}

// answer is the response that a caller received.
type answer struct {
	status int
	header http.Header
	body   string
	err    error
}

// errorDetail returns the error in the body of the answer.
func (a answer) errorDetail() apierror.Detail {
	var b apierror.Body
	_ = json.Unmarshal([]byte(a.body), &b)
	return b.Error
}

// send sends a request with the caller's API key. headers are alternating names and
// values.
func (r *fixture) send(method, path string, body io.Reader, headers ...string) answer {
	r.t.Helper()
	req := r.request(method, path, body, headers...)
	resp, err := http.DefaultClient.Do(req)
	if err != nil {
		return answer{err: err}
	}
	defer resp.Body.Close()
	raw, err := io.ReadAll(resp.Body)
	return answer{resp.StatusCode, resp.Header, string(raw), err}
}

func (r *fixture) request(method, path string, body io.Reader, headers ...string) *http.Request {
	r.t.Helper()
	req, err := http.NewRequest(method, "http://"+r.settings.Callers.Address+path, body)
	requireNoError(r.t, err)
	req.Header.Set("Authorization", "Bearer "+callerKey)
	for i := 0; i+1 < len(headers); i += 2 {
		req.Header.Set(headers[i], headers[i+1])
	}
	return req
}

const chatPath = "/v1/chat/completions"

// chatBody returns the body of a chat completion request.
func chatBody(stream bool, maxTokens int) io.Reader {
	return strings.NewReader(fmt.Sprintf(`{"model":"assistant","messages":[{"role":"user","content":"hello"}],"max_tokens":%d,"stream":%t}`, maxTokens, stream))
}

// dial opens a TCP connection to the caller listener.
func (r *fixture) dial() net.Conn {
	r.t.Helper()
	c, err := net.Dial("tcp", r.settings.Callers.Address)
	requireNoError(r.t, err)
	r.t.Cleanup(func() { _ = c.Close() })
	return c
}

// expectedText returns the stand-in engine's answer of n tokens.
func expectedText(n int) string {
	var b bytes.Buffer
	for i := range n {
		fmt.Fprintf(&b, "w%d ", i)
	}
	return b.String()
}

func requireNoError(t *testing.T, err error) {
	t.Helper()
	if err != nil {
		t.Fatal(err)
	}
}
