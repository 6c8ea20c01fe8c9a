package main

import (
	"fmt"
	"net"
	"net/http"
	"strconv"
	"sync"
	"sync/atomic"
	"syscall"
	"time"
)

func init() { cases["11"] = lostHandOver }

const (
	records = "records-service"
	// fleet is the number of instances. One of them is killed.
	fleet = 6
	// darkTime is how long the only replica of a service is silent.
	darkTime = 4500 * time.Millisecond
	// lookupTimeout is the timeout_ms of the route to it, and lookupDeadline what its
	// clients will wait.
	lookupTimeout, lookupDeadline = 800 * time.Millisecond, 1500 * time.Millisecond
	// killAfter is the time from when the replica falls silent to the kill: its requests
	// have timed out, and the next ones are at other instances.
	killAfter = lookupTimeout + 350*time.Millisecond
	// orderWork is the time that a sound replica works on a request.
	orderWork = 250 * time.Millisecond
	// lookupClients and orderClients are the clients of the first instance.
	lookupClients, orderClients = 20, 10
	// allowedLost is how many requests may be lost.
	allowedLost = 3
)

// darkness makes a replica silent: it accepts no connection and answers nothing.
type darkness struct {
	net.Listener
	dark atomic.Bool
	end  chan struct{}
}

func (d *darkness) Accept() (net.Conn, error) {
	c, err := d.Listener.Accept()
	if err == nil && d.dark.Load() {
		<-d.end
	}
	return c, err
}

// begin starts the silence. The queue of new connections is made short and filled, so
// that more of them hang.
func (d *darkness) begin() error {
	d.dark.Store(true)
	raw, err := d.Listener.(*net.TCPListener).SyscallConn()
	if err != nil {
		return err
	}
	var failed error
	if err := raw.Control(func(fd uintptr) { failed = syscall.Listen(int(fd), 0) }); err != nil {
		return err
	}
	for range 8 {
		if _, err := net.DialTimeout("tcp", d.Addr().String(), 30*time.Millisecond); err != nil {
			break
		}
	}
	return failed
}

// kept is a client that keeps its connection to an instance.
type kept struct {
	mu     sync.Mutex
	lost   int
	passed func(attempt string) bool
}

// run sends requests on kept connections until a time, and counts those that were passed
// on to a replica and whose connection ended without an answer.
func (k *kept) run(rec *record, address, path, name string, deadline, pause time.Duration, until time.Time) {
	var c *clientConn
	served := false
	for n := 1; time.Now().Before(until); n++ {
		if c == nil {
			var err error
			if c, err = dialClient(address); err != nil {
				time.Sleep(50 * time.Millisecond)
				continue
			}
			served = false
		}
		id := name + "-" + strconv.Itoa(n)
		_, err := fmt.Fprintf(c, "GET %s HTTP/1.1\r\nHost: %s\r\nX-Attempt-Id: %s\r\nX-Deadline-Ms: %d\r\nX-Api-Key: %s\r\n\r\n", path, host, id, deadline.Milliseconds(), apiKey)
		code := 0
		if err == nil {
			code, _, _, err = c.answer(http.MethodGet, deadline+time.Second)
		}
		if err != nil {
			passed := k.passed(id)
			rec.log("client %s: %s ends without an answer, kept connection %v, passed on to a sound replica %v: %v", name, id, served, passed, err)
			if served && passed {
				k.mu.Lock()
				k.lost++
				k.mu.Unlock()
			}
			_ = c.Close()
			c = nil
		} else {
			rec.log("client %s: %s answered: status %d", name, id, code)
			served = true
		}
		time.Sleep(pause)
	}
	if c != nil {
		_ = c.Close()
	}
}

// lostHandOver makes the only replica of a service silent, and kills one of the instances
// that others hand the requests for it over to.
func lostHandOver(e *env) (bool, error) {
	cfg := baseConfig()
	cfg.Routes = append(cfg.Routes, route{
		Name: "r-lookup", Hostname: host, PathPrefix: "/lookup/", Kind: "idempotent", TimeoutMS: int(lookupTimeout.Milliseconds()), LatencyMS: 300, Priority: 2,
		Service: records, MaxAttempts: 2,
	})
	cfg.Services = append(cfg.Services, service{Name: records, HealthCheckPath: "/health", ConnectionLimit: 110, Protocol: "h1"})
	e.store.put("config", "main", cfg)
	var sound []*replica
	for i := range 4 {
		p, err := newReplica(e.store, e.rec, fmt.Sprint("i-orders-", i+1), orders, func(w http.ResponseWriter, r *http.Request, _ []byte) {
			time.Sleep(orderWork)
			_, _ = fmt.Fprint(w, answerOf(r.Header.Get("X-Attempt-Id")))
		})
		if err != nil {
			return false, err
		}
		e.onEnd(p.stop)
		sound = append(sound, p)
	}
	silence := &darkness{end: make(chan struct{})}
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return false, err
	}
	silence.Listener = l
	alone, err := newReplicaOn(silence, e.store, e.rec, "i-records-1", records, func(w http.ResponseWriter, r *http.Request, _ []byte) {
		if silence.dark.Load() {
			<-silence.end
			return
		}
		_, _ = fmt.Fprint(w, answerOf(r.Header.Get("X-Attempt-Id")))
	})
	if err != nil {
		return false, err
	}
	e.onEnd(alone.stop)
	var instances []*instance
	for i := range fleet {
		in, err := e.instance(fmt.Sprint("edge-", i+1))
		if err != nil {
			return false, err
		}
		instances = append(instances, in)
	}
	time.Sleep(2 * heartbeat)
	return e.silenceAndKill(instances, silence, sound)
}

func (e *env) silenceAndKill(instances []*instance, silence *darkness, sound []*replica) (bool, error) {
	k := &kept{passed: func(attempt string) bool {
		for _, p := range sound {
			for _, r := range p.runs() {
				if r.attempt == attempt {
					return true
				}
			}
		}
		return false
	}}
	until := time.Now().Add(10 * time.Second)
	var clients sync.WaitGroup
	for n := range orderClients {
		clients.Go(func() {
			k.run(e.rec, instances[0].frontend, "/stock/7", fmt.Sprint("order-", n+1), 4*time.Second, 10*time.Millisecond, until)
		})
	}
	for n := range lookupClients {
		clients.Go(func() {
			k.run(e.rec, instances[0].frontend, "/lookup/7", fmt.Sprint("lookup-", n+1), lookupDeadline, 100*time.Millisecond, until)
		})
	}
	time.Sleep(4 * time.Second)
	if e.trouble {
		e.rec.log("replica i-records-1 falls silent: %v", silence.begin())
		time.AfterFunc(darkTime, func() { close(silence.end) })
		time.Sleep(killAfter)
		victim := instances[len(instances)-1]
		err := victim.signal(syscall.SIGKILL)
		e.rec.log("SIGKILL to %s: %v", victim.name, err)
	}
	clients.Wait()
	for _, in := range instances {
		select {
		case err := <-in.exited:
			e.rec.log("%s has ended: %v", in.name, err)
			in.exited <- err
		default:
		}
	}
	e.rec.log("%d requests of kept connections at edge-1 were passed on to sound replicas and ended without an answer", k.lost)
	return k.lost > allowedLost, nil
}
