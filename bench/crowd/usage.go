package crowd

import (
	"fmt"
	"os"
	"path/filepath"
	"strconv"
	"strings"
	"sync"
	"time"
)

// Usage is the largest use of a process.
type Usage struct {
	// MemoryBytes is the largest sum of the resident memory and of the bytes that the
	// process's sockets have received and it has not read, ReceivedBytes the largest
	// number of the latter.
	MemoryBytes, ReceivedBytes int64
	// Descriptors is the largest number of open descriptors.
	Descriptors int
}

func (u Usage) String() string {
	const mib = 1 << 20
	return fmt.Sprintf("memory %.1f MiB, received and not read %.1f MiB, %d descriptors", float64(u.MemoryBytes)/mib, float64(u.ReceivedBytes)/mib, u.Descriptors)
}

const (
	// samplePeriod is the time between two samples. The peak of the resident memory is
	// kept by the kernel and misses none.
	samplePeriod = 20 * time.Millisecond
	// steadySamples is the number of samples without a new peak after which a process
	// has dealt with what it got, and settleLimit bounds the wait for them.
	steadySamples = 10
	settleLimit   = 5 * time.Second
)

// Meter samples the use of a process of this machine.
type Meter struct {
	pid  int
	stop func()
	// peak is guarded by mu.
	mu   sync.Mutex
	peak Usage
}

// NewMeter returns a Meter that samples the use of a process until Stop is called.
func NewMeter(pid int) *Meter {
	m := &Meter{pid: pid}
	stop, stopped := make(chan struct{}), make(chan struct{})
	go func() {
		defer close(stopped)
		ticker := time.NewTicker(samplePeriod)
		defer ticker.Stop()
		for {
			select {
			case <-stop:
				return
			case <-ticker.C:
				m.sample()
			}
		}
	}()
	m.stop = sync.OnceFunc(func() {
		close(stop)
		<-stopped
	})
	return m
}

// Stop ends the sampling.
func (m *Meter) Stop() { m.stop() }

// Peak returns the largest use so far.
func (m *Meter) Peak() Usage {
	m.mu.Lock()
	defer m.mu.Unlock()
	return m.peak
}

// Settle waits until the process's use no longer rises, for a bounded time.
func (m *Meter) Settle() {
	last, steady := Usage{}, 0
	for end := time.Now().Add(settleLimit); steady < steadySamples && time.Now().Before(end); {
		time.Sleep(samplePeriod)
		m.sample()
		if steady++; m.Peak() != last {
			steady, last = 0, m.Peak()
		}
	}
}

func (m *Meter) sample() {
	resident, highWater := residentBytes(m.pid)
	sockets, open := openSockets(m.pid)
	received := receivedBytes(sockets)
	m.mu.Lock()
	defer m.mu.Unlock()
	m.peak.MemoryBytes = max(m.peak.MemoryBytes, highWater, resident+received)
	m.peak.ReceivedBytes = max(m.peak.ReceivedBytes, received)
	m.peak.Descriptors = max(m.peak.Descriptors, open)
}

// residentBytes returns the resident memory of a process and its peak, or 0 if it has
// exited.
func residentBytes(pid int) (resident, highWater int64) {
	raw, _ := os.ReadFile(fmt.Sprintf("/proc/%d/status", pid)) // empty once the process has exited
	for line := range strings.Lines(string(raw)) {
		fields := strings.Fields(line)
		if len(fields) < 2 {
			continue
		}
		kilobytes, _ := strconv.ParseInt(fields[1], 10, 64) // the others are no numbers
		switch fields[0] {
		case "VmRSS:":
			resident = kilobytes << 10
		case "VmHWM:":
			highWater = kilobytes << 10
		}
	}
	return resident, highWater
}

// openSockets returns the inodes of a process's sockets and how many descriptors it has
// open.
func openSockets(pid int) (inodes map[string]bool, descriptors int) {
	inodes = map[string]bool{}
	dir := fmt.Sprintf("/proc/%d/fd", pid)
	entries, _ := os.ReadDir(dir) // empty once the process has exited
	for _, e := range entries {
		link, _ := os.Readlink(filepath.Join(dir, e.Name())) // it may be closed by now
		if inode, ok := strings.CutPrefix(link, "socket:["); ok {
			inodes[strings.TrimSuffix(inode, "]")] = true
		}
	}
	return inodes, len(entries)
}

// Columns of /proc/net/tcp, and the state of a listening socket there.
const (
	stateColumn, queuesColumn, inodeColumn = 3, 4, 9
	listening                              = "0A"
)

// receivedBytes returns how many bytes TCP sockets have received that their process has
// not read.
func receivedBytes(inodes map[string]bool) int64 {
	raw, _ := os.ReadFile("/proc/net/tcp") // absent on other systems than Linux
	total := int64(0)
	for line := range strings.Lines(string(raw)) {
		fields := strings.Fields(line)
		if len(fields) <= inodeColumn || !inodes[fields[inodeColumn]] || fields[stateColumn] == listening {
			continue
		}
		_, unread, _ := strings.Cut(fields[queuesColumn], ":")
		if n, err := strconv.ParseInt(unread, 16, 64); err == nil {
			total += n
		}
	}
	return total
}
