// Package harness starts the system's programs and the stand-ins as separate
// processes on loopback, for demonstrations, failure tests and measurements.
package harness

import (
	"bytes"
	"errors"
	"fmt"
	"math/rand/v2"
	"net"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"sync/atomic"
	"syscall"
	"time"
)

const (
	startTimeout = 10 * time.Second
	pollPeriod   = 10 * time.Millisecond
)

// Process is a started program.
type Process struct {
	Name    string
	cmd     *exec.Cmd
	logPath string
	// endOrdered is set once the process was sent a signal that ends it.
	endOrdered atomic.Bool
	done       chan struct{}
	err        error
}

// startProcess starts a program and appends its output to dir/NAME.log.
func startProcess(dir, name, program string, args ...string) (*Process, error) {
	logPath := filepath.Join(dir, name+".log")
	out, err := os.OpenFile(logPath, os.O_APPEND|os.O_CREATE|os.O_WRONLY, 0o644)
	if err != nil {
		return nil, err
	}
	defer out.Close()
	cmd := exec.Command(program, args...)
	cmd.Stdout, cmd.Stderr = out, out
	if err := cmd.Start(); err != nil {
		return nil, fmt.Errorf("%s: %w", name, err)
	}
	p := &Process{Name: name, cmd: cmd, logPath: logPath, done: make(chan struct{})}
	go func() {
		p.err = cmd.Wait()
		close(p.done)
	}()
	return p, nil
}

// Signal sends a signal to the process.
func (p *Process) Signal(s syscall.Signal) error {
	if s == syscall.SIGTERM || s == syscall.SIGKILL {
		p.endOrdered.Store(p.endOrdered.Load() || !p.ended())
	}
	return p.cmd.Process.Signal(s)
}

// Kill kills the process and waits until it has ended.
func (p *Process) Kill() {
	_ = p.Signal(syscall.SIGKILL)
	<-p.done
}

func (p *Process) ended() bool {
	select {
	case <-p.done:
		return true
	default:
		return false
	}
}

// EndedByItself returns an error with the end of the log if the process has ended
// although nothing was sent to it that ends it.
func (p *Process) EndedByItself() error {
	if !p.ended() || p.endOrdered.Load() {
		return nil
	}
	log := p.Log()
	return fmt.Errorf("%s ended by itself (%v): %s", p.Name, p.err, log[max(0, len(log)-shownLogBytes):])
}

// shownLogBytes is how much of the log of a process that ended by itself is shown.
const shownLogBytes = 4 << 10

// Stop sends SIGTERM and waits for the process to end. It returns an error if the
// exit code is not 0. After the timeout it kills the process and returns an error.
func (p *Process) Stop(timeout time.Duration) error {
	if err := p.Signal(syscall.SIGTERM); err != nil && !errors.Is(err, os.ErrProcessDone) {
		return err
	}
	select {
	case <-p.done:
		if p.err != nil {
			return fmt.Errorf("%s: %w", p.Name, p.err)
		}
		return nil
	case <-time.After(timeout):
		p.Kill()
		return fmt.Errorf("%s: did not stop within %v", p.Name, timeout)
	}
}

// errExitedEarly is the error of a process that ended before it was ready.
var errExitedEarly = errors.New("process ended before it was ready")

// waitReady waits until a GET of url returns 200 or the process ends.
func (p *Process) waitReady(url string) error {
	ended := false
	err := Eventually(startTimeout, p.Name+" is ready", func() bool {
		select {
		case <-p.done:
			ended = true
		default:
		}
		return ended || respondsOK(url)
	})
	if ended {
		return fmt.Errorf("%s: %w: %s", p.Name, errExitedEarly, p.Log())
	}
	return err
}

const maxStarts = 3

// retryStart calls start again, up to maxStarts times in total, if the process ends
// before it is ready: another process may have taken the port after FreeAddress
// found it free.
func retryStart(start func() error) error {
	var err error
	for range maxStarts {
		if err = start(); !errors.Is(err, errExitedEarly) {
			return err
		}
	}
	return err
}

// Done returns a channel that is closed when the process has ended.
func (p *Process) Done() <-chan struct{} { return p.done }

// Log returns the output of the process so far.
func (p *Process) Log() string {
	raw, _ := os.ReadFile(p.logPath)
	return string(raw)
}

// The ports for listeners are below the ephemeral range, from which the operating
// system takes ports for outgoing connections: a free port in that range may be
// taken before the program listens on it.
const (
	firstPort = 15_000
	lastPort  = 32_000
	portTries = 100
)

// FreeAddress returns a loopback IP:port that nothing listens on.
func FreeAddress() (string, error) {
	var err error
	for range portTries {
		port := firstPort + rand.IntN(lastPort-firstPort)
		var l net.Listener
		if l, err = net.Listen("tcp", fmt.Sprintf("127.0.0.1:%d", port)); err == nil {
			defer l.Close()
			return l.Addr().String(), nil
		}
	}
	return "", err
}

// Eventually polls a condition until it holds. After the timeout it returns an
// error that contains what.
func Eventually(timeout time.Duration, what string, condition func() bool) error {
	deadline := time.Now().Add(timeout)
	for !condition() {
		if time.Now().After(deadline) {
			return fmt.Errorf("timed out after %v: %s", timeout, what)
		}
		time.Sleep(pollPeriod)
	}
	return nil
}

// respondsOK reports whether a GET returns 200.
func respondsOK(url string) bool {
	resp, err := http.Get(url)
	if err != nil {
		return false
	}
	defer resp.Body.Close()
	return resp.StatusCode == http.StatusOK
}

// post sends JSON and returns an error unless the status is 200.
func post(url string, body []byte) error {
	resp, err := http.Post(url, "application/json", bytes.NewReader(body))
	if err != nil {
		return err
	}
	defer resp.Body.Close()
	if resp.StatusCode != http.StatusOK {
		return fmt.Errorf("%s: %s", url, resp.Status)
	}
	return nil
}
