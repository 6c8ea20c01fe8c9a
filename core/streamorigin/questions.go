package streamorigin

import (
	"slices"
	"time"
)

// replyTimeout is how long a request waits for the origin of its stream. A peer
// that lives replies within a few milliseconds.
const replyTimeout = 200 * time.Millisecond

// question asks peers for the origin of the stream that a request resumes.
type question struct {
	answer Answer
	stream uint64
	// open are the peers that have not replied.
	open     []string
	deadline time.Duration
}

// Answer tells where the stream that a request resumes began.
type Answer struct {
	Request uint64
	// Origin is set if Known is; otherwise the stream must not go on.
	Origin Origin
	Known  bool
	// Replies is the number of peers that replied.
	Replies int
	// asked is the number of peers that were asked, and informed the number of those
	// that replied and know the service's targets.
	asked, informed int
	serves          string
	// unnamed is set if the caller does not name the stream.
	unnamed bool
	// sole is the origin that a peer has seen alone, and versions are all that the
	// peers have seen.
	sole     Origin
	versions []string
}

// questions holds the open questions of one instance.
type questions struct{ open []*question }

func (q *questions) ask(now time.Duration, a Answer, stream uint64, peers []string) {
	q.open = append(q.open, &question{a, stream, slices.Clone(peers), now + replyTimeout})
}

// reply handles the reply of a peer and returns the answers that it gives: at once
// if the peer knows the origin, otherwise after the last peer.
func (q *questions) reply(from string, m *Reply) []Answer {
	return q.end(func(x *question) bool {
		i := slices.Index(x.open, from)
		if x.stream != m.Stream || i < 0 {
			return false
		}
		x.open = slices.Delete(x.open, i, i+1)
		x.answer.Replies++
		x.answer.versions = append(x.answer.versions, m.Versions...)
		if m.Sole {
			x.answer.sole = m.Origin
			x.answer.versions = append(x.answer.versions, m.Origin.Version)
		}
		if m.Sole || len(m.Versions) > 0 {
			x.answer.informed++
		}
		if m.Known {
			x.answer.Origin, x.answer.Known = m.Origin, true
		}
		return m.Known || len(x.open) == 0
	})
}

// expire returns the answers to the questions that have waited too long.
func (q *questions) expire(now time.Duration) []Answer {
	return q.end(func(x *question) bool { return now >= x.deadline })
}

// end removes the questions that have ended, and returns their answers.
func (q *questions) end(ended func(*question) bool) []Answer {
	var out []Answer
	q.open = slices.DeleteFunc(q.open, func(x *question) bool {
		done := ended(x)
		if done {
			out = append(out, x.answer)
		}
		return done
	})
	return out
}
