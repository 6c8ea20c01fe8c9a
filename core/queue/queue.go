// Package queue orders requests that wait for a target and estimates how long
// they will wait.
package queue

import (
	"cmp"
	"slices"
	"time"
)

const (
	// priorityStep is how much earlier a deadline counts per level of priority.
	// Because later arrivals have later deadlines, no entry starves.
	priorityStep = 5 * time.Second
	// maxPriority limits the effective priority, in either direction.
	maxPriority = 10
)

// Entry is a value that waits in a queue.
type Entry[T comparable] struct {
	Value T
	// Priority takes precedence over Deadline, within limits; a higher one goes
	// first.
	Priority int
	// Deadline is the time after which serving the entry is useless.
	Deadline time.Duration
	// number is the position in the order of arrival.
	number uint64
}

func (e Entry[T]) rank() time.Duration {
	// The rank is the deadline, moved forward by the priority; the entry with the
	// lowest rank goes first.
	return e.Deadline - time.Duration(max(-maxPriority, min(e.Priority, maxPriority)))*priorityStep
}

func (e Entry[T]) compare(other Entry[T]) int {
	return cmp.Or(cmp.Compare(e.rank(), other.rank()), cmp.Compare(e.number, other.number))
}

// Queue is a bounded priority queue. Its zero value is empty.
type Queue[T comparable] struct {
	// entries are sorted by rank and then by number.
	entries []Entry[T]
	// last is the number of the last entry pushed.
	last uint64
}

// Len returns the number of entries.
func (q *Queue[T]) Len() int { return len(q.entries) }

// Push adds an entry. If more than length entries wait then, it removes and
// returns the last one, which may be the new one.
func (q *Queue[T]) Push(e Entry[T], length int) (evicted T, full bool) {
	q.last++
	e.number = q.last
	at, _ := slices.BinarySearchFunc(q.entries, e, Entry[T].compare)
	q.entries = slices.Insert(q.entries, at, e)
	if len(q.entries) <= length {
		return evicted, false
	}
	evicted = q.entries[len(q.entries)-1].Value
	q.entries = q.entries[:len(q.entries)-1]
	return evicted, true
}

// Remove removes a value if it waits.
func (q *Queue[T]) Remove(v T) {
	q.entries = slices.DeleteFunc(q.entries, func(e Entry[T]) bool { return e.Value == v })
}

// Ahead returns the number of entries before a value, or Len if it doesn't
// wait.
func (q *Queue[T]) Ahead(v T) int {
	for i, e := range q.entries {
		if e.Value == v {
			return i
		}
	}
	return len(q.entries)
}

// Values returns the waiting values in the order of the queue.
func (q *Queue[T]) Values() []T {
	out := make([]T, 0, len(q.entries))
	for _, e := range q.entries {
		out = append(out, e.Value)
	}
	return out
}
