package main

import (
	"fmt"
	"net/http"
	"time"
)

func init() { cases["drill"] = playDrill }

const (
	drillQuota = 250_000
	// copyAge is how old the copy is from which the store comes back, and awayFor the
	// time for which it is away before.
	copyAge = 5 * time.Second
	awayFor = time.Second
	// moveAfter is the time after which the client leaves the first instance: while the
	// store is away.
	moveAfter = 7500 * time.Millisecond
	// requestPause is the time between two requests of the client.
	requestPause = 125 * time.Millisecond
	// refusals is the number of refusals in a row after which the client gives up.
	refusals = 40
)

// summary is a request of the site's kind with a long prompt and a short answer.
var summary = route{path: "/lohu930/2f", method: http.MethodPost, prompt: 2368, maxOutput: 24, deadline: 3 * time.Second}

// playDrill lets the store come back from an older copy while a client of a tenant
// uses its connection to one instance. Later the client opens a connection to another
// instance and goes on until it is refused.
func playDrill(w *world) (int, error) {
	var replicas []*replica
	for k := range 6 {
		p, err := startReplica(w.record, fmt.Sprintf("i-%08x", 0x3000+k), "ustabot", zones[k%len(zones)], true)
		if err != nil {
			return couldNot, err
		}
		replicas = append(replicas, p)
	}
	t := tenant{name: "kaya112", key: "anfqasnmgkcuyj8pjbvk", quota: drillQuota}
	w.store.put("config", "main", configuration(7, t))
	if err := w.startSystem(replicas...); err != nil {
		return couldNot, err
	}
	time.Sleep(4 * time.Second)
	began := time.Now()
	first, second := w.fleet.instances[0], w.fleet.instances[1]
	restored := make(chan struct{})
	go func() {
		defer close(restored)
		time.Sleep(3 * time.Second)
		copied := w.store.backup()
		w.record.note("the store is copied at revision %d", copied.revision)
		time.Sleep(copyAge - awayFor)
		if !w.trouble {
			return
		}
		w.store.setDown(true)
		w.record.note("the store is away")
		time.Sleep(awayFor)
		w.store.restore(copied)
		w.store.setDown(false)
		w.record.note("the store is back from the copy, in a new era")
	}()
	for time.Since(began) < moveAfter {
		w.clients.sendTo(first.frontend(), t.name, t.key, summary)
		time.Sleep(requestPause)
	}
	<-restored
	w.record.note("the client connects to %s", second.name)
	for refused := 0; refused < refusals && time.Since(began) < 80*time.Second; {
		refused++
		if q := w.clients.sendTo(second.frontend(), t.name, t.key, summary); q.status == http.StatusOK {
			refused = 0
		}
		time.Sleep(requestPause)
	}
	return w.checkQuota(t)
}

// checkQuota adds up what a tenant got.
func (w *world) checkQuota(t tenant) (int, error) {
	w.record.mu.Lock()
	defer w.record.mu.Unlock()
	var consumed int64
	total, served := 0, 0
	for _, q := range w.record.order {
		if q.tenant != t.name {
			continue
		}
		total++
		if q.status == http.StatusOK && q.complete {
			served++
		}
		consumed += q.consumed()
	}
	text := fmt.Sprintf("%s: %d requests, %d served; %d tokens consumed of %d prepaid", t.name, total, served, consumed, t.quota)
	w.record.line("%s", text)
	fmt.Println(text)
	if served == 0 {
		return couldNot, fmt.Errorf("the tenant was not served")
	}
	if consumed > t.quota {
		return broken, nil
	}
	return held, nil
}
