package main

import (
	"fmt"
	"time"
)

func init() { cases["drain"] = playDrain }

const (
	// watchCut is how long the store lets a watch wait before it cuts it off.
	watchCut     = 900 * time.Millisecond
	drainTimeout = 2 * time.Second
	// servesOn is how long the replica serves after its entry was removed.
	servesOn = 10 * time.Second
)

// playDrain removes the entry of a replica that never reports that it is draining.
func playDrain(w *world) (int, error) {
	if w.trouble {
		w.store.maxWait = watchCut
	}
	var replicas []*replica
	for k := range 4 {
		p, err := startReplica(w.record, fmt.Sprintf("i-%08x", 0x1000+k), "servis-kayit", zones[k], false)
		if err != nil {
			return couldNot, err
		}
		replicas = append(replicas, p)
	}
	t := tenant{name: "hule930", key: "n2ctnfzs989anu6wsjnb", quota: 6351217}
	w.store.put("config", "main", configuration(7, t))
	if err := w.startSystem(replicas...); err != nil {
		return couldNot, err
	}
	stop := make(chan struct{})
	w.clients.load(40, stop, func() { w.clients.send(t.name, t.key, lookUp) })
	time.Sleep(8 * time.Second)
	leaving := replicas[3]
	w.store.remove("servers", leaving.id)
	gone := time.Now()
	w.record.note("the store has removed the entry of %s", leaving.id)
	time.Sleep(servesOn)
	close(stop)
	w.clients.open.Wait()

	w.record.mu.Lock()
	defer w.record.mu.Unlock()
	total, before, grace, late := 0, 0, 0, 0
	var last time.Duration
	for _, q := range w.record.order {
		total++
		for _, r := range q.runs {
			switch after := q.sent.Sub(gone); {
			case r.replica != leaving.id:
			case after < 0:
				before++
			case after <= drainTimeout:
				grace++
			default:
				late++
				last = r.at.Sub(gone)
			}
		}
	}
	w.record.line("%d requests; at %s ran %d that were sent before its entry was removed, %d within %v after it, %d later, the last one %v after it; %d watches cut off",
		total, leaving.id, before, grace, drainTimeout, late, last, w.store.cuts)
	fmt.Printf("%d requests; sent later than %v after the removal and run by the replica: %d (last one %v after it); sent before: %d; within: %d; watches cut off: %d\n",
		total, drainTimeout, late, last.Round(time.Millisecond), before, grace, w.store.cuts)
	if before == 0 {
		return couldNot, fmt.Errorf("the replica got no request")
	}
	if late > 0 {
		return broken, nil
	}
	return held, nil
}
