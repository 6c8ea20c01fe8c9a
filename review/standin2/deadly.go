package main

import (
	"fmt"
	"net/http"
	"os"
	"strings"
	"sync"
	"time"
)

const (
	fatalBody = "the fatal request"
	// crashTime is how long a replica is away after a crash.
	crashTime = 2 * time.Second
	// fatalCount is how often the fatal request comes, once a second, and soundPeriod the
	// time between two sound requests: fewer than 3 in 100 of all are fatal, for 20 s.
	fatalCount  = 20
	soundPeriod = time.Second / 40
)

// deadly sends a request that crashes each replica that runs it, again and again: with the
// same path, caller and body, and another query each time.
func deadly(w *world) (bool, error) {
	w.configure(1)
	for i := range 8 {
		if err := w.addReplica(fmt.Sprintf("i-%04x", 0x7f3a+i), "servis-kayit", 6, 24, 60*time.Millisecond); err != nil {
			return false, err
		}
	}
	var mu sync.Mutex
	var crashes []time.Time
	var group sync.WaitGroup
	for _, r := range w.replicas {
		r.fatal = fatalBody
		r.crashed = func(r *replica, attempt string) {
			mu.Lock()
			defer mu.Unlock()
			crashes = append(crashes, time.Now())
			w.note("%s crashes under %s, crash %d", r.id, attempt, len(crashes))
			group.Go(func() { r.crash(w.store, crashTime) })
		}
	}
	if err := w.startInstances(4); err != nil {
		return false, err
	}
	w.note("%d instances are ready, %d replicas", len(w.instances), len(w.replicas))
	c := w.newClient("ficu95.example", "n2ctnfzs989anu6wsjnb")
	time.Sleep(stabilityWindow)
	w.round(c, "before", 8)
	ended := make(chan struct{})
	group.Go(func() { w.sound(c, ended) })
	for i := range fatalCount {
		began := time.Now()
		if w.trouble {
			path := fmt.Sprintf("/puxa403/2f?try=%d", i)
			if os.Getenv("SAME_QUERY") != "" {
				path = "/puxa403/2f?try=0"
			}
			s := c.sendBody(w.instances[i%len(w.instances)], "servis-kayit", http.MethodPost, path, fmt.Sprintf("fatal-%d", i), fatalBody, 4*time.Second, nil)
			w.noteAt(s.at, "%s with %s at %s got %d %s", s.attempt, path, s.instance, s.status, strings.TrimSpace(s.body))
		}
		time.Sleep(time.Until(began.Add(time.Second)))
	}
	close(ended)
	group.Wait()
	late := 0
	if len(crashes) >= 3 {
		for _, a := range w.seen.list() {
			if strings.HasPrefix(a.attempt, "fatal-") && a.ran && a.at.Sub(crashes[2]) > stabilityWindow {
				late++
			}
		}
	}
	fatal := 0
	for _, s := range w.requests {
		if strings.HasPrefix(s.attempt, "fatal-") {
			fatal++
		}
	}
	w.note("%d of %d requests were fatal", fatal, len(w.requests))
	w.note("%d crashes; the request reached replicas %d times later than %v after the third, 3 allowed", len(crashes), late, stabilityWindow)
	return late <= 3, nil
}

// sound sends sound requests, spread over the instances, until ended is closed.
func (w *world) sound(c *client, ended <-chan struct{}) {
	var group sync.WaitGroup
	defer group.Wait()
	tick := time.NewTicker(soundPeriod)
	defer tick.Stop()
	for i := 0; ; i++ {
		select {
		case <-ended:
			return
		case <-tick.C:
			group.Go(func() {
				c.send(w.instances[i%len(w.instances)], "servis-kayit", http.MethodPost, "/puxa403/2f", fmt.Sprintf("sound-%d", i), 4*time.Second, nil)
			})
		}
	}
}
