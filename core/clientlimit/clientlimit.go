// Package clientlimit decides which client of an instance gives way once the clients'
// connections, or the memory that is held for their requests, reach a limit.
//
// It is made for clients that hold a connection or a large body for as long as they may,
// beside ordinary ones whose requests are small and arrive and end soon.
package clientlimit

import "time"

// Phase is what a client's connection is used for.
type Phase int

const (
	// Waiting means that there is no request, or that its header is not complete.
	Waiting Phase = iota
	// Receiving means that the body of a request arrives.
	Receiving
	// Running means that a request is complete and its response is not.
	Running
	// Sending means that the client does not take a part of its response.
	Sending
	// Closing means that the connection ends with the response that is sent.
	Closing
)

// Client is the state of a client's connection.
type Client struct {
	Phase Phase
	// Age is how long the connection has been in its phase.
	Age time.Duration
	// Bytes is the memory that is held for the request beside that of the connection.
	Bytes int64
	// Served is set once a request on the connection has been answered.
	Served bool
}

// patience is the time after which a client that does not take its response may be
// disconnected in favour of another.
const patience = time.Second

// deliveryTime is how long the last response on a connection has to reach its client.
const deliveryTime = 250 * time.Millisecond

// Order in which clients are disconnected to make room for a new connection.
const (
	closing = iota
	idle
	notReading
	incomplete
	needed
)

// connectionOrder returns the place of a client in the order of disconnection. An idle
// connection costs its client the least. Whether a request that is not complete is held
// back by its client or by an instance that is late can't be told.
func connectionOrder(c Client) int {
	switch {
	case c.Phase == Closing && c.Age >= deliveryTime:
		return closing
	case c.Phase == Waiting && c.Served:
		return idle
	case c.Phase == Sending && c.Age >= patience:
		return notReading
	case c.Phase == Waiting, c.Phase == Receiving:
		return incomplete
	}
	return needed
}

// ForConnection returns the index of the client to disconnect in favour of a new
// connection, or -1 if the new one is to be refused. Complete requests whose clients take
// their responses are never disconnected. Among clients whose requests still arrive the
// oldest goes first, since ordinary requests arrive within milliseconds.
func ForConnection(clients []Client) int {
	victim, order := -1, needed
	for i, c := range clients {
		o := connectionOrder(c)
		if o < order || victim >= 0 && o == order && c.Age > clients[victim].Age {
			victim, order = i, o
		}
	}
	return victim
}

// yieldFactor is how many times the cost of the client that asks for memory another one
// must have to give way.
const yieldFactor = 2

// startTime is added to the age of each body, so that new ones differ by their size.
const startTime = 100 * time.Millisecond

// cost is the use that a client makes of the memory: its size, for how long.
func cost(c Client) float64 { return float64(c.Bytes) * (c.Age + startTime).Seconds() }

// ForResponse returns the index of the client to disconnect so that there is memory for a
// response of another, or -1: the one that makes most use of the memory among those that
// don't take their responses.
func ForResponse(clients []Client) int {
	victim, most := -1, 0.0
	for i, c := range clients {
		if c.Phase == Sending && c.Age >= patience && cost(c) > most {
			victim, most = i, cost(c)
		}
	}
	return victim
}

// SmallBytes is the size up to which a body may use all of the memory for requests.
const SmallBytes = 64 << 10

// smallShare is the part of the memory for requests that larger ones leave to small ones.
const smallShare = 4

// Memory counts the memory that is held for requests.
type Memory struct {
	// Limit is the largest number of bytes.
	Limit int64
	// total and large count all bytes and those of requests of more than SmallBytes,
	// and largeCount the latter requests.
	total, large int64
	largeCount   int
}

// Total returns the number of bytes that are held.
func (m *Memory) Total() int64 { return m.total }

// Grow counts more bytes of a request that holds some already, and reports whether they
// are within the limit; otherwise it counts nothing. A single large request has no other
// limit than that of all.
func (m *Memory) Grow(held, more int64) bool {
	if !m.fits(held, more) {
		return false
	}
	m.count(held, -1)
	m.count(held+more, 1)
	return true
}

// Victim returns the index of the client that gives up its memory so that a body that
// arrives can hold more bytes, or -1 if that one is to be refused. Only bodies that still
// arrive give way, since their requests have not run.
func (m *Memory) Victim(clients []Client, asking Client, more int64) int {
	onlyLarge := m.total+more <= m.Limit
	asking.Bytes += more
	victim, most := -1, yieldFactor*cost(asking)
	for i, c := range clients {
		if c.Phase != Receiving || c.Bytes == 0 || onlyLarge && c.Bytes <= SmallBytes {
			continue
		}
		if cost(c) >= most {
			victim, most = i, cost(c)
		}
	}
	return victim
}

func (m *Memory) fits(held, more int64) bool {
	if m.total+more > m.Limit {
		return false
	}
	if held+more <= SmallBytes {
		return true
	}
	others, count := m.large, m.largeCount
	if held > SmallBytes {
		others, count = others-held, count-1
	}
	return count == 0 || others+held+more <= m.Limit-m.Limit/smallShare
}

// Shrink counts fewer bytes of a request that holds some.
func (m *Memory) Shrink(held, less int64) {
	m.count(held, -1)
	m.count(held-less, 1)
}

// Release counts the bytes of a request no longer.
func (m *Memory) Release(held int64) { m.Shrink(held, held) }

func (m *Memory) count(bytes int64, sign int) {
	m.total += int64(sign) * bytes
	if bytes > SmallBytes {
		m.large += int64(sign) * bytes
		m.largeCount += sign
	}
}
