// Package bill keeps the bill log: one line per (customer, idempotency key).
//
// The log of a shard is a sequence of immutable segments in the platform.
// Segment n+1 is made by conditional create, so that a writer which has read
// the segments up to n knows every line before its own, and a line stands in
// the log once. Segments must not be deleted: a writer finds the end of a log
// by searching for the first number that is missing.
//
// What is billed: each whole answer, and what a caller consumed that went away
// in the middle of one. A refused request has no bill line; tokens that its
// attempts consumed are charged to its budget nonetheless. A request that runs
// again under a key that was billed is not billed again; its tokens are
// charged to the budget.
//
// # Window
//
// A writer remembers the keys of the last Window segments of a shard. At one
// segment per 200 ms and shard that is 205 seconds under the highest load, and
// longer the fewer segments are written. An idempotent request whose key is
// older is run and billed as a new one; a non-idempotent request is not, since
// its begun record outlasts the window. A view of a log that was not read yet
// costs one read for each segment of the window, and two reads for each
// doubling of the log's length to find its end. Each remembered key takes 16
// bytes and its map entry.
//
// The window bounds only what is known of resends. A line itself is never
// written twice, however late one of its holders wakes up: it names the first
// segment that can hold it, and a writer reads the log from there.
package bill

import (
	"crypto/sha256"
	"encoding/hex"
	"fmt"

	"github.com/cespare/xxhash/v2"
)

// Line bills one request.
type Line struct {
	Customer string `json:"customer"`
	Key      string `json:"key"`
	Budget   string `json:"budget"`
	// Tokens is what the customer pays for the request.
	Tokens int64 `json:"tokens"`
	// Attempt identifies the attempt whose answer was delivered.
	Attempt string `json:"attempt"`
	// BodyHash identifies the request's body, so that a key that is used again
	// with another one is refused.
	BodyHash string `json:"bodyHash"`
	// MinSegment is the number of the first segment that can hold the line: the
	// end of the log, as far as known, when the line was made.
	MinSegment uint64 `json:"notBefore"`
}

// ID names the billed request.
func (l Line) ID() RequestID { return RequestID{l.Customer, l.Key} }

// RequestID is a request's name for its life.
type RequestID struct {
	Customer string `json:"customer"`
	Key      string `json:"key"`
}

// digestBytes is the length of a request's digest.
const digestBytes = 16

// Digest names the request in object names and at targets, in hexadecimal. It
// is cryptographic, so that no customer can choose a key whose digest is that
// of another's request.
func (r RequestID) Digest() string {
	sum := sha256.Sum256([]byte(r.Customer + "\x00" + r.Key))
	return hex.EncodeToString(sum[:digestBytes])
}

// Hash is a stable 64-bit hash of the request's name, to spread requests.
func (r RequestID) Hash() uint64 { return xxhash.Sum64String(r.Customer + "\x00" + r.Key) }

// Segment is the value of one segment object.
type Segment struct {
	// Writer names the instance and the write, to settle a lost answer.
	Writer string `json:"writer"`
	Lines  []Line `json:"lines"`
}

// Shards is the number of bill logs.
const Shards = 4

// Shard returns the log that a request's line belongs to.
func Shard(r RequestID) int { return int(r.Hash() % Shards) }

// SegmentName returns the object name of a segment; names sort by number.
func SegmentName(shard int, number uint64) string {
	return fmt.Sprintf("bills-%02d-%012d", shard, number)
}
