package gateway

import (
	"net/http"
	"time"

	"plantainfield.example/core/event"
	"plantainfield.example/fleet/runtime"
)

// AddressResolver answers where callers should connect.
type AddressResolver struct{ loop *runtime.Loop }

// NewAddresses returns the answers of a loop.
func NewAddresses(loop *runtime.Loop) *AddressResolver { return &AddressResolver{loop} }

// Addresses returns IP:port of instances for a caller in a data centre, and how
// long the answer may be kept.
func (a *AddressResolver) Addresses(r *http.Request, _ string) ([]string, time.Duration) {
	handle, ring := a.loop.Open()
	defer a.loop.Close(handle)
	a.loop.Post(event.Event{AddressesRequested: &event.AddressesRequested{Query: handle}})
	select {
	case got := <-ring:
		return got.AnswerAddresses.Addresses, got.AnswerAddresses.TTL
	case <-a.loop.Ended():
	case <-r.Context().Done():
	}
	return nil, 0
}
