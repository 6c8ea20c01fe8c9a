package main

import (
	"fmt"
	"net/http"
	"strings"
	"sync"
	"time"
)

const (
	// drainTimeout is drain_timeout_ms of the deployment.
	drainTimeout = 2 * time.Second
	// stabilityWindow is stability_window_ms.
	stabilityWindow = 3 * time.Second
	// lingers is how long the replica goes on after the store has accepted its removal:
	// drain_timeout_ms and a little longer.
	lingers = drainTimeout + 340*time.Millisecond
)

// forgottenRemoval removes a replica's entry some seconds after the connections to the
// store went silent, when the instances list their entries again. No request may reach
// the replica later than drain_timeout_ms after the store's acknowledgement.
func forgottenRemoval(w *world) (bool, error) {
	w.configure(1)
	for i := range 4 {
		if err := w.addReplica(fmt.Sprintf("i-%04x", 0x7f3a+i), "servis-kayit", 6, 24, 60*time.Millisecond); err != nil {
			return false, err
		}
	}
	if err := w.startInstances(4); err != nil {
		return false, err
	}
	w.note("%d instances are ready, %d replicas", len(w.instances), len(w.replicas))
	c := w.newClient("ficu95.example", "n2ctnfzs989anu6wsjnb")
	w.round(c, "warm", 40)
	time.Sleep(3 * time.Second)
	silent := time.Now()
	if w.trouble {
		w.note("%d connections to the store go silent for good; new ones work", w.store.silenceConnections())
	}
	relisted := time.Time{}
	for i := 0; time.Since(silent) < 24*time.Second; i++ {
		if i%25 == 0 {
			w.round(c, fmt.Sprintf("calm%d", i/25), 8)
		}
		if lists := w.listsOf("plantainfield-instances", silent.Add(stabilityWindow)); len(lists) >= len(w.instances) {
			relisted = lists[len(lists)-1]
			w.note("all instances have listed their entries again, the first %.3f s ago", time.Since(lists[0]).Seconds())
			break
		}
		time.Sleep(100 * time.Millisecond)
	}
	if w.trouble && relisted.IsZero() {
		return false, fmt.Errorf("the instances did not list their entries again")
	}
	time.Sleep(200 * time.Millisecond)
	leaver := w.replicas[1]
	if code, _ := w.store.remove("servers", leaver.id); code != http.StatusOK {
		return false, fmt.Errorf("the entry was not removed")
	}
	acknowledged := time.Now()
	leaver.leave()
	w.note("the store acknowledges that %s has removed its entry; it goes on serving for %v and then exits", leaver.id, lingers)
	ended := make(chan struct{})
	go func() {
		time.Sleep(time.Until(acknowledged.Add(lingers)))
		leaver.end()
		w.note("%s exits", leaver.id)
		close(ended)
	}()
	time.Sleep(time.Until(acknowledged.Add(drainTimeout + 300*time.Millisecond)))
	after := w.round(c, "after", 40)
	<-ended
	late := 0
	for _, a := range w.seen.list() {
		if a.replica == leaver.id && a.ran && a.at.Sub(acknowledged) > drainTimeout {
			late++
			w.noteAt(a.at, "LATE: %s runs %s %d ms after the acknowledgement", a.replica, a.attempt, a.at.Sub(acknowledged).Milliseconds())
		}
	}
	lost := 0
	for _, s := range after {
		if s.status != http.StatusOK {
			lost++
			w.noteAt(s.at, "not served: %s at %s got %d %q", s.attempt, s.instance, s.status, strings.TrimSpace(s.body))
		}
	}
	for _, in := range w.instances {
		for _, line := range in.logged(`"regained":true`) {
			w.note("%s logged %s", in.name, line)
		}
	}
	w.note("%d requests reached %s later than %v after the acknowledgement; %d requests were not served", late, leaver.id, drainTimeout, lost)
	return late == 0, nil
}

// configure writes a configuration with one service of bookings.
func (w *world) configure(version int) {
	_, _ = w.store.put("config", "main", map[string]any{
		"version": version, "routes": []any{route("r-booking", "/puxa403/", "non_idempotent", "servis-kayit", 1, 4000)},
		"services": []any{service("servis-kayit")}, "limits": limits(16384), "tenants": []any{tenant("hule930", "n2ctnfzs989anu6wsjnb")},
	})
}

// round sends requests at once, spread over the instances, and waits for their answers.
func (w *world) round(c *client, name string, count int) []sent {
	var mu sync.Mutex
	var all []sent
	var group sync.WaitGroup
	for i := range count {
		group.Go(func() {
			in := w.instances[i%len(w.instances)]
			s := c.send(in, "servis-kayit", http.MethodPost, "/puxa403/2f", fmt.Sprintf("%s-%d", name, i), 4*time.Second, nil)
			mu.Lock()
			defer mu.Unlock()
			all = append(all, s)
		})
	}
	group.Wait()
	served := 0
	for _, s := range all {
		if s.status == http.StatusOK && s.signed && s.complete {
			served++
		}
	}
	w.note("round %s: %d of %d requests served", name, served, count)
	return all
}

// listsOf returns when the store answered lists of a kind after a time.
func (w *world) listsOf(kind string, since time.Time) []time.Time {
	var at []time.Time
	for _, c := range w.store.callsSince(since) {
		if c.method == http.MethodGet && c.path == "/objects/"+kind && !c.isWatch {
			at = append(at, c.at)
		}
	}
	return at
}
