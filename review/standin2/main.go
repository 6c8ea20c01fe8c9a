// Command standin2 plays the cases of the second review: it starts the system's own
// program as processes on loopback addresses, plays the platform's store, the replicas
// and the clients, and checks one rule.
package main

import (
	"fmt"
	"net/http"
	"os"
	"path/filepath"
	"slices"
	"strconv"
	"strings"
	"sync"
	"time"
)

func itoa(n int64) string { return strconv.FormatInt(n, 10) }

func retryAfter(h http.Header) int64 {
	seconds, err := strconv.ParseFloat(h.Get("Retry-After"), 64)
	if err != nil {
		return 0
	}
	return int64(seconds * 1000)
}

// recorded names, by case, the service whose requests are recorded; all if none is named.
var recorded = map[string]string{"retries": "servis-kayit"}

// Exit codes of a case.
const (
	held      = 0
	broken    = 1
	cannotRun = 2
)

// world is what a case plays in.
type world struct {
	root, dir string
	trouble   bool
	began     time.Time
	store     *store
	seen      *arrivals
	instances []*instance
	replicas  []*replica
	record    *os.File
	// mu guards record, and requests, what clients have sent.
	mu       sync.Mutex
	requests []sent
}

// note writes a line to the record, with the time since the start.
func (w *world) note(format string, args ...any) {
	w.noteAt(time.Now(), format, args...)
}

func (w *world) noteAt(at time.Time, format string, args ...any) {
	w.mu.Lock()
	defer w.mu.Unlock()
	fmt.Fprintf(w.record, "%9.3f  %s\n", at.Sub(w.began).Seconds(), fmt.Sprintf(format, args...))
}

// writeRequests writes to the record what was sent to a service, or to all, what was
// answered, and what reached the replicas.
func (w *world) writeRequests(service string) {
	type line struct {
		at   time.Time
		text string
	}
	var lines []line
	w.mu.Lock()
	requests := slices.Clone(w.requests)
	w.mu.Unlock()
	for _, s := range requests {
		if service == "" || s.service == service {
			lines = append(lines, line{s.at, fmt.Sprintf("sent %s to %s: %s", s.attempt, s.instance, s.path)}, line{s.ended, fmt.Sprintf("answer %s: %d, signed %v, whole %v", s.attempt, s.status, s.signed, s.complete)})
		}
	}
	for _, a := range w.seen.list() {
		if service == "" || a.service == service {
			lines = append(lines, line{a.at, fmt.Sprintf("replica %s gets %s: %s, runs it %v", a.replica, a.attempt, a.uri, a.ran)})
		}
	}
	slices.SortStableFunc(lines, func(a, b line) int { return a.at.Compare(b.at) })
	for _, l := range lines {
		w.noteAt(l.at, "%s", l.text)
	}
}

func (w *world) stop() {
	for _, in := range w.instances {
		in.kill()
	}
	for _, r := range w.replicas {
		r.end()
	}
	if w.store != nil {
		_ = w.store.server.Close()
	}
	_ = w.record.Close()
	_ = os.RemoveAll(w.dir)
}

var zones = []string{"bursa", "kocaeli", "istanbul-a", "istanbul-e"}

func (w *world) addReplica(id, service string, slots, queue int, work time.Duration) error {
	r, err := newReplica(id, service, zones[len(w.replicas)%len(zones)], slots, queue, work, w.seen)
	if err != nil {
		return err
	}
	w.replicas = append(w.replicas, r)
	_, err = r.register(w.store, "ready")
	return err
}

// startInstances starts instances and waits until they are ready.
func (w *world) startInstances(n int) error {
	for i := range n {
		in, err := newInstance(w.dir, w.root, fmt.Sprintf("edge-%s-%d", zones[i%len(zones)], i/len(zones)+1), zones[i%len(zones)], w.store.address())
		if err != nil {
			return err
		}
		if err := in.start(); err != nil {
			return err
		}
		w.instances = append(w.instances, in)
	}
	for _, in := range w.instances {
		if err := in.waitReady(20 * time.Second); err != nil {
			return err
		}
	}
	return nil
}

func route(name, prefix, kind, service string, attempts, timeoutMS int) map[string]any {
	return map[string]any{
		"name": name, "hostname": "ficu95.example", "path_prefix": prefix, "route_kind": kind, "timeout_ms": timeoutMS,
		"target_latency_ms": 300, "priority": 0, "service": service, "max_attempts": attempts, "anonymous": false,
	}
}

func service(name string) map[string]any {
	return map[string]any{"name": name, "health_check_path": "/health", "connection_limit": 110, "protocol": "h1", "tls_enabled": false}
}

func tenant(name string, keys ...string) map[string]any {
	return map[string]any{"name": name, "api_keys": keys}
}

func limits(headerBytes int) map[string]any {
	return map[string]any{"max_header_bytes": headerBytes, "max_body_bytes": 4194304, "header_timeout_ms": 3000, "idle_timeout_ms": 15000}
}

func play(name, dir string) int {
	play, known := map[string]func(*world) (bool, error){
		"forgotten-removal": forgottenRemoval,
		"retries":           retries,
		"deadly":            deadly,
		"encoded-slash":     encodedSlash,
		"double-slash":      doubleSlash,
		"no-tenants":        noTenants,
		"headers":           headers,
		"fractions":         fractions,
	}[name]
	if !known {
		fmt.Fprintln(os.Stderr, "unknown case", name)
		return cannotRun
	}
	root, err := os.Getwd()
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		return cannotRun
	}
	record, err := os.Create(filepath.Join(dir, "record.txt"))
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		return cannotRun
	}
	w := &world{root: root, began: time.Now(), record: record, seen: &arrivals{}, trouble: os.Getenv("TROUBLE") != "0"}
	if w.dir, err = os.MkdirTemp("", "review-"); err != nil {
		fmt.Fprintln(os.Stderr, err)
		return cannotRun
	}
	defer w.stop()
	if w.store, err = newStore(); err != nil {
		fmt.Fprintln(os.Stderr, err)
		return cannotRun
	}
	w.note("case %s, trouble %v", name, w.trouble)
	kept, err := play(w)
	w.writeRequests(recorded[name])
	code := held
	switch {
	case err != nil:
		w.note("the case could not run: %v", err)
		fmt.Println("could not run:", err)
		code = cannotRun
	case !kept:
		code = broken
	}
	w.note("result: %d (0 held, 1 broken, 2 could not run)", code)
	fmt.Println("result", code)
	if keep := os.Getenv("KEEP_LOGS"); keep != "" {
		for _, in := range w.instances {
			raw, _ := os.ReadFile(in.logPath)
			_ = os.WriteFile(filepath.Join(keep, in.name+".log"), raw, 0o600)
		}
	}
	return code
}

func main() {
	if len(os.Args) != 3 {
		fmt.Fprintln(os.Stderr, "usage: standin2 CASE FOLDER, in the repository's root; cases:", strings.Join([]string{"forgotten-removal", "retries", "deadly", "encoded-slash", "double-slash", "no-tenants", "headers", "fractions"}, ", "))
		os.Exit(cannotRun)
	}
	os.Exit(play(os.Args[1], os.Args[2]))
}
