package main

import (
	"fmt"
	"math/rand/v2"
	"net/http"
	"syscall"
	"time"
)

func init() { cases["many"] = playMany }

const (
	// customers is the number of tenants.
	customers     = 970
	customerQuota = 60_000
	// customerRate is the number of requests a second of all tenants together.
	customerRate = 6
	// downFor is how long all processes are down, recoveryTime is `recovery_time_s`.
	downFor      = 900 * time.Millisecond
	recoveryTime = 12 * time.Second
)

// report is a request of the site's kind with the longest prompt.
var report = route{path: "/lohu930/2f", method: http.MethodPost, prompt: 11_992, maxOutput: 384, deadline: 12 * time.Second}

// playMany kills all processes of a system with many tenants.
func playMany(w *world) (int, error) {
	w.use(siteInstances)
	var replicas []*replica
	for k := range 6 {
		p, err := startReplica(w.record, fmt.Sprintf("i-%08x", 0x4000+k), "ustabot", zones[k%len(zones)], true)
		if err != nil {
			return couldNot, err
		}
		replicas = append(replicas, p)
	}
	var tenants []tenant
	for k := range customers {
		tenants = append(tenants, tenant{name: fmt.Sprintf("musteri%04d", k), key: fmt.Sprintf("key-of-musteri%04d", k), quota: customerQuota})
	}
	w.store.put("config", "main", configuration(7, tenants...))
	if err := w.startSystem(replicas...); err != nil {
		return couldNot, err
	}
	stop := make(chan struct{})
	w.clients.load(customerRate, stop, func() {
		t := tenants[rand.N(len(tenants))]
		w.clients.send(t.name, t.key, report)
	})
	time.Sleep(20 * time.Second)
	w.record.note("the largest object of the system has %d bytes", w.store.largest())
	fault := time.Now()
	if w.trouble {
		w.record.note("all processes are killed")
		for _, i := range w.fleet.instances {
			i.signal(syscall.SIGKILL)
		}
		for _, i := range w.fleet.instances {
			<-i.exited
		}
		time.Sleep(downFor)
		if err := w.fleet.startAll(); err != nil {
			return couldNot, err
		}
	}
	back := time.Now()
	w.record.note("all processes run")
	time.Sleep(recoveryTime + 30*time.Second)
	close(stop)
	w.clients.open.Wait()

	w.record.mu.Lock()
	defer w.record.mu.Unlock()
	before, servedBefore, after, servedAfter, statuses := 0, 0, 0, 0, map[int]int{}
	for _, q := range w.record.order {
		served := q.status == http.StatusOK && q.complete
		switch {
		case q.ended.Before(fault):
			before++
			if served {
				servedBefore++
			}
		case q.sent.Sub(back) > recoveryTime:
			after++
			statuses[q.status]++
			if served {
				servedAfter++
			}
		}
	}
	text := fmt.Sprintf("before the fault %d of %d requests were served, later than %v after the processes ran again %d of %d; answers then, by status: %v; the store refused %d objects as too large; the largest one has %d bytes",
		servedBefore, before, recoveryTime, servedAfter, after, statuses, w.store.tooLarge, w.store.largest())
	w.record.line("%s", text)
	fmt.Println(text)
	if 4*servedBefore < before {
		return couldNot, fmt.Errorf("too few requests were served before the fault")
	}
	if 4*servedAfter < after {
		return broken, nil
	}
	return held, nil
}

// largest returns the size of the largest object that the system itself wrote.
func (s *store) largest() int {
	s.mu.Lock()
	defer s.mu.Unlock()
	size := 0
	for kind, objects := range s.state.objects {
		for _, o := range objects {
			if kind != "config" && kind != "servers" {
				size = max(size, len(o.Spec))
			}
		}
	}
	return size
}
