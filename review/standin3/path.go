package main

import (
	"fmt"
	"io"
	"net/http"
	"time"
)

func init() { cases["13"] = changedTarget }

// pathRequests is the number of requests for each path.
const pathRequests = 5

// changedTarget adds a route whose prefix is a single slash, and sends requests to paths
// that begin with one slash and with two.
func changedTarget(e *env) (bool, error) {
	cfg := baseConfig()
	e.store.put("config", "main", cfg)
	p, err := newReplica(e.store, e.rec, "i-orders-1", orders, nil)
	if err != nil {
		return false, err
	}
	e.onEnd(p.stop)
	in, err := e.instance("edge-1")
	if err != nil {
		return false, err
	}
	time.Sleep(2 * heartbeat)
	if e.trouble {
		cfg.Version++
		cfg.Routes = append(cfg.Routes, route{
			Name: "r-root", Hostname: host, PathPrefix: "/", Kind: "idempotent", TimeoutMS: 4000, LatencyMS: 300, Priority: 2, Service: orders, MaxAttempts: 2,
		})
		e.store.put("config", "main", cfg)
		e.rec.log("operator: version %d acknowledged; it adds a route with the prefix /", cfg.Version)
	}
	time.Sleep(3 * time.Second)
	c, err := dialClient(in.frontend)
	if err != nil {
		return false, err
	}
	defer c.Close()
	sent := map[string]string{}
	for i, path := range []string{"/stock/7?unit=2", "//stock/7?unit=2", "//depot/stock/7"} {
		for k := range pathRequests {
			id := fmt.Sprintf("p%d-%d", i+1, k+1)
			sent[id] = path
			if _, err := fmt.Fprintf(c, "GET %s HTTP/1.1\r\nHost: %s\r\nX-Attempt-Id: %s\r\nX-Deadline-Ms: 4000\r\nX-Api-Key: %s\r\n\r\n", path, host, id, apiKey); err != nil {
				return false, err
			}
			code, header, body, err := c.answer(http.MethodGet, 5*time.Second)
			e.rec.log("client: %s: GET %s answered: status %d, signature %q, body %q, %v", id, path, code, header.Get("X-Replica-Signature"), body, err)
			if err != nil && err != io.EOF {
				return false, err
			}
		}
	}
	changed := 0
	for _, r := range p.runs() {
		if r.uri != sent[r.attempt] {
			changed++
			e.rec.log("replica ran %s with the path %s instead of %s", r.attempt, r.uri, sent[r.attempt])
		}
	}
	e.rec.log("%d of %d requests that ran had another path than their clients sent", changed, len(p.runs()))
	return changed > 0, nil
}
