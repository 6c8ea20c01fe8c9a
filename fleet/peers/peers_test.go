package peers

import (
	"context"
	"net"
	"strings"
	"testing"

	. "github.com/smartystreets/goconvey/convey"
	"google.golang.org/grpc"
	"google.golang.org/grpc/codes"
	"google.golang.org/grpc/credentials/insecure"
	"google.golang.org/grpc/metadata"
	"google.golang.org/grpc/status"

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
