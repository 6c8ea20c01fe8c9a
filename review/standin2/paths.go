package main

import (
	"fmt"
	"net/http"
	"strings"
	"time"
)

// encodedSlash adds a route with a longer prefix. Requests whose paths contain an encoded
// slash begin with the shorter prefix alone, before and after.
func encodedSlash(w *world) (bool, error) {
	version := func(number int, routes ...any) {
		_, _ = w.store.put("config", "main", map[string]any{
			"version": number, "routes": routes, "services": []any{service("servis-kayit"), service("arsiv")}, "limits": limits(16384),
			"tenants": []any{tenant("hule930", "n2ctnfzs989anu6wsjnb")},
		})
		w.note("the store acknowledges version %d with %d routes", number, len(routes))
	}
	booking, archive := route("r-booking", "/puxa403/", "non_idempotent", "servis-kayit", 1, 4000), route("r-archive", "/puxa403/arsiv/", "non_idempotent", "arsiv", 1, 4000)
	version(1, booking)
	for i := range 2 {
		if err := w.addReplica(fmt.Sprintf("i-%04x", 0x9c00+i), "arsiv", 6, 24, 60*time.Millisecond); err != nil {
			return false, err
		}
	}
	if err := w.smallFleet(); err != nil {
		return false, err
	}
	c := w.newClient("ficu95.example", "n2ctnfzs989anu6wsjnb")
	send := func(name string) {
		for i := range 20 {
			c.send(w.instances[i%len(w.instances)], "servis-kayit", http.MethodPost, "/puxa403/arsiv%2F2026/2f", fmt.Sprintf("%s-%d", name, i), 4*time.Second, nil)
		}
	}
	send("before")
	if w.trouble {
		version(4, booking, archive)
	}
	time.Sleep(5 * time.Second)
	send("after")
	return w.checkPaths(func(a arrival) bool { return a.service == "servis-kayit" && a.uri == "/puxa403/arsiv%2F2026/2f" }), nil
}

// doubleSlash adds a route for all paths of a host. Requests whose paths begin with two
// slashes match it.
func doubleSlash(w *world) (bool, error) {
	w.configure(1)
	if err := w.smallFleet(); err != nil {
		return false, err
	}
	c := w.newClient("ficu95.example", "n2ctnfzs989anu6wsjnb")
	if w.trouble {
		_, _ = w.store.put("config", "main", map[string]any{
			"version": 4, "routes": []any{route("r-booking", "/puxa403/", "non_idempotent", "servis-kayit", 1, 4000), route("r-rest", "/", "non_idempotent", "servis-kayit", 1, 4000)},
			"services": []any{service("servis-kayit")}, "limits": limits(16384), "tenants": []any{tenant("hule930", "n2ctnfzs989anu6wsjnb")},
		})
		w.note("the store acknowledges version 4, which adds a route for all paths")
	}
	time.Sleep(5 * time.Second)
	for i := range 20 {
		c.sendRaw(w.instances[i%len(w.instances)], "//puxa403/2f?van=7", fmt.Sprintf("double-%d", i))
		c.send(w.instances[i%len(w.instances)], "servis-kayit", http.MethodPost, "/puxa403/2f", fmt.Sprintf("single-%d", i), 4*time.Second, nil)
	}
	return w.checkPaths(func(a arrival) bool {
		return a.uri == "//puxa403/2f?van=7" && strings.HasPrefix(a.attempt, "double-") || a.uri == "/puxa403/2f" && strings.HasPrefix(a.attempt, "single-")
	}), nil
}

// checkPaths checks that each request that ran is as it should be.
func (w *world) checkPaths(right func(arrival) bool) bool {
	wrong := 0
	for _, a := range w.seen.list() {
		if a.ran && !right(a) {
			wrong++
			w.noteAt(a.at, "WRONG: %s (%s) runs %s as %s, host %s", a.replica, a.service, a.attempt, a.uri, a.host)
		}
	}
	w.note("%d requests ran as they should not", wrong)
	return wrong == 0
}

// smallFleet starts a service of four replicas and four instances.
func (w *world) smallFleet() error {
	for i := range 4 {
		if err := w.addReplica(fmt.Sprintf("i-%04x", 0x7f3a+i), "servis-kayit", 6, 24, 60*time.Millisecond); err != nil {
			return err
		}
	}
	if err := w.startInstances(4); err != nil {
		return err
	}
	w.note("%d instances are ready", len(w.instances))
	time.Sleep(time.Second)
	return nil
}
