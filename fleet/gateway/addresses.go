package gateway

import (
	"net/http"
	"time"

	"plantainfield.example/core/event"
	"plantainfield.example/fleet/runtime"
)

// AddressResolver returns the addresses to which callers should connect.
type AddressResolver struct{ loop *runtime.Loop }

// NewAddressResolver returns an AddressResolver that queries the given loop.
func NewAddressResolver(loop *runtime.Loop) *AddressResolver { return &AddressResolver{loop} }

// Addresses returns the IP:port of instances for a caller, and how long the
// response may be cached. The data centre of the caller is ignored.
func (a *AddressResolver) Addresses(r *http.Request, _ string) ([]string, time.Duration) {
	handle, actions := a.loop.Open()
	defer a.loop.Close(handle)
	a.loop.NewPoster().Post(event.Event{AddressesRequested: &event.AddressesRequested{Query: handle}})
	select {
	case got := <-actions:
		return got.AnswerAddresses.Addresses, got.AnswerAddresses.TTL
	case <-a.loop.Ended():
	case <-r.Context().Done():
	}
	return nil, 0
}
