package daemon

import (
	"context"
	"errors"
	"net"
	"net/http"
	"runtime/debug"
	"sync"
	"time"

	"github.com/prometheus/client_golang/prometheus/promhttp"
	"go.uber.org/fx"
	"go.uber.org/fx/fxevent"
	"go.uber.org/zap"
	"google.golang.org/grpc"

	"plantainfield.example/core/config"
	"plantainfield.example/core/event"
	"plantainfield.example/core/node"
	"plantainfield.example/fleet/datagram"
	"plantainfield.example/fleet/gateway"
	"plantainfield.example/fleet/peers"
	"plantainfield.example/fleet/runtime"
	"plantainfield.example/fleet/settings"
	"plantainfield.example/fleet/upstream"
)

// PlatformAdapter is a platform that holds the configuration, names the targets and speaks
// to callers in its own protocol.
type PlatformAdapter struct {
	Settings *settings.Settings
	// Self is this instance's entry for other instances.
	Self event.Instance
	// DirectoryAddress, ReadyAddress and MetricsAddress are the addresses of further listeners.
	DirectoryAddress, ReadyAddress, MetricsAddress string
	// MemoryBytes is the most that the process may use.
	MemoryBytes int64
	// GracePeriod is the time from a stop signal to the end of the process.
	GracePeriod time.Duration
	// Retries bounds the repeats of the whole fleet.
	Retries config.RetryPolicy
	// AddressTTL is the longest that callers may keep an address answer.
	AddressTTL time.Duration
	// AttemptIDHeader is the header in which targets return an attempt's id.
	AttemptIDHeader string
	Protocol        gateway.Protocol
	PlatformClient  runtime.Platform
	// BackgroundTasks follow the platform; they get the loop and this instance's entry.
	BackgroundTasks func(loop *runtime.Loop, self event.Instance) []func(context.Context)
	// DirectoryHandler and ReadyHandler answer on those listeners.
	DirectoryHandler func(addresses *gateway.AddressResolver) http.Handler
	ReadyHandler     func(ready func() bool) http.Handler
}

// memoryShare is the part of the memory, in per mille, at which the collector
// works harder: the rest is for stacks, buffers of the kernel and bursts.
const memoryShare = 600

// SetMemoryLimit tells the collector how much the process may use.
func SetMemoryLimit(bytes int64) { debug.SetMemoryLimit(bytes / 1000 * memoryShare) }

// NewHosted returns the application of one instance on a platform.
func NewHosted(h *PlatformAdapter, log *zap.Logger) *fx.App {
	SetMemoryLimit(h.MemoryBytes)
	return fx.New(
		fx.Supply(h, h.Settings, log),
		fx.WithLogger(func() fxevent.Logger {
			return &fxevent.ZapLogger{Logger: log.WithOptions(zap.IncreaseLevel(zap.WarnLevel))}
		}),
		fx.StartTimeout(hostedStartTimeout),
		fx.StopTimeout(h.GracePeriod),
		fx.Provide(newIdentity, newHostedLoop, newUpstream, newGateway, newPeerServer, newPeerSender, newDatagrams, gateway.NewAddresses),
		fx.Invoke(runHostedListeners, runHostedDuties),
	)
}

// hostedStartTimeout is long for a start on a small share of a processor.
const hostedStartTimeout = 30 * time.Second

func newHostedLoop(h *PlatformAdapter, id identity, log *zap.Logger) *runtime.Loop {
	h.Self.Incarnation = id.incarnation
	loop := runtime.NewLoop(node.Settings{
		Name: id.name, Incarnation: id.incarnation, DataCentre: h.Self.DataCentre, LedgerShards: h.Settings.LedgerShards, Self: h.Self,
		Disabled: node.Features{Bills: true, BegunRecords: true, ConfigurationStore: true, TargetReports: true, QuarantineClaims: true},
		Policies: hostedPolicies(h),
	})
	loop.TickEvery(hostedTick)
	loop.LogNotes(func(n event.LogEntry) {
		fields := make([]zap.Field, 0, len(n.Fields))
		for _, f := range n.Fields {
			fields = append(fields, zap.Any(f.Name, f.Value))
		}
		log.Info(n.Subject, fields...)
	})
	return loop
}

// hostedTick is long enough that an idle instance costs little, and short
// beside every delay that the core waits for.
const hostedTick = 25 * time.Millisecond

func newDatagrams(h *PlatformAdapter, id identity, loop *runtime.Loop, log *zap.Logger) (*datagram.Transport, error) {
	t, err := datagram.Listen(h.Self.DatagramAddress, h.Settings.PeerKey, id.name, id.incarnation, loop, log)
	if err == nil {
		loop.SendDatagrams(t.Send)
	}
	return t, err
}

func newUpstream(h *PlatformAdapter) *upstream.Client { return upstream.NewClient(h.AttemptIDHeader) }

func newGateway(h *PlatformAdapter, loop *runtime.Loop, targets *upstream.Client, log *zap.Logger) *gateway.Server {
	return gateway.New(loop, targets, h.Protocol, h.Settings, log)
}

// hostedParams are what the duties and listeners work with.
type hostedParams struct {
	fx.In
	Lifecycle  fx.Lifecycle
	Shutdowner fx.Shutdowner
	Host       *PlatformAdapter
	Loop       *runtime.Loop
	Gateway    *gateway.Server
	Addresses  *gateway.AddressResolver
	Sender     *peers.Sender
	Datagrams  *datagram.Transport
	Peers      *grpc.Server
	Log        *zap.Logger
}

// runHostedDuties starts one goroutine for each duty.
func runHostedDuties(p hostedParams) {
	ctx, cancel := context.WithCancel(context.Background())
	var duties sync.WaitGroup
	p.Lifecycle.Append(fx.Hook{
		OnStart: func(context.Context) error {
			duties.Go(func() { p.Loop.Run(ctx) })
			duties.Go(func() { p.Loop.ServePlatform(ctx, p.Host.PlatformClient, p.Host.Settings.Platform.FleetCallsPerSecond) })
			duties.Go(func() { p.Datagrams.Run(ctx) })
			duties.Go(func() { p.Sender.Run(ctx, p.Loop.PeerMessages()) })
			for _, duty := range p.Host.BackgroundTasks(p.Loop, p.Host.Self) {
				duties.Go(func() { duty(ctx) })
			}
			p.Log.Info("started", zap.String("incarnation", p.Host.Self.Incarnation))
			return nil
		},
		OnStop: func(context.Context) error {
			p.Gateway.Stop()
			stopHosted(p)
			cancel()
			duties.Wait()
			return nil
		},
	})
}

// stopMarginHosted is the part of the grace period that is left for closing
// listeners after the core has stopped.
const stopMarginHosted = 1500 * time.Millisecond

// lingerShare is the part of the grace period, in per mille, in which new
// requests are still served: longer than callers keep an address answer.
const lingerShare = 375

func stopHosted(p hostedParams) {
	p.Log.Info("graceful stop begins", zap.Int64("requests", p.Gateway.Streams()))
	p.Loop.Post(event.Event{ShutdownRequired: &event.ShutdownRequired{Linger: p.Host.GracePeriod * lingerShare / 1000}})
	select {
	case <-p.Loop.Stopped():
		p.Log.Info("graceful stop complete")
	case <-time.After(p.Host.GracePeriod - stopMarginHosted):
		p.Log.Warn("graceful stop timed out; what is outstanding stays charged", zap.Int64("requests", p.Gateway.Streams()))
	}
}

// runHostedListeners serves callers, peers and the platform.
func runHostedListeners(p hostedParams) {
	limits := p.Host.Settings.Limits
	metrics := http.NewServeMux()
	metrics.Handle("/metrics", promhttp.HandlerFor(hostedRegistry(p), promhttp.HandlerOpts{}))
	servers := map[string]*http.Server{
		p.Host.Settings.Callers.Address: {Handler: p.Gateway, MaxHeaderBytes: limits.MaxHeaderBytes},
		p.Host.DirectoryAddress:         {Handler: p.Host.DirectoryHandler(p.Addresses)},
		p.Host.ReadyAddress:             {Handler: p.Host.ReadyHandler(p.Gateway.Ready)},
		p.Host.MetricsAddress:           {Handler: metrics},
	}
	errorLog := zap.NewStdLog(p.Log.Named("http").WithOptions(zap.IncreaseLevel(zap.WarnLevel)))
	serve := func(address string, run func(net.Listener) error) error {
		l, err := net.Listen("tcp", address)
		if err != nil {
			return err
		}
		go func() {
			if err := run(l); err != nil && !errors.Is(err, http.ErrServerClosed) {
				p.Log.Error("listener failed", zap.String("address", address), zap.Error(err))
				_ = p.Shutdowner.Shutdown(fx.ExitCode(1))
			}
		}()
		return nil
	}
	p.Lifecycle.Append(fx.Hook{
		OnStart: func(context.Context) error {
			var failed error
			for address, s := range servers {
				s.ReadHeaderTimeout, s.IdleTimeout = settings.Millis(limits.ReadTimeoutMillis), settings.Millis(limits.IdleTimeoutMillis)
				s.ErrorLog = errorLog
				failed = errors.Join(failed, serve(address, s.Serve))
			}
			return errors.Join(failed, serve(p.Host.Settings.Peers.Address, p.Peers.Serve))
		},
		OnStop: func(context.Context) error {
			ctx, cancel := context.WithTimeout(context.Background(), hostedCloseTimeout)
			defer cancel()
			for _, s := range servers {
				_ = s.Shutdown(ctx)
			}
			p.Peers.Stop()
			return nil
		},
	})
}

// hostedCloseTimeout bounds the end of answers that are being written when the
// core has stopped.
const hostedCloseTimeout = time.Second
