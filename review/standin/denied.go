package main

import (
	"fmt"
	"net/http"
	"syscall"
	"time"
)

func init() { cases["denied"] = playDenied }

const (
	// smallQuota is what the tenant has prepaid that the case is about.
	smallQuota = 200_000
	// coveredPerCent is the part of a quota within which a request is owed.
	coveredPerCent = 97
	// settleTime is the time after which the end of a request counts.
	settleTime = 1500 * time.Millisecond
	// killed is the number of processes that are killed at the same moment, and
	// restartDelay the time until they are started again.
	killed       = 2
	restartDelay = time.Second
)

// playDenied kills processes at the same moment, and then lets a tenant use up its
// prepaid tokens.
func playDenied(w *world) (int, error) {
	var replicas []*replica
	for k := range 6 {
		p, err := startReplica(w.record, fmt.Sprintf("i-%08x", 0x2000+k), "ustabot", zones[k%len(zones)], true)
		if err != nil {
			return couldNot, err
		}
		replicas = append(replicas, p)
	}
	busy := tenant{name: "hule930", key: "n2ctnfzs989anu6wsjnb", quota: 60_000_000}
	small := tenant{name: "kaya112", key: "anfqasnmgkcuyj8pjbvk", quota: smallQuota}
	w.store.put("config", "main", configuration(7, busy, small))
	if err := w.startSystem(replicas...); err != nil {
		return couldNot, err
	}
	stop := make(chan struct{})
	w.clients.load(15, stop, func() { w.clients.send(busy.name, busy.key, chat) })
	time.Sleep(8 * time.Second)
	if w.trouble {
		if err := w.killServing(); err != nil {
			return couldNot, err
		}
	}
	time.Sleep(10 * time.Second)
	stopSmall := make(chan struct{})
	w.record.note("%s begins", small.name)
	w.clients.load(6, stopSmall, func() { w.clients.send(small.name, small.key, chat) })
	time.Sleep(45 * time.Second)
	close(stop)
	close(stopSmall)
	w.clients.open.Wait()
	return w.checkDenied(small)
}

// killServing kills some of the instances that clients are directed to, and starts
// them again.
func (w *world) killServing() error {
	w.clients.mu.Lock()
	w.clients.resolve()
	named := w.clients.addresses
	w.clients.mu.Unlock()
	w.record.note("clients are directed to %d instances", len(named))
	var victims []*instance
	for _, i := range w.fleet.instances {
		for _, a := range named {
			if i.frontend() == a && len(victims) < killed {
				victims = append(victims, i)
			}
		}
	}
	for _, i := range victims {
		w.record.note("%s is killed", i.name)
		i.signal(syscall.SIGKILL)
	}
	time.Sleep(restartDelay)
	for _, i := range victims {
		<-i.exited
		if err := w.fleet.start(i); err != nil {
			return err
		}
		w.record.note("%s starts again", i.name)
	}
	return nil
}

// checkDenied counts the requests that were answered 402 although what was left of
// the quota covered them, counting all others at their most until they had ended for
// settleTime.
func (w *world) checkDenied(t tenant) (int, error) {
	w.record.mu.Lock()
	defer w.record.mu.Unlock()
	total, served, refused, denied := 0, 0, 0, 0
	var consumed, most, firstLeft int64
	for _, q := range w.record.order {
		if q.tenant != t.name {
			continue
		}
		total++
		if q.status == http.StatusOK {
			served++
		}
		if q.status == http.StatusTooManyRequests || q.status == http.StatusServiceUnavailable {
			refused++
		}
		consumed += q.consumed()
		most += q.atMost()
		if q.status != http.StatusPaymentRequired {
			continue
		}
		used := int64(0)
		for _, o := range w.record.order {
			switch {
			case o.tenant != t.name || o == q || o.sent.After(q.ended):
			case q.sent.Sub(o.ended) < settleTime && (len(o.runs) > 0 || o.ended.After(q.sent)):
				used += o.prompt + o.maxOutput
			default:
				used += o.atMost()
			}
		}
		if left := t.quota*coveredPerCent/100 - used; q.prompt+q.maxOutput <= left {
			denied++
			if firstLeft == 0 {
				firstLeft = left
			}
			w.record.line("%s was answered 402 although %d tokens were left at least (of %d in 100 of the quota)", q.id, left, coveredPerCent)
		}
	}
	allowed := 5 + len(w.record.order)/500
	text := fmt.Sprintf("%s: %d requests, %d served, %d refused with 429 or 503; %d tokens consumed (%d at most) of %d prepaid; answered 402 though covered: %d (allowed %d), the first with %d tokens left",
		t.name, total, served, refused, consumed, most, t.quota, denied, allowed, firstLeft)
	w.record.line("%s", text)
	fmt.Println(text)
	if served == 0 {
		return couldNot, fmt.Errorf("the tenant was not served")
	}
	if denied > allowed {
		return broken, nil
	}
	return held, nil
}
