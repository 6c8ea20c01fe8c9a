package main

import (
	"fmt"
	"net/http"
	"strconv"
	"strings"
	"time"
)

func init() { cases["14"] = wholeAnswers }

const (
	// smallQuota is what the tenant has prepaid, and ask size of a request, in tokens.
	smallQuota               = 100_000
	askedTokens, answerWords = 200, 800
	// refusalsInARow is how many refusals in succession end the client's requests.
	refusalsInARow = 20
	maxAsked       = 600
	askPause       = 20 * time.Millisecond
)

// answerWhole answers a request of an engine with one body, of a word for each token.
func answerWhole(w http.ResponseWriter, r *http.Request, body []byte) {
	if !strings.HasPrefix(r.RequestURI, "/ask/") {
		stream(w, r, body)
		return
	}
	answer := strings.TrimSpace(strings.Repeat("word ", answerWords))
	w.Header().Set("Content-Type", "text/plain")
	w.Header().Set("Content-Length", strconv.Itoa(len(answer)))
	_, _ = w.Write([]byte(answer))
}

// wholeAnswers adds a route to the engines that isn't streaming, and uses up the quota of
// its tenant on the routes that there are.
func wholeAnswers(e *env) (bool, error) {
	cfg := baseConfig()
	cfg.Tenants[0].Quota = smallQuota
	e.store.put("config", "main", cfg)
	p, err := newReplica(e.store, e.rec, "i-chat-1", chat, answerWhole)
	if err != nil {
		return false, err
	}
	e.onEnd(p.stop)
	in, err := e.instance("edge-1")
	if err != nil {
		return false, err
	}
	time.Sleep(2 * heartbeat)
	path := "/chat/x"
	if e.trouble {
		cfg.Version++
		cfg.Routes = append(cfg.Routes, route{
			Name: "r-ask", Hostname: host, PathPrefix: "/ask/", Kind: "idempotent", TimeoutMS: 4000, LatencyMS: 400, Service: chat, MaxAttempts: 2, Affinity: true,
		})
		e.store.put("config", "main", cfg)
		e.rec.log("operator: version %d acknowledged; it adds a route to the engines that isn't streaming", cfg.Version)
		path = "/ask/x"
	}
	time.Sleep(3 * time.Second)
	consumed, refused := int64(0), 0
	for k := 1; k <= maxAsked && refused < refusalsInARow; k++ {
		used, err := e.askWhole(in.frontend, path, fmt.Sprintf("a%d", k))
		if err != nil {
			return false, err
		}
		consumed += used
		refused++
		if used > 0 {
			refused = 0
		}
		time.Sleep(askPause)
	}
	e.rec.log("the tenant has prepaid %d tokens and got %d", smallQuota, consumed)
	return consumed > smallQuota, nil
}

// askWhole sends one request and returns the tokens that its client got: the prompt, and
// the output that was delivered.
func (e *env) askWhole(address, path, attempt string) (int64, error) {
	c, err := dialClient(address)
	if err != nil {
		return 0, err
	}
	defer c.Close()
	_, err = fmt.Fprintf(c, "POST %s HTTP/1.1\r\nHost: %s\r\nX-Attempt-Id: %s\r\nX-Deadline-Ms: 4000\r\nX-Api-Key: %s\r\nX-Model: m\r\n"+
		"X-Token-Usage: %d,%d\r\nX-Prompt-Prefix: 5c1e07a2:%d\r\nContent-Length: 0\r\n\r\n", path, host, attempt, apiKey, askedTokens, answerWords, askedTokens)
	if err != nil {
		return 0, err
	}
	code, _, body, err := c.answer(http.MethodPost, 5*time.Second)
	if err != nil {
		return 0, err
	}
	output := strings.Count(body, "word")
	if !strings.HasPrefix(path, "/ask/") {
		output = strings.Count(body, "data:") * stepSize
	}
	e.rec.log("client: %s: POST %s answered: status %d, %d output tokens", attempt, path, code, output)
	if code != http.StatusOK {
		return 0, nil
	}
	return askedTokens + int64(output), nil
}
