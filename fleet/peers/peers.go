// Package peers sends messages between instances over gRPC. Messages are
// accepted only from senders that present the shared peer key.
package peers

import (
	"context"
	"crypto/subtle"
	"encoding/json"
	"sync"
	"time"

	"google.golang.org/grpc"
	"google.golang.org/grpc/backoff"
	"google.golang.org/grpc/codes"
	"google.golang.org/grpc/credentials/insecure"
	"google.golang.org/grpc/keepalive"
	"google.golang.org/grpc/metadata"
	"google.golang.org/grpc/status"
	"google.golang.org/grpc/tap"

	"plantainfield.example/core/event"
	"plantainfield.example/fleet/peers/peerpb"
	"plantainfield.example/fleet/runtime"
)

const (
	metadataKey     = "plantainfield-peer-key"
	sendTimeout     = time.Second
	maxMessageBytes = 4 << 20
	maxPeerStreams  = 64
	outboxMessages  = 128
	maxHeaderBytes  = 16 << 10
	// maxConnectionIdle is how long a connection without calls stays open.
	maxConnectionIdle = 5 * time.Minute
	// probePeriod is how often an idle connection is probed, and probeTimeout
	// how long the reply may take.
	probePeriod  = 10 * time.Second
	probeTimeout = 5 * time.Second
)

// reconnectBackoff is the backoff between two attempts to connect to a peer.
// The default of gRPC grows to two minutes, but a peer that comes back must be
// reached within the few seconds in which a configuration takes effect
// everywhere.
var reconnectBackoff = backoff.Config{BaseDelay: 100 * time.Millisecond, Multiplier: 1.6, Jitter: 0.2, MaxDelay: time.Second}

// Server receives messages from peers.
type Server struct {
	peerpb.UnimplementedPeerServer
	loop *runtime.Loop
}

// NewServer returns a gRPC server that posts messages from peers to the loop.
func NewServer(loop *runtime.Loop, peerKey string) *grpc.Server {
	// The key is checked before the message is read.
	check := func(ctx context.Context, info *tap.Info) (context.Context, error) {
		keys := info.Header.Get(metadataKey)
		if len(keys) != 1 || subtle.ConstantTimeCompare([]byte(keys[0]), []byte(peerKey)) != 1 {
			return ctx, status.Error(codes.Unauthenticated, "peer_unauthenticated")
		}
		return ctx, nil
	}
	g := grpc.NewServer(grpc.InTapHandle(check), grpc.MaxRecvMsgSize(maxMessageBytes),
		grpc.MaxConcurrentStreams(maxPeerStreams), grpc.ConnectionTimeout(sendTimeout),
		grpc.MaxHeaderListSize(maxHeaderBytes), grpc.KeepaliveParams(keepalive.ServerParameters{
			MaxConnectionIdle: maxConnectionIdle, Time: probePeriod, Timeout: probeTimeout,
		}))
	peerpb.RegisterPeerServer(g, &Server{loop: loop})
	return g
}

// Deliver posts one message to the loop.
func (s *Server) Deliver(_ context.Context, e *peerpb.Envelope) (*peerpb.Receipt, error) {
	var m event.PeerMessage
	if err := json.Unmarshal(e.GetMessage(), &m); err != nil {
		return nil, status.Error(codes.InvalidArgument, "the message is malformed")
	}
	s.loop.Post(event.Event{PeerReceived: &event.PeerReceived{From: e.GetFrom(), Incarnation: e.GetIncarnation(), Message: m}})
	return &peerpb.Receipt{}, nil
}

// Sender sends the loop's messages. It uses one goroutine per peer, so that a
// peer that hangs does not delay the others.
type Sender struct {
	name, incarnation, peerKey string
	mu                         sync.Mutex
	// outboxes holds the queued messages by peer address. It is guarded by mu.
	outboxes map[string]chan event.SendPeer
	// sent is what was sent since the last Sent. It is guarded by mu.
	sent Sent
	// large holds the addresses of the peers to which a large message is in progress. It
	// is guarded by mu.
	large map[string]bool
}

// Sent counts messages to peers.
type Sent struct {
	// Received are the messages that their peers have acknowledged, Failed those
	// that were not acknowledged, Dropped those that did not fit into the queue of
	// their peer.
	Received, Failed, Dropped int
	// Sum and Most are the sum and the longest of the times from a message's turn
	// in its queue until it was acknowledged or failed.
	Sum, Most time.Duration
}

// Mean returns the mean time that a message took.
func (s Sent) Mean() time.Duration { return s.Sum / time.Duration(max(1, s.Received+s.Failed)) }

// Sent returns the counts since the last call.
func (s *Sender) Sent() Sent {
	s.mu.Lock()
	defer s.mu.Unlock()
	sent := s.sent
	s.sent = Sent{}
	return sent
}

func (s *Sender) count(took time.Duration, err error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if err != nil {
		s.sent.Failed++
	} else {
		s.sent.Received++
	}
	s.sent.Sum += took
	s.sent.Most = max(s.sent.Most, took)
}

// NewSender returns a Sender that identifies itself as this instance.
func NewSender(name, incarnation, peerKey string) *Sender {
	return &Sender{name: name, incarnation: incarnation, peerKey: peerKey, outboxes: map[string]chan event.SendPeer{}, large: map[string]bool{}}
}

// Run sends messages until ctx ends. A message is dropped if the queue of its
// peer is full.
func (s *Sender) Run(ctx context.Context, messages <-chan event.SendPeer) {
	for {
		select {
		case <-ctx.Done():
			return
		case m := <-messages:
			select {
			case s.outbox(ctx, m.Address) <- m:
			default:
				s.mu.Lock()
				s.sent.Dropped++
				s.mu.Unlock()
			}
		}
	}
}

func (s *Sender) outbox(ctx context.Context, address string) chan event.SendPeer {
	s.mu.Lock()
	defer s.mu.Unlock()
	box := s.outboxes[address]
	if box == nil {
		box = make(chan event.SendPeer, outboxMessages)
		s.outboxes[address] = box
		go s.sendLoop(ctx, address, box)
	}
	return box
}

// sendLoop sends the messages for one peer in order.
func (s *Sender) sendLoop(ctx context.Context, address string, box <-chan event.SendPeer) {
	conn, err := dial(address)
	if err != nil {
		return
	}
	defer func() { conn.Close() }()
	for {
		select {
		case <-ctx.Done():
			return
		case m := <-box:
			message, err := json.Marshal(m.Message)
			if err == nil && len(message) >= largeMessageBytes {
				s.sendLarge(ctx, address, message)
				continue
			}
			began := time.Now()
			if err == nil {
				err = s.deliver(ctx, peerpb.NewPeerClient(conn), message, sendTimeout)
			}
			s.count(time.Since(began), err)
			if status.Code(err) != codes.DeadlineExceeded {
				continue
			}
			// The connection may have gone silent although a new one would work.
			conn.Close()
			if conn, err = dial(address); err != nil {
				return
			}
		}
	}
}

// dial returns a connection to a peer, which is established when it is used.
func dial(address string, options ...grpc.DialOption) (*grpc.ClientConn, error) {
	options = append(options, grpc.WithTransportCredentials(insecure.NewCredentials()),
		grpc.WithConnectParams(grpc.ConnectParams{Backoff: reconnectBackoff, MinConnectTimeout: sendTimeout}),
		grpc.WithDefaultCallOptions(grpc.MaxCallSendMsgSize(maxMessageBytes)))
	return grpc.NewClient("passthrough:///"+address, options...)
}

// deliver sends one encoded message; a nil error means that the peer has received it.
func (s *Sender) deliver(ctx context.Context, client peerpb.PeerClient, message []byte, timeout time.Duration, options ...grpc.CallOption) error {
	ctx, cancel := context.WithTimeout(metadata.AppendToOutgoingContext(ctx, metadataKey, s.peerKey), timeout)
	defer cancel()
	_, err := client.Deliver(ctx, &peerpb.Envelope{From: s.name, Incarnation: s.incarnation, Message: message}, options...)
	return err
}
