package main

import (
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"sync"
	"time"
)

func init() { cases["poison"] = playPoison }

const (
	// poisonBody marks the request that crashes replicas, crashAfter is the time from the
	// start of its run to the crash, and crashDown the time until the replica is back.
	poisonBody = "poison"
	crashAfter = 700 * time.Millisecond
	crashDown  = 3 * time.Second
	// patience is the time after which its client leaves: half of the objective.
	patience = 200 * time.Millisecond
	// poisonPause is the time between two tries of its client.
	poisonPause = time.Second
	poisonTime  = 20 * time.Second
	// stabilityWindow is `stability_window_ms`, allowedRetries what the rule allows.
	stabilityWindow = 3 * time.Second
	allowedRetries  = 3
)

// fragile is a replica that the request crashes. It goes on with a request whose
// connection has closed.
type fragile struct {
	*replica
	store   *store
	mu      sync.Mutex
	server  *http.Server
	down    bool
	crashes *crashLog
}

// crashLog is when the request reached replicas, and when it crashed them.
type crashLog struct {
	mu               sync.Mutex
	arrived, crashed []time.Time
}

func startFragile(w *world, log *crashLog, id, zone string) (*fragile, error) {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return nil, err
	}
	f := &fragile{store: w.store, crashes: log, replica: &replica{
		id: id, service: "ustabot", address: l.Addr().String(), zone: zone, engine: true, born: time.Now().UnixMilli(), record: w.record,
	}}
	f.serve(l)
	return f, nil
}

func (f *fragile) serve(l net.Listener) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.down = false
	f.server = &http.Server{Handler: http.HandlerFunc(f.handle)}
	go func(s *http.Server) { _ = s.Serve(l) }(f.server)
}

func (f *fragile) handle(w http.ResponseWriter, r *http.Request) {
	body, _ := io.ReadAll(r.Body)
	if r.Header.Get("X-Attempt-Id") == "" || !strings.HasPrefix(string(body), poisonBody) || r.Header.Get("X-Expect-Replica") != f.id {
		f.ServeHTTP(w, r)
		return
	}
	f.record.ran(r.Header.Get("X-Attempt-Id"), f.id)
	f.crashes.mu.Lock()
	f.crashes.arrived = append(f.crashes.arrived, time.Now())
	f.crashes.mu.Unlock()
	time.Sleep(crashAfter)
	f.crash()
	panic(http.ErrAbortHandler)
}

// crash ends the replica, which is back after crashDown as another start of itself.
func (f *fragile) crash() {
	f.mu.Lock()
	defer f.mu.Unlock()
	if f.down {
		return
	}
	f.down = true
	_ = f.server.Close()
	f.crashes.mu.Lock()
	f.crashes.crashed = append(f.crashes.crashed, time.Now())
	f.crashes.mu.Unlock()
	f.record.note("%s crashes", f.id)
	time.AfterFunc(crashDown, func() {
		l, err := net.Listen("tcp", f.address)
		if err != nil {
			f.record.note("%s can't listen again: %v", f.id, err)
			return
		}
		f.born = time.Now().UnixMilli()
		f.serve(l)
		f.store.put("servers", f.id, f.entry())
		f.record.note("%s is back", f.id)
	})
}

// playPoison sends a request again and again that crashes each replica that begins to
// run it. Its client leaves before the crash.
func playPoison(w *world) (int, error) {
	log := &crashLog{}
	var replicas []*replica
	for k := range 8 {
		f, err := startFragile(w, log, fmt.Sprintf("i-%08x", 0x5000+k), zones[k%len(zones)])
		if err != nil {
			return couldNot, err
		}
		replicas = append(replicas, f.replica)
	}
	t := tenant{name: "hule930", key: "n2ctnfzs989anu6wsjnb", quota: 60_000_000}
	w.store.put("config", "main", configuration(7, t))
	if err := w.startSystem(replicas...); err != nil {
		return couldNot, err
	}
	stop := make(chan struct{})
	w.clients.load(35, stop, func() { w.clients.send(t.name, t.key, chat) })
	time.Sleep(4 * time.Second)
	deadly := chat
	deadly.body = poisonBody
	if w.trouble {
		deadly.leavesAfter = patience
	}
	for began := time.Now(); time.Since(began) < poisonTime; time.Sleep(poisonPause) {
		w.clients.send(t.name, t.key, deadly)
	}
	close(stop)
	w.clients.open.Wait()

	w.record.mu.Lock()
	defer w.record.mu.Unlock()
	log.mu.Lock()
	defer log.mu.Unlock()
	late := 0
	for _, at := range log.arrived {
		if len(log.crashed) >= 3 && at.Sub(log.crashed[2]) > stabilityWindow {
			late++
		}
	}
	text := fmt.Sprintf("the request reached replicas %d times and crashed %d; it reached them %d times later than %v after the third crash (allowed %d)",
		len(log.arrived), len(log.crashed), late, stabilityWindow, allowedRetries)
	w.record.line("%s", text)
	fmt.Println(text)
	if len(log.crashed) == 0 {
		return couldNot, fmt.Errorf("no replica crashed")
	}
	if late > allowedRetries {
		return broken, nil
	}
	return held, nil
}
