// Command standin plays one case of the review: it starts stand-ins of the store,
// the replicas and the clients, and the system's processes, and checks one rule.
package main

import (
	"fmt"
	"net/http"
	"os"
	"time"
)

// Exit codes of a case.
const (
	held     = 0
	broken   = 1
	couldNot = 2
)

// longest is the time after which a case is given up.
const longest = 110 * time.Second

// world is what all cases have.
type world struct {
	record  *record
	store   *store
	fleet   *fleet
	clients *clients
	trouble bool
}

var cases = map[string]func(*world) (int, error){}

func main() {
	if len(os.Args) != 3 || cases[os.Args[1]] == nil {
		fmt.Fprintln(os.Stderr, "usage: standin CASE RECORD")
		os.Exit(couldNot)
	}
	os.Exit(play(cases[os.Args[1]], os.Args[2]))
}

func play(run func(*world) (int, error), path string) int {
	rec, err := newRecord(path)
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		return couldNot
	}
	dir, err := os.MkdirTemp("", "review")
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		return couldNot
	}
	if os.Getenv("KEEP") == "" {
		defer os.RemoveAll(dir)
	} else {
		fmt.Println("logs in", dir)
	}
	w := &world{record: rec, trouble: os.Getenv("TROUBLE") != "0"}
	type result struct {
		code int
		err  error
	}
	done := make(chan result, 1)
	go func() {
		code, err := w.run(run, dir)
		done <- result{code, err}
	}()
	r := result{couldNot, fmt.Errorf("not done after %v", longest)}
	select {
	case r = <-done:
	case <-time.After(longest):
	}
	if w.fleet != nil {
		w.fleet.killAll()
	}
	if r.err != nil {
		rec.note("the case couldn't run: %v", r.err)
		fmt.Fprintln(os.Stderr, r.err)
		return couldNot
	}
	return r.code
}

func (w *world) run(run func(*world) (int, error), dir string) (int, error) {
	var err error
	if w.store, err = newStore(); err != nil {
		return couldNot, err
	}
	if w.fleet, err = newFleet(dir, w.store.address, siteInstances); err != nil {
		return couldNot, err
	}
	w.clients = newClients(w.record, w.fleet)
	w.use(usualInstances)
	return run(w)
}

// siteInstances is the number of machines of the site, usualInstances that of most
// cases.
const (
	siteInstances  = 9
	usualInstances = 4
)

// use sets the number of machines of the case.
func (w *world) use(count int) { w.fleet.instances = w.fleet.all[:count] }

// startSystem starts replicas and instances and waits until all instances are ready.
func (w *world) startSystem(replicas ...*replica) error {
	for _, p := range replicas {
		w.store.put("servers", p.id, p.entry())
	}
	if err := w.fleet.startAll(); err != nil {
		return err
	}
	deadline := time.Now().Add(15 * time.Second)
	for _, i := range w.fleet.instances {
		for !isReady(i) {
			if time.Now().After(deadline) {
				return fmt.Errorf("%s is not ready", i.name)
			}
			time.Sleep(50 * time.Millisecond)
		}
	}
	w.record.note("all instances are ready")
	return nil
}

func isReady(i *instance) bool {
	client := http.Client{Timeout: time.Second, Transport: &http.Transport{DisableKeepAlives: true}}
	resp, err := client.Get("http://" + i.ready() + "/readiness")
	if err != nil {
		return false
	}
	_ = resp.Body.Close()
	return resp.StatusCode == http.StatusOK
}

// tenant is a tenant of the configuration.
type tenant struct {
	name, key string
	quota     int64
}

// configuration returns what the operator writes.
func configuration(version int, tenants ...tenant) map[string]any {
	common := map[string]any{"hostname": host, "priority": 0, "anonymous": false}
	routes := []map[string]any{
		{"name": "r-chat", "path_prefix": "/lohu930/", "route_kind": "streaming", "timeout_ms": 12000, "target_latency_ms": 400, "service": "ustabot", "max_attempts": 2, "session_affinity": true, "stream_resumption": true, "target_itl_ms": 300},
		{"name": "r-book", "path_prefix": "/puxa403/", "route_kind": "non_idempotent", "timeout_ms": 1500, "target_latency_ms": 300, "service": "servis-kayit", "max_attempts": 1},
		{"name": "r-look", "path_prefix": "/cufi504/", "route_kind": "idempotent", "timeout_ms": 1500, "target_latency_ms": 300, "service": "servis-kayit", "max_attempts": 2},
	}
	for _, r := range routes {
		for k, v := range common {
			r[k] = v
		}
	}
	var list []map[string]any
	for _, t := range tenants {
		list = append(list, map[string]any{"name": t.name, "api_keys": []string{t.key}, "priority": 1, "prepaid_quota": t.quota})
	}
	return map[string]any{
		"version": version, "routes": routes, "tenants": list,
		"services": []any{
			map[string]any{"name": "ustabot", "health_check_path": "/health", "connection_limit": 310, "protocol": "h1", "tls_enabled": false, "inference_engine": map[string]any{"concurrency_slots": 48, "kv_cache_capacity": 463195, "step_size": tokensPerEvent}},
			map[string]any{"name": "servis-kayit", "health_check_path": "/health", "connection_limit": 110, "protocol": "h1", "tls_enabled": false},
		},
		"limits": map[string]any{"max_header_bytes": 16384, "max_body_bytes": 4194304, "header_timeout_ms": 3000, "idle_timeout_ms": 15000},
	}
}

// The routes of the configuration, as clients use them.
var (
	chat   = route{path: "/lohu930/2f", method: http.MethodPost, prompt: 826, maxOutput: 294, deadline: 12 * time.Second}
	lookUp = route{path: "/cufi504/2f", method: http.MethodGet, deadline: 1500 * time.Millisecond}
)
