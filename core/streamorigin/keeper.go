package streamorigin

import (
	"slices"
	"time"
)

// Fleet is what a Keeper asks of its instance.
type Fleet interface {
	// LiveInstances returns the names of the live instances, this one included.
	LiveInstances() []string
	// Alone reports whether no other instance exists, live or not.
	Alone() bool
	// Partitioned reports whether this instance neither learns of changes of the targets
	// nor is in touch with most instances, so that versions may serve of which nobody
	// whom it can ask knows.
	Partitioned() bool
	// TargetVersions returns the versions of the software of a service's targets.
	TargetVersions(serves string) []string
	// SendOrigin sends a message to a peer; it may get lost.
	SendOrigin(peer string, m Message)
}

// Message is a tagged union: exactly one field is set.
type Message struct {
	// Record tells a holder where a stream began.
	Record *Record `json:"record,omitempty"`
	// Request asks for the origin of a stream.
	Request *Request `json:"request,omitempty"`
	Reply   *Reply   `json:"reply,omitempty"`
}

// Request asks a holder for the origin of a stream.
type Request struct {
	Stream uint64 `json:"stream"`
	// Serves is the service whose targets may go on with the stream.
	Serves string `json:"serves,omitempty"`
}

// Reply answers a Request.
type Reply struct {
	Record
	// Known is set if the sender knows the origin.
	Known bool `json:"known"`
	// Sole is set if the sender does not know the origin, but has seen targets of
	// that in the record alone for as long as streams last.
	Sole bool `json:"sole,omitempty"`
	// Versions are those of the service's targets that the sender has seen within the
	// life of a stream. They are left out if it knows the origin.
	Versions []string `json:"versions,omitempty"`
}

// Keeper records where the streams of an instance begin, and finds out where those
// began that callers resume at it.
type Keeper struct {
	self      string
	fleet     Fleet
	table     *Table
	questions questions
	// watching is set once the instance knows the targets, since when it has.
	watching bool
	since    time.Duration
}

// NewKeeper returns the keeper of an instance.
func NewKeeper(self string, fleet Fleet) *Keeper {
	return &Keeper{self: self, fleet: fleet, table: NewTable()}
}

// Watch tells the keeper that the instance has known all targets since a time. Only
// the first call counts.
func (k *Keeper) Watch(since time.Duration) {
	if !k.watching {
		k.watching, k.since = true, since
	}
}

// Began records the origin of a stream with its first event and tells the holders.
// The attempt is the caller's.
func (k *Keeper) Began(now time.Duration, attempt string, o Origin) {
	r := &Record{Key(attempt), o}
	k.table.Record(now, *r)
	for _, peer := range k.peers(r.Stream, Holders) {
		k.fleet.SendOrigin(peer, Message{Record: r})
	}
}

// TargetGone records that a target of an origin has served until now.
func (k *Keeper) TargetGone(now time.Duration, o Origin) { k.table.Served(now, o) }

// Find returns the origin of the stream that a request resumes, if that is known at
// once. Otherwise Receive or Expire return the answer. The attempt is the one that
// brought the stream's first event, or empty if the caller does not name it.
func (k *Keeper) Find(now time.Duration, request uint64, serves, attempt string) (Answer, bool) {
	stream := Key(attempt)
	if attempt == "" {
		stream = Key("\x00" + serves) // names no stream; only for the replies
	} else if o, ok := k.table.Lookup(stream); ok {
		return Answer{Request: request, Origin: o, Known: true}, true
	}
	peers := k.peers(stream, Asked)
	a := Answer{Request: request, serves: serves, unnamed: attempt == "", asked: len(peers)}
	if len(peers) == 0 {
		return k.withoutRecord(now, a), true
	}
	k.questions.ask(now, a, stream, peers)
	for _, peer := range peers {
		k.fleet.SendOrigin(peer, Message{Request: &Request{stream, serves}})
	}
	return Answer{}, false
}

// Receive handles a peer's message and returns the answers that it gives.
func (k *Keeper) Receive(now time.Duration, from string, m Message) []Answer {
	switch {
	case m.Record != nil:
		k.table.Record(now, *m.Record)
	case m.Request != nil:
		k.fleet.SendOrigin(from, Message{Reply: k.reply(now, m.Request)})
	case m.Reply != nil:
		return k.complete(now, k.questions.reply(from, m.Reply))
	}
	return nil
}

// reply answers a peer's request.
func (k *Keeper) reply(now time.Duration, m *Request) *Reply {
	if o, known := k.table.Lookup(m.Stream); known {
		return &Reply{Record: Record{m.Stream, o}, Known: true}
	}
	o, sole := k.sole(now, m.Serves)
	return &Reply{Record: Record{m.Stream, o}, Sole: sole, Versions: k.versions(now, m.Serves)}
}

// Expire returns the answers to the questions that have waited too long.
func (k *Keeper) Expire(now time.Duration) []Answer {
	return k.complete(now, k.questions.expire(now))
}

// Len returns the number of origins that are kept.
func (k *Keeper) Len() int { return k.table.Len() }

func (k *Keeper) complete(now time.Duration, answers []Answer) []Answer {
	for i, a := range answers {
		if !a.Known {
			answers[i] = k.withoutRecord(now, a)
		}
	}
	return answers
}

// withoutRecord answers for a stream of which no record is found. It may go on only
// if all targets have had the same software for as long as streams last, as far as
// this instance and most of the peers that it asked have seen. An instance that is cut
// off or paused misses versions that others know, as do peers that are cut off with it.
// One that has not watched the targets for so long needs the word of a peer that has.
func (k *Keeper) withoutRecord(now time.Duration, a Answer) Answer {
	o, only := k.only(now, a.serves)
	connected := a.informed*2 > a.asked || a.asked == 0 && k.fleet.Alone()
	agreed := !slices.ContainsFunc(a.versions, func(v string) bool { return v != o.Version })
	established := k.established(now) || a.sole == o && !a.unnamed
	if only && connected && agreed && established && !k.fleet.Partitioned() {
		a.Origin, a.Known = o, true
	}
	return a
}

// versions returns the versions of a service's targets that this instance has seen
// within the life of a stream.
func (k *Keeper) versions(now time.Duration, serves string) []string {
	for _, version := range k.fleet.TargetVersions(serves) {
		k.table.Served(now, Origin{serves, version})
	}
	return k.table.Versions(now, serves)
}

// only returns the one origin that this instance has seen of a service.
func (k *Keeper) only(now time.Duration, serves string) (Origin, bool) {
	seen := k.versions(now, serves)
	if len(seen) != 1 {
		return Origin{}, false
	}
	return Origin{serves, seen[0]}, true
}

// sole is only for an instance that has watched the targets for long enough.
func (k *Keeper) sole(now time.Duration, serves string) (Origin, bool) {
	if !k.established(now) {
		return Origin{}, false
	}
	return k.only(now, serves)
}

// established reports whether the instance has known the targets for as long as
// streams last.
func (k *Keeper) established(now time.Duration) bool { return k.watching && now-k.since >= recordAge }

// peers returns the peers among the first instances that hold a stream's origin.
func (k *Keeper) peers(stream uint64, count int) []string {
	return slices.DeleteFunc(Rank(stream, k.fleet.LiveInstances(), count), func(name string) bool { return name == k.self })
}
