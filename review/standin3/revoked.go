package main

import (
	"fmt"
	"io"
	"net/http"
	"strings"
	"sync"
	"time"
)

func init() { cases["13"] = revokedDuringUpload }

const (
	// revokedKey is taken away by the disruption; the other key of its tenant stays.
	revokedKey = "k2k2k2k2k2k2k2k2k2k2"
	// uploaders is the number of clients, bodyPause the pause of their link in the
	// middle of a body, and bodyBytes its size.
	uploaders = 8
	bodyPause = 1300 * time.Millisecond
	bodyBytes = 12000
)

// uploader is one client and what it was answered.
type uploader struct {
	name string
	conn *clientConn
	// wrong is set if a proper request got an answer that belongs to no request of it.
	wrong bool
}

func post(attempt, key, path string, length int) string {
	return fmt.Sprintf("POST %s HTTP/1.1\r\nHost: %s\r\nX-Attempt-Id: %s\r\nX-Deadline-Ms: 4000\r\nX-Api-Key: %s\r\nContent-Length: %d\r\n\r\n", path, host, attempt, key, length)
}

// upload sends a request whose body pauses in its middle, reads the answer, and sends the
// next request, with the key that stays, on the same connection.
func (u *uploader) upload(rec *record) {
	body := `{"report":"` + strings.Repeat("a", bodyBytes) + `"}`
	first := u.name + "-1"
	_, err := io.WriteString(u.conn, post(first, revokedKey, "/order/report", len(body))+body[:len(body)/3])
	rec.log("client %s: header and a third of the body of %s sent, with the key that may be revoked: %v", u.name, first, err)
	time.Sleep(bodyPause)
	_, err = io.WriteString(u.conn, body[len(body)/3:])
	rec.log("client %s: rest of the body of %s sent: %v", u.name, first, err)
	code, _, _, err := u.conn.answer(http.MethodPost, 2*time.Second)
	rec.log("client %s: %s answered: status %d, %v", u.name, first, code, err)
	if err != nil {
		return
	}
	second := u.name + "-2"
	_, err = io.WriteString(u.conn, post(second, apiKey, "/order/next", 0))
	rec.log("client %s: %s sent on the same connection, with the key that stays: %v", u.name, second, err)
	code, header, text, err := u.conn.answer(http.MethodPost, 5*time.Second)
	rec.log("client %s: %s answered: status %d, attempt %q, signature %q, body %q, %v", u.name, second, code, header.Get("X-Attempt-Id"), header.Get("X-Replica-Signature"), text, err)
	u.wrong = err == nil && code == http.StatusBadRequest
}

// revokedDuringUpload takes a key away from connected clients. Their next requests are
// refused before their bodies have arrived.
func revokedDuringUpload(e *env) (bool, error) {
	cfg := baseConfig()
	cfg.Tenants[0].Keys = append(cfg.Tenants[0].Keys, revokedKey)
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
	var all []*uploader
	for i := range uploaders {
		u := &uploader{name: fmt.Sprint("c", i+1)}
		if u.conn, err = dialClient(in.frontend); err != nil {
			return false, err
		}
		defer u.conn.Close()
		if _, err = io.WriteString(u.conn, post(u.name+"-0", revokedKey, "/order/first", 0)); err != nil {
			return false, err
		}
		code, _, _, err := u.conn.answer(http.MethodPost, 5*time.Second)
		e.rec.log("client %s: connected; %s-0 answered: status %d, %v", u.name, u.name, code, err)
		if code != http.StatusOK {
			return false, fmt.Errorf("first request answered with %d, %w", code, err)
		}
		all = append(all, u)
	}
	if e.trouble {
		cfg.Version++
		cfg.Tenants[0].Keys = cfg.Tenants[0].Keys[:1]
		e.store.put("config", "main", cfg)
		e.rec.log("operator: version %d acknowledged; it takes one key away", cfg.Version)
	}
	time.Sleep(3 * time.Second)
	var clients sync.WaitGroup
	for _, u := range all {
		clients.Go(func() { u.upload(e.rec) })
	}
	clients.Wait()
	wrong := 0
	for _, u := range all {
		if u.wrong {
			wrong++
		}
	}
	e.rec.log("%d of %d proper requests were answered with a 400 that belongs to no request", wrong, len(all))
	return wrong > 0, nil
}
