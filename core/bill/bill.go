// Package bill implements the bill log: one line per (customer, idempotency
// key).
//
// The log of a shard is a sequence of immutable segments stored in the
// platform. Segment n+1 is written by conditional create, so a writer that has
// read the segments up to n knows every earlier line, and each line is in the
// log once. Segments must not be deleted: a writer finds the end of a log by
// searching for the first missing segment number.
//
// A line is written for each complete answer, and for what a caller consumed
// before it disconnected in the middle of an answer. A refused request has no
// bill line, but tokens that its attempts consumed are charged to its budget. A
// request that runs again under a key that has been billed is not billed again;
// its tokens are charged to the budget.
//
// # Window
//
// A writer remembers the keys of the last Window segments of a shard. At the
// highest load, one segment per 200 ms and shard, that is 205 seconds; it is
// longer the fewer segments are written. An idempotent request whose key is
// older is run and billed as a new one. A non-idempotent request is not,
// because its begun record outlasts the window. Reading a log for the first
// time costs one read for each segment of the window, and two reads for each
// doubling of the log's length to find its end. Each remembered key takes 16
// bytes and its map entry.
//
// The window limits only how long resends are recognized. A line itself is
// never written twice, however late one of the instances that hold it resumes:
// the line names the first segment that can contain it, and a writer reads the
// log from there.
package bill

import (
	"crypto/sha256"
	"encoding/hex"
	"fmt"

	"github.com/cespare/xxhash/v2"
)

// Line is the bill of one request.
type Line struct {
	Customer string `json:"customer"`
	Key      string `json:"key"`
	Budget   string `json:"budget"`
	// Tokens is the amount that the customer pays for the request.
	Tokens int64 `json:"tokens"`
	// Attempt identifies the attempt whose answer was delivered.
	Attempt string `json:"attempt"`
	// BodyHash identifies the request's body, so that reuse of the key with a
	// different body is refused.
	BodyHash string `json:"bodyHash"`
	// MinSegment is the number of the first segment that can contain the line:
	// the end of the log, as far as known, when the line was created.
	MinSegment uint64 `json:"notBefore"`
}

// ID returns the identity of the billed request.
func (l Line) ID() RequestID { return RequestID{l.Customer, l.Key} }

// RequestID identifies a request and all its resends.
type RequestID struct {
	Customer string `json:"customer"`
	Key      string `json:"key"`
}

// digestBytes is the length of a request digest.
const digestBytes = 16

// Digest returns the hexadecimal digest that identifies the request in object
// names and at targets. The hash is cryptographic, so that no customer can
// choose a key whose digest equals that of another customer's request.
func (r RequestID) Digest() string {
	sum := sha256.Sum256([]byte(r.Customer + "\x00" + r.Key))
	return hex.EncodeToString(sum[:digestBytes])
}

// Hash returns a stable 64-bit hash of the request, used to distribute requests
// evenly.
func (r RequestID) Hash() uint64 { return xxhash.Sum64String(r.Customer + "\x00" + r.Key) }

// Segment is the stored value of one segment object.
type Segment struct {
	// Writer identifies the instance that wrote the segment and its write, as
	// INSTANCE#NUMBER. No code reads it.
	Writer string `json:"writer"`
	Lines  []Line `json:"lines"`
}

// Shards is the number of bill logs that lines are distributed over.
const Shards = 4

// Shard returns the number of the log that contains a request's line.
func Shard(r RequestID) int { return int(r.Hash() % Shards) }

// SegmentName returns the object name of a segment; names sort in segment
// order.
func SegmentName(shard int, number uint64) string {
	return fmt.Sprintf("bills-%02d-%012d", shard, number)
}
