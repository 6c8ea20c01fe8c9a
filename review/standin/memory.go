package main

import (
	"bufio"
	"context"
	"fmt"
	"io"
	"net/http"
	"os"
	"strconv"
	"strings"
	"syscall"
	"time"
)

func init() { cases["memory"] = playMemory }

const (
	// memoryLimit is `memory_mb` of the settings; a process beyond it is killed.
	memoryLimit = 134 << 20
	memoryCheck = 25 * time.Millisecond
	// bodyBytes is `max_body_bytes`; a client takes uploadTime to send such a body.
	bodyBytes  = 4_194_304
	uploadTime = 3 * time.Second
	// usualUploads and hotUploads are the bodies a second of a tenant as usual, and at
	// hotFactor times that.
	usualUploads = 4.0
	hotFactor    = 7.5
	hotTime      = 6500 * time.Millisecond
)

// slowBody is a body that its client sends over some time.
type slowBody struct {
	left, chunk int
	pause       time.Duration
}

func (b *slowBody) Read(p []byte) (int, error) {
	if b.left == 0 {
		return 0, io.EOF
	}
	time.Sleep(b.pause)
	n := min(len(p), b.chunk, b.left)
	for i := range p[:n] {
		p[i] = 'x'
	}
	b.left -= n
	return n, nil
}

// upload sends a request with a body of the largest size.
func (c *clients) upload(t tenant) {
	address := c.address()
	c.mu.Lock()
	c.lastID++
	q := &request{id: fmt.Sprintf("%08x%08x", c.record.began.Unix()&0xffffffff, c.lastID), tenant: t.name, instance: address}
	c.mu.Unlock()
	if address == "" {
		return
	}
	const parts = 150
	ctx, cancel := context.WithTimeout(context.Background(), 12*time.Second)
	defer cancel()
	req, _ := http.NewRequestWithContext(ctx, http.MethodPost, "http://"+address+"/puxa403/2f", &slowBody{bodyBytes, bodyBytes/parts + 1, uploadTime / parts})
	req.ContentLength = bodyBytes
	req.Host = host
	req.Header.Set("X-Attempt-Id", q.id)
	req.Header.Set("X-Api-Key", t.key)
	req.Header.Set("X-Deadline-Ms", "12000")
	c.record.send(q)
	resp, err := c.http.Do(req)
	if err != nil {
		c.failed(address)
		c.record.answered(q, 0, false, "(no answer: "+plain(err)+")")
		return
	}
	defer resp.Body.Close()
	_, err = io.Copy(io.Discard, resp.Body)
	c.record.answered(q, resp.StatusCode, err == nil, "")
}

// anonymousBytes returns the memory of a process without its mapped files.
func anonymousBytes(pid int) int64 {
	f, err := os.Open("/proc/" + strconv.Itoa(pid) + "/status")
	if err != nil {
		return 0
	}
	defer f.Close()
	for lines := bufio.NewScanner(f); lines.Scan(); {
		if fields := strings.Fields(lines.Text()); len(fields) == 3 && fields[0] == "RssAnon:" {
			kilobytes, _ := strconv.ParseInt(fields[1], 10, 64)
			return kilobytes << 10
		}
	}
	return 0
}

// enforceMemory kills instances beyond the limit, and starts them again, until stop is
// closed. It returns how often that was, and the largest memory seen.
func (w *world) enforceMemory(stop <-chan struct{}) (ends int, peak int64) {
	for {
		select {
		case <-stop:
			return ends, peak
		case <-time.After(memoryCheck):
		}
		for _, i := range w.fleet.instances {
			used := anonymousBytes(i.cmd.Process.Pid)
			peak = max(peak, used)
			if used <= memoryLimit {
				continue
			}
			ends++
			w.record.note("%s has %d MB and is killed", i.name, used>>20)
			i.signal(syscall.SIGKILL)
			<-i.exited
			time.Sleep(restartDelay)
			if w.fleet.start(i) != nil {
				return ends, peak
			}
		}
	}
}

// playMemory lets one tenant send many times its usual.
func playMemory(w *world) (int, error) {
	w.use(2)
	var replicas []*replica
	for k := range 4 {
		for _, service := range []string{"ustabot", "servis-kayit"} {
			p, err := startReplica(w.record, fmt.Sprintf("i-%s-%d", service[:3], k), service, zones[k], service == "ustabot")
			if err != nil {
				return couldNot, err
			}
			replicas = append(replicas, p)
		}
	}
	busy := tenant{name: "hule930", key: "n2ctnfzs989anu6wsjnb", quota: 60_000_000}
	hot := tenant{name: "kaya112", key: "anfqasnmgkcuyj8pjbvk", quota: 60_000_000}
	c := configuration(7, busy, hot)
	for _, r := range c["routes"].([]map[string]any) {
		r["timeout_ms"] = 12000
	}
	w.store.put("config", "main", c)
	if err := w.startSystem(replicas...); err != nil {
		return couldNot, err
	}
	stop, stopMemory := make(chan struct{}), make(chan struct{})
	type memory struct {
		ends int
		peak int64
	}
	result := make(chan memory, 1)
	go func() {
		ends, peak := w.enforceMemory(stopMemory)
		result <- memory{ends, peak}
	}()
	w.clients.load(30, stop, func() { w.clients.sendWith(w.clients.kept, w.clients.address(), busy.name, busy.key, chat) })
	w.clients.load(usualUploads, stop, func() { w.clients.upload(hot) })
	time.Sleep(10 * time.Second)
	if w.trouble {
		stopHot := make(chan struct{})
		w.record.note("%s sends %v times its usual", hot.name, hotFactor)
		w.clients.load(usualUploads*(hotFactor-1), stopHot, func() { w.clients.upload(hot) })
		time.Sleep(hotTime)
		close(stopHot)
	} else {
		time.Sleep(hotTime)
	}
	time.Sleep(8 * time.Second)
	close(stop)
	w.clients.open.Wait()
	close(stopMemory)
	m := <-result

	w.record.mu.Lock()
	defer w.record.mu.Unlock()
	lost, statuses := 0, map[int]int{}
	for _, q := range w.record.order {
		statuses[q.status]++
		if q.reused && len(q.runs) > 0 && !q.complete {
			lost++
		}
	}
	text := fmt.Sprintf("at most %d MB of %d; ended for their memory: %d; requests of kept connections that were passed on to replicas and whose connection then closed without a complete answer: %d; answers by status: %v",
		m.peak>>20, memoryLimit>>20, m.ends, lost, statuses)
	w.record.line("%s", text)
	fmt.Println(text)
	if lost > 3 {
		return broken, nil
	}
	return held, nil
}
