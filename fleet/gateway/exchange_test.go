package gateway

import (
	"context"
	"net/http"
	"net/http/httptest"
	"testing"
	"time"

	. "github.com/smartystreets/goconvey/convey"
	"go.uber.org/zap"

	"plantainfield.example/core/config"
	"plantainfield.example/core/errkind"
	"plantainfield.example/core/node"
	"plantainfield.example/fleet/runtime"
	"plantainfield.example/fleet/settings"
)

// recordingProtocol keeps the refusals that are written.
type recordingProtocol struct {
	Protocol
	refusals []Refusal
}

func (p *recordingProtocol) Refuse(_ http.ResponseWriter, r Refusal) {
	p.refusals = append(p.refusals, r)
}

func TestRequestThatMayHaveRunIsNotRefusedAsNotRunWhenTheLoopEnds(t *testing.T) {
	Convey("Given an instance whose loop has ended", t, func() {
		loop := runtime.NewLoop(node.Settings{Name: "n1", LedgerShards: 1})
		ended, cancel := context.WithCancel(t.Context())
		cancel()
		loop.Run(ended)
		protocol := &recordingProtocol{}
		set := settings.Defaults()
		server := New(loop, nil, nil, protocol, &set, zap.NewNop())
		for mayHaveRun, ran := range map[bool]errkind.Ran{true: errkind.RanUnknown, false: errkind.RanNo} {
			x := &exchange{
				server: server, w: httptest.NewRecorder(), r: httptest.NewRequest(http.MethodPost, "/once/x", nil),
				route: &config.Route{TimeoutMillis: 60_000}, index: &config.Index{}, mayHaveRun: mayHaveRun,
			}
			x.arrived = time.Now()
			x.run()
			So(protocol.refusals[len(protocol.refusals)-1].Ran, ShouldEqual, ran)
			So(protocol.refusals[len(protocol.refusals)-1].Kind, ShouldEqual, errkind.Stopping)
		}
	})
}
