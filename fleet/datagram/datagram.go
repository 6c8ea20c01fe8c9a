// Package datagram sends frequent, loss-tolerant messages between instances
// over UDP, one message per datagram.
package datagram

import (
	"context"
	"crypto/sha256"
	"crypto/subtle"
	"encoding/json"
	"net"
	"net/netip"
	"sync/atomic"

	"go.uber.org/zap"

	"plantainfield.example/core/event"
)

// maxDatagramBytes is the largest datagram that typical networks carry without
// fragmentation.
const maxDatagramBytes = 1400

// tagBytes is the length of the tag that identifies datagrams of this
// deployment.
const tagBytes = 8

// envelope is the JSON content of a datagram after the tag.
type envelope struct {
	From        string            `json:"f"`
	Incarnation string            `json:"i"`
	Message     event.PeerMessage `json:"m"`
}

// Sink receives events. It is implemented by runtime.Loop.
type Sink interface{ Post(e event.Event) }

// Transport sends and receives datagrams on one socket.
type Transport struct {
	socket            *net.UDPConn
	tag               [tagBytes]byte
	name, incarnation string
	sink              Sink
	log               *zap.Logger
	// Oversized counts messages that were too large to send. Rejected counts
	// received datagrams with a wrong tag or malformed content.
	Oversized, Rejected atomic.Uint64
}

// Listen opens a UDP socket at address, an IP:port.
func Listen(address, key, name, incarnation string, sink Sink, log *zap.Logger) (*Transport, error) {
	at, err := netip.ParseAddrPort(address)
	if err != nil {
		return nil, err
	}
	socket, err := net.ListenUDP("udp4", net.UDPAddrFromAddrPort(at))
	if err != nil {
		return nil, err
	}
	t := &Transport{socket: socket, name: name, incarnation: incarnation, sink: sink, log: log}
	sum := sha256.Sum256([]byte(key))
	copy(t.tag[:], sum[:])
	return t, nil
}

// Send sends a message to an IP:port. A message that does not fit into one
// datagram is counted in Oversized and dropped.
func (t *Transport) Send(to string, m event.PeerMessage) {
	at, err := netip.ParseAddrPort(to)
	if err != nil {
		return // the peer's entry has no datagram address
	}
	raw, err := json.Marshal(envelope{t.name, t.incarnation, m})
	if err != nil || len(raw)+tagBytes > maxDatagramBytes {
		t.Oversized.Add(1)
		return
	}
	// A send error is treated like a lost datagram.
	_, _ = t.socket.WriteToUDPAddrPort(append(t.tag[:len(t.tag):len(t.tag)], raw...), at)
}

// Run receives datagrams until ctx ends.
func (t *Transport) Run(ctx context.Context) {
	stop := context.AfterFunc(ctx, func() { _ = t.socket.Close() })
	defer stop()
	buffer := make([]byte, maxDatagramBytes+1)
	for {
		n, _, err := t.socket.ReadFromUDPAddrPort(buffer)
		if ctx.Err() != nil {
			return
		}
		if err != nil {
			t.log.Warn("datagram not received", zap.Error(err))
			continue
		}
		t.receive(buffer[:n])
	}
}

func (t *Transport) receive(raw []byte) {
	var e envelope
	if len(raw) < tagBytes || subtle.ConstantTimeCompare(raw[:tagBytes], t.tag[:]) != 1 || json.Unmarshal(raw[tagBytes:], &e) != nil {
		t.Rejected.Add(1)
		return
	}
	t.sink.Post(event.Event{PeerReceived: &event.PeerReceived{From: e.From, Incarnation: e.Incarnation, Message: e.Message}})
}
