// Command standin3 plays the cases of the third review: it starts the daemon as separate
// processes and is itself the platform, the replicas and the clients.
package main

import (
	"fmt"
	"os"
	"os/signal"
	"syscall"
	"time"
)

// Exit codes of a case.
const (
	exitHeld   = 0
	exitBroken = 1
	exitNotRun = 2
)

// longest is the time after which a case is given up.
const longest = 110 * time.Second

// env is what a case plays in.
type env struct {
	rec     *record
	dir     string
	store   *store
	trouble bool
	// cleanup is run in reverse order at the end.
	cleanup []func()
}

func (e *env) onEnd(f func()) { e.cleanup = append(e.cleanup, f) }

func (e *env) end() {
	for i := len(e.cleanup) - 1; i >= 0; i-- {
		e.cleanup[i]()
	}
	e.cleanup = nil
}

// instance prepares and starts an instance.
func (e *env) instance(name string) (*instance, error) {
	in, err := newInstance(name, e.dir)
	if err != nil {
		return nil, err
	}
	if err := in.writeSettings(e.store.address, []string{in.control}); err != nil {
		return nil, err
	}
	e.onEnd(in.end)
	err = in.start()
	e.rec.log("instance %s started at %s: %v", name, in.frontend, err)
	return in, err
}

// cases are the cases by their numbers. Each returns whether the rule was broken.
var cases = map[string]func(*env) (bool, error){}

func main() {
	if len(os.Args) != 3 {
		fmt.Fprintln(os.Stderr, "usage: standin3 CASE FOLDER")
		os.Exit(exitNotRun)
	}
	os.Exit(play(os.Args[1], os.Args[2]))
}

func play(name, folder string) int {
	run := cases[name]
	if run == nil {
		fmt.Fprintln(os.Stderr, "no such case:", name)
		return exitNotRun
	}
	rec, err := newRecord(folder)
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		return exitNotRun
	}
	defer rec.close()
	dir, err := os.MkdirTemp("", "standin3-")
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		return exitNotRun
	}
	e := &env{rec: rec, dir: dir, trouble: os.Getenv("TROUBLE") != "0"}
	if os.Getenv("KEEP") == "" {
		e.onEnd(func() { _ = os.RemoveAll(dir) })
	} else {
		fmt.Fprintln(os.Stderr, "logs in", dir)
	}
	type outcome struct {
		broken bool
		err    error
	}
	done := make(chan outcome, 1)
	go func() {
		if e.store, err = newStore(); err != nil {
			done <- outcome{false, err}
			return
		}
		defer func() {
			if p := recover(); p != nil {
				done <- outcome{false, fmt.Errorf("panic: %v", p)}
			}
		}()
		broken, err := run(e)
		done <- outcome{broken, err}
	}()
	stop := make(chan os.Signal, 1)
	signal.Notify(stop, syscall.SIGINT, syscall.SIGTERM)
	var o outcome
	select {
	case o = <-done:
	case <-time.After(longest):
		o.err = fmt.Errorf("not complete after %v", longest)
	case s := <-stop:
		o.err = fmt.Errorf("stopped by %v", s)
	}
	e.end()
	switch {
	case o.err != nil:
		rec.log("the case could not run: %v", o.err)
		fmt.Fprintln(os.Stderr, "the case could not run:", o.err)
		return exitNotRun
	case o.broken:
		rec.log("the rule was broken")
		fmt.Println("the rule was broken")
		return exitBroken
	}
	rec.log("the rule held")
	fmt.Println("the rule held")
	return exitHeld
}
