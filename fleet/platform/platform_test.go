package platform

import (
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"
	"time"

	. "github.com/smartystreets/goconvey/convey"

	"plantainfield.example/core/event"
)

func TestCallThatGoesOnSlowlyIsNotEnded(t *testing.T) {
	// Guards against objects that never arrive because all of them take longer than a time-out.
	Convey("Of a store whose response takes eight time-outs to arrive", t, func() {
		const timeout = 500 * time.Millisecond
		stalls := false
		store := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
			_, _ = w.Write([]byte(`{"items":[{"metadata":{"name":"a"}}],"metadata":{"name":"a","resourceVersion":"7"}`))
			for range 16 {
				_ = http.NewResponseController(w).Flush()
				select {
				case <-time.After(timeout / 2):
				case <-r.Context().Done():
					return
				}
				for stalls && r.Context().Err() == nil {
					time.Sleep(timeout / 10)
				}
				_, _ = w.Write([]byte(" "))
			}
			_, _ = w.Write([]byte("}"))
		}))
		defer store.Close()
		client := NewClient(strings.TrimPrefix(store.URL, "http://"), timeout)
		get := event.PlatformCall{Op: event.OpGet, Object: event.Object{Kind: event.KindLedger, Name: "a"}}
		Convey("an object is read", func() {
			r := client.Do(t.Context(), get)
			So(r.Status, ShouldEqual, event.PlatformOK)
			So(r.Object.Version, ShouldEqual, "7")
		})
		Convey("a list is read", func() {
			list, _, err := client.List(t.Context(), event.KindLedger)
			So(err, ShouldBeNil)
			So(list, ShouldHaveLength, 1)
		})
		Convey("a response that stands still ends the call", func() {
			stalls = true
			began := time.Now()
			So(client.Do(t.Context(), get).Status, ShouldNotEqual, event.PlatformOK)
			So(time.Since(began), ShouldBeLessThan, 8*timeout)
		})
	})
}
