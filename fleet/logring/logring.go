// Package logring writes log lines without ever blocking the caller. Lines that
// do not fit into a bounded ring buffer are dropped and counted.
package logring

import (
	"bytes"
	"cmp"
	"fmt"
	"io"
	"sync/atomic"
	"time"

	"github.com/ansel1/merry/v2"
)

const (
	// ringBytes bounds the total size of the queued lines.
	ringBytes = 1 << 20
	// ringLines bounds the number of queued lines; the shortest lines have
	// about 256 bytes.
	ringLines = ringBytes / 256
	// batchBytes is the approximate maximum size of a batch of lines.
	batchBytes = 32 << 10
	// maxWriteBytes is what a pipe takes in one piece (PIPE_BUF).
	maxWriteBytes = 4 << 10
	// batchDelay is the time for which lines are collected, so that one write
	// covers many of them.
	batchDelay = 200 * time.Millisecond
	// reservedLines bounds the number of queued reserved lines.
	reservedLines = 256
)

// Ring is a zapcore.WriteSyncer that queues lines for a slow writer.
type Ring struct {
	lines chan []byte
	// reserved holds the lines of Reserved. They are written before the others.
	reserved chan []byte
	// queuedBytes is the total size of the lines in lines.
	queuedBytes atomic.Int64
	dropped     atomic.Uint64
	// reported is the number of dropped lines that a line tells of. Only the writing
	// goroutine uses it.
	reported uint64
	flush    chan chan struct{}
}

// New returns a Ring and starts a goroutine that writes its lines to w.
func New(w io.Writer) *Ring {
	r := &Ring{lines: make(chan []byte, ringLines), reserved: make(chan []byte, reservedLines), flush: make(chan chan struct{})}
	go r.run(w)
	return r
}

// Write queues a line, or drops it if the ring is full. It never blocks.
func (r *Ring) Write(p []byte) (int, error) {
	if r.queuedBytes.Add(int64(len(p))) > ringBytes {
		r.queuedBytes.Add(-int64(len(p)))
		r.dropped.Add(1)
		return len(p), nil
	}
	select {
	case r.lines <- append([]byte(nil), p...):
	default:
		r.queuedBytes.Add(-int64(len(p)))
		r.dropped.Add(1)
	}
	return len(p), nil
}

// Reserved returns a writer for lines that must not be lost among many others: they
// have a queue of their own and are written first. It never blocks.
func (r *Ring) Reserved() *Reserved { return &Reserved{r} }

// Reserved is a zapcore.WriteSyncer for the reserved lines of a Ring.
type Reserved struct{ ring *Ring }

// Write queues a reserved line, or drops it if their queue is full.
func (w *Reserved) Write(p []byte) (int, error) {
	select {
	case w.ring.reserved <- append([]byte(nil), p...):
	default:
		w.ring.dropped.Add(1)
	}
	return len(p), nil
}

// Sync waits until all queued lines of the ring are written.
func (w *Reserved) Sync() error { return w.ring.Sync() }

// Dropped returns the number of lines dropped because the ring was full.
func (r *Ring) Dropped() uint64 { return r.dropped.Load() }

// syncTimeout bounds how long Sync waits for a blocked writer.
const syncTimeout = time.Second

// ErrWriterBlocked reports that the writer did not accept the queued lines in
// time.
var ErrWriterBlocked = merry.New("the log writer is blocked")

// Sync waits until the queued lines are written. It returns ErrWriterBlocked
// after syncTimeout.
func (r *Ring) Sync() error {
	timeout := time.NewTimer(syncTimeout)
	defer timeout.Stop()
	done := make(chan struct{})
	select {
	case r.flush <- done:
	case <-timeout.C:
		return ErrWriterBlocked
	}
	select {
	case <-done:
		return nil
	case <-timeout.C:
		return ErrWriterBlocked
	}
}

// run writes queued lines in batches.
func (r *Ring) run(w io.Writer) {
	for {
		batch := make([]byte, 0, batchBytes)
		select {
		case line := <-r.reserved:
			batch = append(batch, line...)
		case line := <-r.lines:
			batch = r.dequeue(batch, line)
		case done := <-r.flush:
			r.writeAll(w, batch, done)
			continue
		}
		select {
		case <-time.After(batchDelay):
		case done := <-r.flush: // must not wait for the delays of all queued batches
			r.writeAll(w, batch, done)
			continue
		}
		r.write(w, r.reportDropped(r.fillBatch(r.takeReserved(batch), batchBytes)))
	}
}

// writeAll writes a batch and all queued lines, and closes done.
func (r *Ring) writeAll(w io.Writer, batch []byte, done chan struct{}) {
	batch = r.takeReserved(batch)
	r.write(w, r.reportDropped(r.fillBatch(batch, len(batch)+ringBytes)))
	close(done)
}

// reportDropped appends a line with the number of lines dropped if that has risen.
func (r *Ring) reportDropped(batch []byte) []byte {
	n := r.dropped.Load()
	if n == r.reported {
		return batch
	}
	r.reported = n
	return fmt.Appendf(batch, "{\"level\":\"warn\",\"msg\":\"log lines dropped\",\"total\":%d}\n", n)
}

// takeReserved appends the queued reserved lines.
func (r *Ring) takeReserved(batch []byte) []byte {
	for {
		select {
		case line := <-r.reserved:
			batch = append(batch, line...)
		default:
			return batch
		}
	}
}

// fillBatch appends queued lines until the batch has about limit bytes.
func (r *Ring) fillBatch(batch []byte, limit int) []byte {
	for len(batch) < limit {
		select {
		case line := <-r.lines:
			batch = r.dequeue(batch, line)
		default:
			return batch
		}
	}
	return batch
}

// dequeue appends a line to a batch and releases its share of the ring.
func (r *Ring) dequeue(batch, line []byte) []byte {
	r.queuedBytes.Add(-int64(len(line)))
	return append(batch, line...)
}

// write passes a batch to the writer, in parts of whole lines that a pipe takes
// at once. A write error is ignored, since there is nowhere left to report it.
func (r *Ring) write(w io.Writer, batch []byte) {
	for len(batch) > 0 {
		end := len(batch)
		if end > maxWriteBytes {
			end = bytes.LastIndexByte(batch[:maxWriteBytes], '\n') + 1
		}
		if end == 0 { // the line is longer
			end = cmp.Or(bytes.IndexByte(batch, '\n')+1, len(batch))
		}
		_, _ = w.Write(batch[:end])
		batch = batch[end:]
	}
}
