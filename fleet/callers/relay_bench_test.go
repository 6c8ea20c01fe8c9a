package callers

import (
	"io"
	"net/http"
	"net/http/httptest"
	"strconv"
	"strings"
	"testing"

	"plantainfield.example/core/event"
	"plantainfield.example/core/stream"
)

const (
	benchAttempt = "bursa-1-0123456789abc-17-1"
	benchData    = "\ndata: {\"id\":\"" + benchAttempt + "\",\"object\":\"chat.completion.chunk\",\"created\":0," +
		"\"model\":\"assistant\",\"choices\":[{\"index\":0,\"delta\":{\"content\":\"word \"},\"finish_reason\":null}]}\n\n"
)

// frameSource produces an engine response of n frames; each read returns burst
// frames.
type frameSource struct{ n, next, burst int }

func (f *frameSource) Read(p []byte) (int, error) {
	if f.next >= f.n {
		return 0, io.EOF
	}
	frames := p[:0]
	for range f.burst {
		frames = strconv.AppendInt(append(frames, "id: "...), int64(f.next), 10)
		frames = append(frames, benchData...)
		f.next++
	}
	return len(frames), nil
}

// BenchmarkRelayFrame relays frames that arrive one at a time to a caller on a
// loopback connection. One operation is one frame.
func BenchmarkRelayFrame(b *testing.B) { relayFrames(b, 1) }

// BenchmarkRelayBurst relays frames that arrive eight at a time, as they do
// when the instance falls behind. One operation is one frame.
func BenchmarkRelayBurst(b *testing.B) { relayFrames(b, 8) }

func relayFrames(b *testing.B, burst int) {
	s := newServer(newFakeCore(func(event.Event) []event.Action { return nil }))
	front := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		x := s.newExchange(w, r, nil, nil)
		x.streamed, x.arrival.Idempotent = true, true
		a := &chatAttempt{exchange: x, dispatch: &event.Dispatch{Attempt: benchAttempt}, checker: stream.Checker{Attempt: benchAttempt}}
		_, a.idle = withIdleTimeout(r.Context(), s.targetIdleTimeout())
		defer a.idle.stop()
		source := &frameSource{n: b.N, burst: burst}
		b.ReportAllocs()
		b.ResetTimer()
		_ = a.relay(source)
		b.StopTimer()
	}))
	defer front.Close()
	resp, err := http.Post(front.URL, "application/json", strings.NewReader("{}"))
	if err != nil {
		b.Fatal(err)
	}
	defer resp.Body.Close()
	if _, err := io.Copy(io.Discard, resp.Body); err != nil {
		b.Fatal(err)
	}
}
