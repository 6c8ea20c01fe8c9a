package main

import (
	"fmt"
	"net/http"
	"sync"
	"time"
)

const (
	// budgetWindow, retryRatio and retryExtra are budget_window_s, retry_budget_ratio
	// and retry_budget_extra.
	budgetWindow = 10 * time.Second
	retryRatio   = 0.2
	retryExtra   = 58
)

// retries lets one tenant send many times its usual to a small service beside a larger
// one that is calm. The small service may get no more repeats than its own requests
// allow.
func retries(w *world) (bool, error) {
	_, _ = w.store.put("config", "main", map[string]any{
		"version": 1,
		"routes": []any{
			route("r-summary", "/lohu930/", "idempotent", "ustabot", 2, 3000),
			route("r-lookup", "/cufi504/", "idempotent", "servis-kayit", 2, 1500),
		},
		"services": []any{service("ustabot"), service("servis-kayit")}, "limits": limits(16384),
		"tenants": []any{tenant("hule930", "n2ctnfzs989anu6wsjnb"), tenant("daro412", "anfqasnmgkcuyj8pjbvk")},
	})
	for i := range 4 {
		if err := w.addReplica(fmt.Sprintf("i-a%03d", i), "ustabot", 48, 48, 20*time.Millisecond); err != nil {
			return false, err
		}
	}
	for i := range 2 {
		if err := w.addReplica(fmt.Sprintf("i-b%03d", i), "servis-kayit", 2, 8, 80*time.Millisecond); err != nil {
			return false, err
		}
	}
	if err := w.startInstances(4); err != nil {
		return false, err
	}
	w.note("%d instances are ready", len(w.instances))
	calm, hot := w.newClient("ficu95.example", "n2ctnfzs989anu6wsjnb"), w.newClient("ficu95.example", "anfqasnmgkcuyj8pjbvk")
	var mu sync.Mutex
	var all []sent
	var group sync.WaitGroup
	// send sends a request and, once, repeats it as its answer tells.
	send := func(c *client, service, path, attempt string, deadline time.Duration, i int) {
		for try := range 2 {
			s := c.send(w.instances[(i+try)%len(w.instances)], service, http.MethodGet, path, fmt.Sprintf("%s.%d", attempt, try), deadline, nil)
			mu.Lock()
			all = append(all, s)
			mu.Unlock()
			left := deadline - s.ended.Sub(s.at)
			if s.status == http.StatusOK || left <= 0 {
				return
			}
			time.Sleep(min(time.Duration(s.retryMS)*time.Millisecond, left/3))
			deadline = left
		}
	}
	stream := func(c *client, service, path string, perSecond float64, length, deadline time.Duration, name string) {
		defer group.Done()
		tick := time.NewTicker(time.Duration(float64(time.Second) / perSecond))
		defer tick.Stop()
		end := time.After(length)
		for i := 0; ; i++ {
			select {
			case <-end:
				return
			case <-tick.C:
				group.Add(1)
				go func() {
					defer group.Done()
					send(c, service, path, fmt.Sprintf("%s-%d", name, i), deadline, i)
				}()
			}
		}
	}
	const length = 26 * time.Second
	group.Add(3)
	go stream(calm, "ustabot", "/lohu930/2f", 130, length, 3*time.Second, "summary")
	go stream(calm, "servis-kayit", "/cufi504/2f", 6, length, 1500*time.Millisecond, "lookup")
	go stream(hot, "servis-kayit", "/cufi504/2f", 18, length, 1500*time.Millisecond, "usual")
	time.Sleep(12 * time.Second)
	if w.trouble {
		w.note("tenant daro412 sends 7.5 times its usual for 6.5 s")
		group.Add(1)
		go stream(hot, "servis-kayit", "/cufi504/2f", 6.5*18, 6500*time.Millisecond, 1500*time.Millisecond, "hot")
	}
	group.Wait()
	return w.checkRetries("ustabot", all) && w.checkRetries("servis-kayit", all), nil
}

// checkRetries checks the retries that a service got in all windows.
func (w *world) checkRetries(service string, all []sent) bool {
	known := map[string]bool{}
	var repeats, requests []time.Time
	rejected, got := 0, 0
	for _, a := range w.seen.list() {
		if a.service != service {
			continue
		}
		got++
		if !a.ran {
			rejected++
		}
		if known[a.attempt] {
			repeats = append(repeats, a.at)
		}
		known[a.attempt] = true
	}
	statuses := map[int]int{}
	for _, s := range all {
		if s.service == service {
			requests = append(requests, s.at)
			statuses[s.status]++
		}
	}
	count := func(times []time.Time, from time.Time) int {
		n := 0
		for _, t := range times {
			if !t.Before(from) && t.Before(from.Add(budgetWindow)) {
				n++
			}
		}
		return n
	}
	worst, worstAllowed := 0, 0.0
	var worstAt time.Time
	for from := w.began; from.Before(time.Now()); from = from.Add(50 * time.Millisecond) {
		n := count(repeats, from)
		base := max(count(requests, from), count(requests, from.Add(-budgetWindow)), count(requests, from.Add(-budgetWindow/2)))
		allowed := retryRatio*float64(base) + retryExtra
		if float64(n)-allowed > float64(worst)-worstAllowed || worstAt.IsZero() {
			worst, worstAllowed, worstAt = n, allowed, from
		}
	}
	w.noteAt(worstAt, "%s: in the worst 10 s, from here, %d arrivals beyond the first of each request, %.0f allowed", service, worst, worstAllowed)
	w.note("%s: %d requests sent, %d arrivals, %d of them rejected; answers by status %v", service, len(requests), got, rejected, statuses)
	return float64(worst) <= worstAllowed
}
