package main

import (
	"encoding/json"
	"fmt"
	"net/http"
	"strings"
	"time"
)

// noTenants changes to a configuration without tenants, whose requests carry no key.
func noTenants(w *world) (bool, error) {
	w.configure(1)
	if err := w.smallFleet(); err != nil {
		return false, err
	}
	c := w.newClient("ficu95.example", "n2ctnfzs989anu6wsjnb")
	before := w.round(c, "before", 40)
	if w.trouble {
		_, _ = w.store.put("config", "main", map[string]any{
			"version": 3, "routes": []any{route("r-booking", "/puxa403/", "non_idempotent", "servis-kayit", 1, 4000)},
			"services": []any{service("servis-kayit")}, "limits": limits(16384),
		})
		w.note("the store acknowledges version 3, which contains no tenants")
		time.Sleep(5 * time.Second)
		c = w.newClient("ficu95.example", "")
	}
	after := w.rounds(c, 5)
	return w.checkDenied(append(before, after...)), nil
}

// headers changes to a configuration that allows larger headers, which clients use.
func headers(w *world) (bool, error) {
	w.configure(1)
	if err := w.smallFleet(); err != nil {
		return false, err
	}
	c := w.newClient("ficu95.example", "n2ctnfzs989anu6wsjnb")
	before := w.round(c, "before", 40)
	size := 12_000
	if w.trouble {
		_, _ = w.store.put("config", "main", map[string]any{
			"version": 3, "routes": []any{route("r-booking", "/puxa403/", "non_idempotent", "servis-kayit", 1, 4000)},
			"services": []any{service("servis-kayit")}, "limits": limits(65536), "tenants": []any{tenant("hule930", "n2ctnfzs989anu6wsjnb")},
		})
		w.note("the store acknowledges version 3, which allows 65,536 bytes of header")
		time.Sleep(5 * time.Second)
		size = 48_000
	}
	w.note("clients send a header of %d bytes", size)
	var after []sent
	for i := range 100 {
		after = append(after, c.send(w.instances[i%len(w.instances)], "servis-kayit", http.MethodPost, "/puxa403/2f", fmt.Sprintf("large-%d", i), 4*time.Second, map[string]string{"X-Trace": strings.Repeat("x", size)}))
	}
	return w.checkDenied(append(before, after...)), nil
}

func (w *world) rounds(c *client, count int) []sent {
	var all []sent
	for i := range count {
		all = append(all, w.round(c, fmt.Sprintf("after%d", i), 40)...)
	}
	return all
}

// checkDenied checks that no more than 5 and one in 500 of all requests end with a 3xx
// or 4xx of the system's own other than 408, 421 and 429.
func (w *world) checkDenied(all []sent) bool {
	denied := 0
	statuses := map[int]int{}
	for _, s := range all {
		statuses[s.status]++
		if s.status == 0 {
			w.noteAt(s.ended, "no answer: %s at %s: %s", s.attempt, s.instance, s.body)
		}
		if s.status >= 300 && s.status < 500 && s.status != 408 && s.status != 421 && s.status != 429 && !s.signed {
			denied++
		}
	}
	allowed := 5 + len(all)/500
	w.note("%d of %d requests denied, %d allowed; answers by status %v", denied, len(all), allowed, statuses)
	return denied <= allowed
}

// fractions changes to a configuration that writes a time-out with a decimal point, and
// adds a route.
func fractions(w *world) (bool, error) {
	w.configure(1)
	if err := w.smallFleet(); err != nil {
		return false, err
	}
	c := w.newClient("ficu95.example", "n2ctnfzs989anu6wsjnb")
	booking := route("r-booking", "/puxa403/", "non_idempotent", "servis-kayit", 1, 1500)
	if w.trouble {
		booking["timeout_ms"] = json.RawMessage("1500.0")
	}
	_, _ = w.store.put("config", "main", map[string]any{
		"version": 4, "routes": []any{booking, route("r-new", "/yeni/", "non_idempotent", "servis-kayit", 1, 4000)},
		"services": []any{service("servis-kayit")}, "limits": limits(16384), "tenants": []any{tenant("hule930", "n2ctnfzs989anu6wsjnb")},
	})
	w.note("the store acknowledges version 4, which adds a route")
	time.Sleep(5 * time.Second)
	unknown := 0
	for i := range 20 {
		if s := c.send(w.instances[i%len(w.instances)], "servis-kayit", http.MethodPost, "/yeni/2f", fmt.Sprintf("new-%d", i), 4*time.Second, nil); s.status == http.StatusNotFound {
			unknown++
		}
	}
	w.note("%d of 20 requests on the new route got 404", unknown)
	return unknown == 0, nil
}
