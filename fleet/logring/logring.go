// Package logring writes log lines without ever blocking the caller: lines that
// find no room in a bounded ring are dropped and counted.
package logring

import (
	"fmt"
	"io"
	"sync/atomic"
	"time"

	"github.com/ansel1/merry/v2"
)

const (
	// ringBytes bounds the lines that wait to be written.
	ringBytes = 1 << 20
	// ringLines bounds their number: the shortest lines have about 256 bytes.
	ringLines = ringBytes / 256
	// batchBytes is the most that one write takes.
	batchBytes = 32 << 10
	// batchDelay lets lines gather, so that one write takes many.
	batchDelay = 200 * time.Millisecond
)

// Ring is a zapcore.WriteSyncer in front of a slow writer.
type Ring struct {
	lines chan []byte
	// held is the number of bytes in lines.
	held    atomic.Int64
	dropped atomic.Uint64
	flush   chan chan struct{}
}

// New returns a ring whose lines a goroutine writes to w.
func New(w io.Writer) *Ring {
	r := &Ring{lines: make(chan []byte, ringLines), flush: make(chan chan struct{})}
	go r.run(w)
	return r
}

// Write queues a line or drops it. It never blocks.
func (r *Ring) Write(p []byte) (int, error) {
	if r.held.Add(int64(len(p))) > ringBytes {
		r.held.Add(-int64(len(p)))
		r.dropped.Add(1)
		return len(p), nil
	}
	select {
	case r.lines <- append([]byte(nil), p...):
	default:
		r.held.Add(-int64(len(p)))
		r.dropped.Add(1)
	}
	return len(p), nil
}

// Dropped is the number of lines that found no room.
func (r *Ring) Dropped() uint64 { return r.dropped.Load() }

// syncTimeout bounds how long Sync waits for a writer that is stuck.
const syncTimeout = time.Second

// ErrStuck reports that the writer takes no more.
var ErrStuck = merry.New("the log's writer is stuck")

// Sync waits until the queued lines are written.
func (r *Ring) Sync() error {
	timeout := time.NewTimer(syncTimeout)
	defer timeout.Stop()
	done := make(chan struct{})
	select {
	case r.flush <- done:
	case <-timeout.C:
		return ErrStuck
	}
	select {
	case <-done:
		return nil
	case <-timeout.C:
		return ErrStuck
	}
}

// run writes lines in batches.
func (r *Ring) run(w io.Writer) {
	told := uint64(0)
	for {
		batch := make([]byte, 0, batchBytes)
		select {
		case line := <-r.lines:
			batch = r.take(batch, line)
			time.Sleep(batchDelay)
		case done := <-r.flush:
			r.write(w, r.gather(batch, ringBytes))
			close(done)
			continue
		}
		batch = r.gather(batch, batchBytes)
		if n := r.dropped.Load(); n > told {
			told = n
			batch = fmt.Appendf(batch, "{\"level\":\"warn\",\"msg\":\"log lines dropped\",\"total\":%d}\n", n)
		}
		r.write(w, batch)
	}
}

// gather adds the queued lines up to about a size.
func (r *Ring) gather(batch []byte, most int) []byte {
	for len(batch) < most {
		select {
		case line := <-r.lines:
			batch = r.take(batch, line)
		default:
			return batch
		}
	}
	return batch
}

// take moves a line from the ring to a batch.
func (r *Ring) take(batch, line []byte) []byte {
	r.held.Add(-int64(len(line)))
	return append(batch, line...)
}

// write hands lines to the writer. Its error has nobody to be reported to.
func (r *Ring) write(w io.Writer, batch []byte) { _, _ = w.Write(batch) }
