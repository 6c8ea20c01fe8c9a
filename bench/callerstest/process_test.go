package callerstest

import (
	"encoding/json"
	"fmt"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"strings"
	"testing"

	. "github.com/smartystreets/goconvey/convey"

	"plantainfield.example/bench/crowd"
	"plantainfield.example/fleet/settings"
)

const (
	// memoryBound is the memory that a process may use.
	memoryBound = 192 << 20
	// crowdSize clients with a body of the largest legal size hold twice that.
	crowdSize   = 100
	largestBody = 4 << 20
	stopShort   = 10
	pieceBytes  = 64_000
	// manyRequests of longResponse bytes are more than the memory of a process.
	manyRequests, longResponse = 400, 15_000_000
	// socketBound is the largest number of descriptors of a process with the default
	// limits, and manyConnections are more.
	socketBound, manyConnections = 3000, 4000
)

// routerProcess is a daemon that runs as a process of its own.
type routerProcess struct {
	*fixture
	meter  *crowd.Meter
	exited chan struct{}
}

func newProcess(t *testing.T) *routerProcess {
	p := &routerProcess{fixture: newStandins(t, options{limits: func(l *settings.Limits) { l.MemoryBytes = memoryBound }}), exited: make(chan struct{})}
	dir := t.TempDir()
	program, settingsPath := filepath.Join(dir, "plantainfieldd"), filepath.Join(dir, "settings.json")
	out, err := exec.Command("go", "build", "-o", program, "plantainfield.example/fleet/cmd/plantainfieldd").CombinedOutput()
	if err != nil {
		t.Fatalf("%v: %s", err, out)
	}
	raw, err := json.Marshal(p.settings)
	requireNoError(t, err)
	requireNoError(t, os.WriteFile(settingsPath, raw, 0o600))
	command := exec.Command(program, settingsPath)
	command.Env = append(os.Environ(), "GOMAXPROCS=1")
	requireNoError(t, command.Start())
	p.meter = crowd.NewMeter(command.Process.Pid)
	go func() {
		_ = command.Wait() // only that it exits counts
		close(p.exited)
	}()
	t.Cleanup(func() {
		p.meter.Stop()
		select {
		case <-p.exited:
			t.Error("the process ended by itself")
		default:
		}
		_ = command.Process.Kill() // fails only if it has exited
		<-p.exited
	})
	p.eventually("the daemon listens", func() bool {
		resp, err := http.Get("http://" + p.settings.Admin.Address + "/healthz")
		if err != nil {
			return false
		}
		_ = resp.Body.Close()
		return resp.StatusCode == http.StatusOK
	})
	p.apply()
	return p
}

// checkBounds checks that the daemon answers an ordinary request while a crowd is
// connected, that it lives, and that it has stayed within its memory and its
// descriptors.
func (p *routerProcess) checkBounds(c *crowd.Crowd) {
	p.meter.Settle()
	p.eventually("an ordinary request is answered", func() bool { return p.callService() == http.StatusOK })
	p.meter.Settle()
	p.t.Log(c)
	p.t.Log(p.meter.Peak())
	select {
	case <-p.exited:
		p.t.Fatal("the process has exited")
	default:
	}
	So(p.meter.Peak().MemoryBytes, ShouldBeLessThanOrEqualTo, memoryBound)
	So(p.meter.Peak().Descriptors, ShouldBeLessThanOrEqualTo, socketBound)
}

// callService sends an ordinary request on a connection of its own and returns the
// status of its response, or 0.
func (p *routerProcess) callService() int {
	req, err := http.NewRequest(http.MethodGet, "http://"+p.settings.Callers.Address+"/v1/services/records/ready", nil)
	requireNoError(p.t, err)
	req.Header.Set("Authorization", "Bearer "+callerKey)
	client := http.Client{Transport: &http.Transport{DisableKeepAlives: true}, Timeout: waitTimeout}
	resp, err := client.Do(req)
	if err != nil {
		return 0
	}
	_ = resp.Body.Close() // only the status counts
	return resp.StatusCode
}

func crowdHeader(client int) string {
	return fmt.Sprintf("Host: h\r\nAuthorization: Bearer %s\r\nIdempotency-Key: crowd-%d\r\n", callerKey, client)
}

func checkProcessBounds(t *testing.T, clients string, size int, path string, behaviours ...crowd.Behaviour) {
	Convey("Given "+clients, t, func() {
		p := newProcess(t)
		c := crowd.Start([]string{p.settings.Callers.Address}, size, crowd.Request{Path: path, Header: crowdHeader}, behaviours...)
		t.Cleanup(c.Leave)
		c.Wait()
		Convey("the process stays within its bounds and serves others", func() { p.checkBounds(c) })
	})
}

func TestProcessMemoryIsBoundedWhileChatBodiesStopShort(t *testing.T) {
	// Guards against a process that ends because nothing bounds the memory of all bodies together.
	checkProcessBounds(t, "clients whose large chat requests stop short of their end", crowdSize, "/v1/chat/completions",
		crowd.Sized(largestBody, largestBody-stopShort, pieceBytes), crowd.Chunked(largestBody-stopShort, pieceBytes, false))
}

func TestProcessMemoryIsBoundedWhileServiceBodiesStopShort(t *testing.T) {
	// Guards against the same at plain services.
	checkProcessBounds(t, "clients whose large service requests stop short of their end", crowdSize, "/v1/services/records/x",
		crowd.Sized(largestBody, largestBody-stopShort, pieceBytes), crowd.Chunked(largestBody-stopShort, pieceBytes, false))
}

func TestProcessMemoryIsBoundedWhileChatBodiesAreComplete(t *testing.T) {
	// Guards against copies of a body that are made to read and to change it.
	prompt := `{"model":"assistant","max_tokens":10,"messages":[{"role":"user","content":"` + strings.Repeat("x", largestBody-200) + `"}]}`
	checkProcessBounds(t, "clients that send large chat requests completely", crowdSize, "/v1/chat/completions", crowd.Body(prompt, pieceBytes))
}

func TestProcessMemoryIsBoundedWhileServiceResponsesAreNotRead(t *testing.T) {
	// Guards against responses that are held for clients that don't read them.
	Convey("Given clients that don't read long responses of a service", t, func() {
		p := newProcess(t)
		p.service.set(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
			length := longResponse
			if strings.HasSuffix(r.URL.Path, "/ready") {
				length = 1
			}
			_ = crowd.WritePieces(w, length, pieceBytes) // the daemon may have closed the connection
		}))
		c := crowd.Start([]string{p.settings.Callers.Address}, manyRequests, crowd.Request{Path: "/v1/services/records/long", Header: crowdHeader}, crowd.UnreadResponse)
		t.Cleanup(c.Leave)
		c.Wait()
		Convey("the process stays within its bounds and serves others", func() { p.checkBounds(c) })
	})
}

func TestProcessDescriptorsOfOwnInterface(t *testing.T) {
	// Guards against clients that take the descriptors of targets, peers and the platform.
	checkProcessBounds(t, "many connections on which nothing arrives", manyConnections, "/v1/services/records/x", crowd.Silent)
}
