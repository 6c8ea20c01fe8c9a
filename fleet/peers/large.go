package peers

import (
	"context"
	"time"

	"google.golang.org/grpc"
	// Registers the compressor, for received messages too.
	"google.golang.org/grpc/encoding/gzip"
	"google.golang.org/grpc/keepalive"

	"plantainfield.example/fleet/peers/peerpb"
)

const (
	// largeMessageBytes is the size from which on a message doesn't share the queue of its
	// peer: it may take longer than the silence after which peers count as gone.
	largeMessageBytes = 64 << 10
	// maxLargeMessages bounds the large messages in progress. A few at a time complete
	// sooner than many that share the link, and their receivers can serve others.
	maxLargeMessages = 4
	// minLargeBytesPerSecond is the rate at which a large message may at least be sent.
	minLargeBytesPerSecond = 10_000
)

// sendLarge sends a large message in the background over a connection of its own. It is
// dropped while maxLargeMessages are in progress or one to the same peer is: what needs
// it asks again.
func (s *Sender) sendLarge(ctx context.Context, address string, message []byte) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if len(s.large) >= maxLargeMessages || s.large[address] {
		s.sent.Dropped++
		return
	}
	s.large[address] = true
	go func() {
		began := time.Now()
		err := s.deliverLarge(ctx, address, message)
		s.count(time.Since(began), err)
		s.mu.Lock()
		defer s.mu.Unlock()
		delete(s.large, address)
	}()
}

func (s *Sender) deliverLarge(ctx context.Context, address string, message []byte) error {
	conn, err := dial(address, grpc.WithKeepaliveParams(keepalive.ClientParameters{Time: probePeriod, Timeout: probeTimeout}))
	if err != nil {
		return err
	}
	defer conn.Close()
	timeout := sendTimeout + time.Duration(len(message))*time.Second/minLargeBytesPerSecond
	return s.deliver(ctx, peerpb.NewPeerClient(conn), message, timeout, grpc.UseCompressor(gzip.Name))
}
