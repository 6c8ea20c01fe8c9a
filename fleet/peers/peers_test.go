package peers

import (
	"context"
	"math/rand/v2"
	"net"
	"strings"
	"sync"
	"testing"
	"time"

	. "github.com/smartystreets/goconvey/convey"
	"google.golang.org/grpc"
	"google.golang.org/grpc/codes"
	"google.golang.org/grpc/credentials/insecure"
	"google.golang.org/grpc/metadata"
	"google.golang.org/grpc/status"

	"plantainfield.example/core/event"
	"plantainfield.example/core/node"
	"plantainfield.example/fleet/peers/peerpb"
	"plantainfield.example/fleet/runtime"
)

const sharedKey = "the-shared-peer-key"

func TestServerChecksKeyAndMessageLimits(t *testing.T) {
	Convey("A sender must present the shared key and a message within the limits", t, func() {
		server := NewServer(runtime.NewLoop(node.Settings{Name: "a", LedgerShards: 1}), sharedKey)
		l, err := net.Listen("tcp", "127.0.0.1:0")
		So(err, ShouldBeNil)
		go func() { _ = server.Serve(l) }()
		defer server.Stop()
		conn, err := grpc.NewClient(l.Addr().String(), grpc.WithTransportCredentials(insecure.NewCredentials()))
		So(err, ShouldBeNil)
		defer conn.Close()
		send := func(message string, metadataPairs ...string) codes.Code {
			ctx := metadata.AppendToOutgoingContext(context.Background(), metadataPairs...)
			_, err := peerpb.NewPeerClient(conn).Deliver(ctx, &peerpb.Envelope{From: "b", Message: []byte(message)})
			return status.Code(err)
		}
		So(send(`{"heartbeat":{}}`, metadataKey, sharedKey), ShouldEqual, codes.OK)
		So(send(`{"heartbeat":{}}`), ShouldEqual, codes.Unauthenticated)
		So(send(`{"heartbeat":{}}`, metadataKey, "another key"), ShouldEqual, codes.Unauthenticated)
		So(send(`{"heartbeat":{}}`, metadataKey, sharedKey, metadataKey, "another key"), ShouldEqual, codes.Unauthenticated)
		So(send(`{`, metadataKey, sharedKey), ShouldEqual, codes.InvalidArgument)
		So(send(strings.Repeat(" ", maxMessageBytes+1), metadataKey, sharedKey), ShouldEqual, codes.ResourceExhausted)
		So(send(`{"heartbeat":{}}`, metadataKey, sharedKey, "padding", strings.Repeat("p", 2*maxHeaderBytes)), ShouldNotEqual, codes.OK)
		So(send(`{"heartbeat":{}}`, metadataKey, sharedKey), ShouldEqual, codes.OK)
	})
}

// silentProxy forwards connections to an address. Connections that are open when
// silence is called stay open and forward nothing more; new ones work.
type silentProxy struct {
	listener net.Listener
	// pause is how long each chunk of at most chunkBytes takes.
	pause time.Duration
	mu    sync.Mutex
	// silenced is closed by the next call of silence. It is guarded by mu.
	silenced chan struct{}
}

const chunkBytes = 4096

func newSilentProxy(to string) (*silentProxy, error) { return newSlowProxy(to, 0) }

// newSlowProxy returns a proxy each connection of which takes a pause for each chunk.
func newSlowProxy(to string, pause time.Duration) (*silentProxy, error) {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return nil, err
	}
	p := &silentProxy{listener: l, pause: pause, silenced: make(chan struct{})}
	go func() {
		for {
			from, err := l.Accept()
			if err != nil {
				return
			}
			target, err := net.Dial("tcp", to)
			if err != nil {
				from.Close()
				continue
			}
			p.mu.Lock()
			silenced := p.silenced
			p.mu.Unlock()
			go p.forward(target, from, silenced)
			go p.forward(from, target, silenced)
		}
	}()
	return p, nil
}

func (p *silentProxy) forward(to, from net.Conn, silenced <-chan struct{}) {
	buffer := make([]byte, chunkBytes)
	for {
		n, err := from.Read(buffer)
		time.Sleep(p.pause)
		select {
		case <-silenced:
			continue
		default:
		}
		if n > 0 {
			_, _ = to.Write(buffer[:n])
		}
		if err != nil {
			to.Close()
			return
		}
	}
}

func (p *silentProxy) silence() {
	p.mu.Lock()
	defer p.mu.Unlock()
	close(p.silenced)
	p.silenced = make(chan struct{})
}

// receiver is a peer that sends the length of each message that it receives to received.
type receiver struct {
	peerpb.UnimplementedPeerServer
	received chan int
}

func (r receiver) Deliver(_ context.Context, e *peerpb.Envelope) (*peerpb.Receipt, error) {
	r.received <- len(e.GetMessage())
	return &peerpb.Receipt{}, nil
}

func TestSenderLeavesSilentConnection(t *testing.T) {
	// Guards against a peer that hears nothing more because a connection has gone silent.
	Convey("After a connection went silent without a reset, messages arrive over a new one", t, func() {
		peer := receiver{received: make(chan int, outboxMessages)}
		server := grpc.NewServer()
		peerpb.RegisterPeerServer(server, peer)
		l, err := net.Listen("tcp", "127.0.0.1:0")
		So(err, ShouldBeNil)
		go func() { _ = server.Serve(l) }()
		defer server.Stop()
		proxy, err := newSilentProxy(l.Addr().String())
		So(err, ShouldBeNil)
		defer proxy.listener.Close()
		messages := make(chan event.SendPeer)
		go NewSender("b", "1", sharedKey).Run(t.Context(), messages)
		m := event.SendPeer{To: "a", Address: proxy.listener.Addr().String(), Message: event.PeerMessage{Heartbeat: &event.Heartbeat{}}}
		messages <- m
		<-peer.received
		proxy.silence()
		messages <- m // is lost
		messages <- m
		select {
		case <-peer.received:
		case <-time.After(3 * sendTimeout):
			So("no message", ShouldEqual, "arrived")
		}
	})
}

func TestLargeMessageCrossesASlowLinkBesideSmallOnes(t *testing.T) {
	// Guards against a configuration that no peer can send because it takes longer than a time-out, and heartbeats that wait behind it.
	Convey("A message that takes several seconds arrives, and small ones arrive in the meantime", t, func() {
		peer := receiver{received: make(chan int, outboxMessages)}
		server := grpc.NewServer()
		peerpb.RegisterPeerServer(server, peer)
		l, err := net.Listen("tcp", "127.0.0.1:0")
		So(err, ShouldBeNil)
		go func() { _ = server.Serve(l) }()
		defer server.Stop()
		proxy, err := newSlowProxy(l.Addr().String(), 40*time.Millisecond)
		So(err, ShouldBeNil)
		defer proxy.listener.Close()
		messages := make(chan event.SendPeer)
		go NewSender("b", "1", sharedKey).Run(t.Context(), messages)
		stored := make([]byte, 300<<10)
		rng := rand.New(rand.NewPCG(1, 1))
		for i := range stored {
			stored[i] = byte(rng.Uint32())
		}
		address := proxy.listener.Addr().String()
		messages <- event.SendPeer{To: "a", Address: address, Message: event.PeerMessage{ConfigReply: &event.ConfigReply{Generation: 2, Stored: stored}}}
		small := 0
		deadline := time.After(20 * time.Second)
		for {
			select {
			case length := <-peer.received:
				if length > len(stored) {
					So(small, ShouldBeGreaterThan, 5)
					return
				}
				small++
			case <-time.After(100 * time.Millisecond):
				messages <- event.SendPeer{To: "a", Address: address, Message: event.PeerMessage{Heartbeat: &event.Heartbeat{}}}
			case <-deadline:
				So("no large message", ShouldEqual, "arrived")
			}
		}
	})
}

func TestSenderWithoutTheKeyIsRejectedBeforeItsMessage(t *testing.T) {
	// Guards against messages of strangers that are held until they are complete.
	Convey("A sender without the key is rejected although none of its message has arrived", t, func() {
		server := NewServer(runtime.NewLoop(node.Settings{Name: "a", LedgerShards: 1}), sharedKey)
		l, err := net.Listen("tcp", "127.0.0.1:0")
		So(err, ShouldBeNil)
		go func() { _ = server.Serve(l) }()
		defer server.Stop()
		conn, err := grpc.NewClient(l.Addr().String(), grpc.WithTransportCredentials(insecure.NewCredentials()))
		So(err, ShouldBeNil)
		defer conn.Close()
		ctx, cancel := context.WithTimeout(t.Context(), 5*time.Second)
		defer cancel()
		stream, err := conn.NewStream(ctx, &grpc.StreamDesc{ClientStreams: true}, peerpb.Peer_Deliver_FullMethodName)
		So(err, ShouldBeNil)
		So(status.Code(stream.RecvMsg(&peerpb.Receipt{})), ShouldEqual, codes.Unauthenticated)
	})
}
