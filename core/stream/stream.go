// Package stream checks the frames of one attempt's answer, so that a caller
// gets its own answer without gaps: late, duplicated, reordered and foreign
// frames never reach it.
package stream

// Verdict states what to do with a frame.
type Verdict int

const (
	// Forward sends the frame to the caller.
	Forward Verdict = iota
	// DropForeign drops a frame of another attempt.
	DropForeign
	// DropDuplicate drops a frame that was already forwarded.
	DropDuplicate
	// Cut ends the attempt because a frame is missing, or because this one
	// follows the final usage frame.
	Cut
)

// Checker tracks the frames of one attempt. Its zero value expects frame 0.
type Checker struct {
	// Attempt is the ID that frames must carry.
	Attempt string
	// next is the sequence number of the next frame to forward.
	next uint64
	// finished is set once the final usage frame has arrived.
	finished bool
	// Foreign and Duplicate count dropped frames.
	Foreign   uint64
	Duplicate uint64
}

// Accept classifies a frame by the attempt ID and sequence number that it
// carries.
func (c *Checker) Accept(attempt string, sequence uint64) Verdict {
	switch {
	case attempt != c.Attempt:
		c.Foreign++
		return DropForeign
	case sequence < c.next:
		c.Duplicate++
		return DropDuplicate
	case sequence > c.next || c.finished:
		return Cut
	}
	c.next++
	return Forward
}

// Finish records the final usage frame.
func (c *Checker) Finish() { c.finished = true }

// Finished reports whether the final usage frame has arrived.
func (c *Checker) Finished() bool { return c.finished }

// Next returns the sequence number from which a cut stream must be resumed.
func (c *Checker) Next() uint64 { return c.next }
