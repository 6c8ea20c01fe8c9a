// Package datagram carries messages between instances that are sent often and
// may be lost: one datagram each, without a connection.
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

// maxBytes is the largest datagram that crosses a usual network in one piece.
const maxBytes = 1400

// keyBytes is the length of the mark that tells this deployment's datagrams.
const keyBytes = 8

// envelope is the content of a datagram after the mark.
type envelope struct {
	From        string            `json:"f"`
	Incarnation string            `json:"i"`
	Message     event.PeerMessage `json:"m"`
}

// Sink takes events; runtime.Loop is one.
type Sink interface{ Post(e event.Event) }

// Transport sends and receives datagrams on one socket.
type Transport struct {
	socket            *net.UDPConn
	mark              [keyBytes]byte
	name, incarnation string
	sink              Sink
	log               *zap.Logger
	// Oversized and Foreign count datagrams that were not sent or not taken.
	Oversized, Foreign atomic.Uint64
}

// Listen opens the socket at an IP:port.
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
	copy(t.mark[:], sum[:])
	return t, nil
}

// Send sends a message to an IP:port. What does not fit is counted and dropped.
func (t *Transport) Send(to string, m event.PeerMessage) {
	at, err := netip.ParseAddrPort(to)
	if err != nil {
		return // the peer's entry names no address
	}
	raw, err := json.Marshal(envelope{t.name, t.incarnation, m})
	if err != nil || len(raw)+keyBytes > maxBytes {
		t.Oversized.Add(1)
		return
	}
	// A datagram that can't be sent is as good as one that was lost.
	_, _ = t.socket.WriteToUDPAddrPort(append(t.mark[:len(t.mark):len(t.mark)], raw...), at)
}

// Run receives until ctx ends.
func (t *Transport) Run(ctx context.Context) {
	stop := context.AfterFunc(ctx, func() { _ = t.socket.Close() })
	defer stop()
	buffer := make([]byte, maxBytes+1)
	for {
		n, _, err := t.socket.ReadFromUDPAddrPort(buffer)
		if ctx.Err() != nil {
			return
		}
		if err != nil {
			t.log.Warn("datagram not received", zap.Error(err))
			continue
		}
		t.take(buffer[:n])
	}
}

func (t *Transport) take(raw []byte) {
	var e envelope
	if len(raw) < keyBytes || subtle.ConstantTimeCompare(raw[:keyBytes], t.mark[:]) != 1 || json.Unmarshal(raw[keyBytes:], &e) != nil {
		t.Foreign.Add(1)
		return
	}
	t.sink.Post(event.Event{PeerReceived: &event.PeerReceived{From: e.From, Incarnation: e.Incarnation, Message: e.Message}})
}
