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
	"plantainfield.example/fleet/callstats"
	"plantainfield.example/fleet/clientconn"
	"plantainfield.example/fleet/datagram"
	"plantainfield.example/fleet/gateway"
	"plantainfield.example/fleet/logring"
	"plantainfield.example/fleet/peers"
	"plantainfield.example/fleet/runtime"
	"plantainfield.example/fleet/settings"
	"plantainfield.example/fleet/upstream"
)

// PlatformAdapter connects an instance to a platform that stores the
// configuration, lists the targets and defines the protocol of callers and
// targets.
type PlatformAdapter struct {
	Settings *settings.Settings
	// Self is the entry of this instance in the instance list.
	Self event.Instance
	// DirectoryAddress, ReadyAddress and MetricsAddress are the IP:port of
	// further listeners.
	DirectoryAddress, ReadyAddress, MetricsAddress string
	// MaxObjectBytes is the largest size of an object that the platform stores, or 0
	// if it is not known.
	MaxObjectBytes int
	// ConfigBound is the time after its acceptance within which a configuration must be
	// in force, or 0 if it is not known.
	ConfigBound time.Duration
	// GracePeriod is the time from the stop signal until the process must have
	// exited.
	GracePeriod time.Duration
	// Retries bounds the retries of the whole fleet.
	Retries config.RetryPolicy
	// AddressTTL is the maximum time for which callers may cache an address
	// response.
	AddressTTL time.Duration
	// AttemptIDHeader is the header in which targets return the attempt ID.
	AttemptIDHeader string
	Protocol        gateway.Protocol
	// DialTarget opens connections to targets; nil for TCP.
	DialTarget     upstream.DialFunc
	PlatformClient runtime.PlatformClient
	// PlatformCalls counts the calls to the platform.
	PlatformCalls *callstats.Recorder
	// BackgroundTasks returns the tasks that follow the platform's state, given
	// the loop and the entry of this instance.
	BackgroundTasks func(loop *runtime.Loop, self event.Instance) []func(context.Context)
	// DirectoryHandler and ReadyHandler return the handlers of the directory
	// and readiness listeners.
	DirectoryHandler func(addresses *gateway.AddressResolver) http.Handler
	ReadyHandler     func(ready func() bool) http.Handler
}

// memoryLimitPerMille is the share of the process's memory at which the garbage
// collector works harder. The rest is left for stacks, kernel buffers and
// bursts.
const memoryLimitPerMille = 600

// SetMemoryLimit sets the garbage collector's soft memory limit for a process
// that may use the given number of bytes.
func SetMemoryLimit(bytes int64) { debug.SetMemoryLimit(bytes / 1000 * memoryLimitPerMille) }

// NewHosted returns the application of one instance that runs on a platform.
func NewHosted(adapter *PlatformAdapter, log *zap.Logger) *fx.App {
	SetMemoryLimit(adapter.Settings.Limits.MemoryBytes)
	return fx.New(
		fx.Supply(adapter, adapter.Settings, log),
		fx.WithLogger(func() fxevent.Logger {
			return &fxevent.ZapLogger{Logger: log.WithOptions(zap.IncreaseLevel(zap.WarnLevel))}
		}),
		fx.StartTimeout(hostedStartTimeout),
		fx.StopTimeout(adapter.GracePeriod),
		fx.Provide(newIdentity, newHostedLoop, newUpstream, newGateway, newPeerServer, newPeerSender, newDatagramTransport, newHostedLimiters, gateway.NewAddressResolver),
		fx.Invoke(runHostedListeners, runHostedWorkers),
	)
}

// hostedStartTimeout allows for a start on a small share of a processor.
const hostedStartTimeout = 30 * time.Second

func newHostedLoop(adapter *PlatformAdapter, id identity, log *zap.Logger) *runtime.Loop {
	adapter.Self.Incarnation = id.incarnation
	loop := runtime.NewLoop(node.Settings{
		Name: id.name, Incarnation: id.incarnation, DataCentre: adapter.Self.DataCentre, LedgerShards: adapter.Settings.LedgerShards, Self: adapter.Self,
		Disabled: node.Features{Bills: true, BegunRecords: true, ConfigurationStore: true, TargetReports: true, QuarantineClaims: true},
		Policies: hostedPolicies(adapter), SoleProcess: true, MaxObjectBytes: adapter.MaxObjectBytes, ConfigBound: adapter.ConfigBound,
	})
	loop.SetTickPeriod(hostedTickPeriod)
	loop.SetPanicHandler(func(f runtime.Failure) { logPanic(log, f) })
	loop.SetLogHandler(func(entry event.LogEntry) {
		fields := make([]zap.Field, 0, len(entry.Fields))
		for _, f := range entry.Fields {
			fields = append(fields, zap.Any(f.Name, f.Value))
		}
		log.Info(entry.Subject, fields...)
	})
	return loop
}

// hostedTickPeriod is long enough to keep the cost of an idle instance low, and
// short compared with every delay that the core waits for.
const hostedTickPeriod = 25 * time.Millisecond

func newDatagramTransport(adapter *PlatformAdapter, id identity, loop *runtime.Loop, log *zap.Logger) (*datagram.Transport, error) {
	t, err := datagram.Listen(adapter.Self.DatagramAddress, adapter.Settings.PeerKey, id.name, id.incarnation, loop, log)
	if err == nil {
		loop.SetDatagramSender(t.Send)
	}
	return t, err
}

func newUpstream(adapter *PlatformAdapter) *upstream.Client {
	client := upstream.NewClient(adapter.AttemptIDHeader, adapter.DialTarget)
	client.SetMaxIdle(connections(adapter.Settings).IdleTargets)
	return client
}

func newGateway(adapter *PlatformAdapter, loop *runtime.Loop, targets *upstream.Client, log *zap.Logger) *gateway.Server {
	peerClient := upstream.NewPeerClient(adapter.AttemptIDHeader)
	peerClient.SetMaxIdle(connections(adapter.Settings).IdlePeers)
	return gateway.New(loop, targets, peerClient, adapter.Protocol, withRequestLimit(adapter.Settings), log)
}

// hostedParams are the dependencies of the background workers and the
// listeners.
type hostedParams struct {
	fx.In
	Lifecycle  fx.Lifecycle
	Shutdowner fx.Shutdowner
	Adapter    *PlatformAdapter
	Loop       *runtime.Loop
	Gateway    *gateway.Server
	Limiters   *listenerLimiters
	Targets    *upstream.Client
	Addresses  *gateway.AddressResolver
	Sender     *peers.Sender
	Datagrams  *datagram.Transport
	Peers      *grpc.Server
	Log        *zap.Logger
}

// runHostedWorkers starts one goroutine for each background worker.
func runHostedWorkers(p hostedParams) {
	ctx, cancel := context.WithCancel(context.Background())
	var workers sync.WaitGroup
	p.Lifecycle.Append(fx.Hook{
		OnStart: func(context.Context) error {
			workers.Go(func() { p.Loop.Run(ctx) })
			workers.Go(func() {
				p.Loop.ServePlatform(ctx, p.Adapter.PlatformClient, p.Adapter.Settings.Platform.FleetCallsPerSecond)
			})
			workers.Go(func() { p.Adapter.PlatformCalls.LogEvery(ctx, callLogPeriod, p.Log) })
			load := loadLog{loop: p.Loop, server: p.Gateway, targets: p.Targets, peers: p.Sender, log: p.Log.Named(logring.InstanceLogger)}
			workers.Go(func() { load.run(ctx) })
			workers.Go(func() { p.Datagrams.Run(ctx) })
			workers.Go(func() { p.Targets.Run(ctx) })
			workers.Go(func() { p.Gateway.RunPeerConnections(ctx) })
			for range probeWorkers {
				workers.Go(func() { p.Gateway.RunProbes(ctx) })
			}
			workers.Go(func() { p.Sender.Run(ctx, p.Loop.PeerMessages()) })
			for _, task := range p.Adapter.BackgroundTasks(p.Loop, p.Adapter.Self) {
				workers.Go(func() { task(ctx) })
			}
			p.Log.Info("started", zap.String("incarnation", p.Adapter.Self.Incarnation))
			return nil
		},
		OnStop: func(context.Context) error {
			p.Gateway.Stop()
			stopHosted(p)
			cancel()
			workers.Wait()
			return nil
		},
	})
}

// probeWorkers is the number of targets that are probed at a time.
const probeWorkers = 4

// callLogPeriod is the time between two log lines with the calls to the
// platform.
const callLogPeriod = 10 * time.Second

// Parts of the grace period after a stop signal, per mille.
const (
	// lingerPerMille is how long new requests are still served. This is longer than
	// callers cache an address response.
	lingerPerMille = 375
	// endPerMille is when the requests that are still in progress are ended, so that
	// their callers get an answer before the process exits, and exitPerMille when the
	// loop ends, whatever is outstanding.
	endPerMille  = 875
	exitPerMille = 935
)

// hostedStopMargin is how long before the end of the grace period the loop ends
// without requests in progress, although the core has not completed its stop.
const hostedStopMargin = 1500 * time.Millisecond

// stopHosted waits until the core has completed a graceful stop, or until the grace
// period is nearly over.
func stopHosted(p hostedParams) {
	p.Log.Info("graceful stop begins", zap.Int64("requests", p.Gateway.ActiveRequests()))
	grace := p.Adapter.GracePeriod
	linger, end := grace*lingerPerMille/1000, grace*endPerMille/1000
	p.Loop.Post(event.Event{ShutdownRequired: &event.ShutdownRequired{Linger: linger, End: end}})
	withoutRequests, ended, exit := time.After(grace-hostedStopMargin), time.After(end), time.After(grace*exitPerMille/1000)
	timedOut := false
	for !timedOut {
		select {
		case <-p.Loop.ShutdownComplete():
			p.Log.Info("graceful stop complete")
			return
		case <-withoutRequests:
			timedOut = p.Gateway.ActiveRequests() == 0
		case <-ended:
			p.Log.Info("requests in progress are ended", zap.Int64("requests", p.Gateway.ActiveRequests()))
			p.Gateway.EndRequests()
		case <-exit:
			timedOut = true
		}
	}
	p.Log.Warn("graceful stop timed out; what is outstanding stays charged", zap.Int64("requests", p.Gateway.ActiveRequests()))
}

// runHostedListeners serves callers, peers and the platform.
func runHostedListeners(p hostedParams) {
	limits := p.Adapter.Settings.Limits
	metrics := http.NewServeMux()
	metrics.Handle("/metrics", promhttp.HandlerFor(hostedRegistry(p), promhttp.HandlerOpts{}))
	limiters := p.Limiters
	servers := map[*clientconn.Limiter]*http.Server{
		limiters.callers:   {Addr: p.Adapter.Settings.Callers.Address, Handler: p.Gateway},
		limiters.directory: {Addr: p.Adapter.DirectoryAddress, Handler: p.Adapter.DirectoryHandler(p.Addresses)},
		limiters.ready:     {Addr: p.Adapter.ReadyAddress, Handler: p.Adapter.ReadyHandler(p.Gateway.Ready)},
		limiters.metrics:   {Addr: p.Adapter.MetricsAddress, Handler: metrics},
	}
	errorLog := zap.NewStdLog(p.Log.Named("http").WithOptions(zap.IncreaseLevel(zap.WarnLevel)))
	serve := func(address string, limiter *clientconn.Limiter, run func(net.Listener) error) error {
		l, err := limiter.Listen(context.Background(), address)
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
			for limiter, s := range servers {
				s.ConnContext, s.ConnState = clientconn.ConnContext, limiter.ConnState
				s.MaxHeaderBytes = limits.MaxHeaderBytes
				s.ReadHeaderTimeout, s.IdleTimeout = settings.Millis(limits.ReadTimeoutMillis), settings.Millis(limits.IdleTimeoutMillis)
				s.ErrorLog = errorLog
				failed = errors.Join(failed, serve(s.Addr, limiter, s.Serve))
			}
			return errors.Join(failed, serve(p.Adapter.Settings.Peers.Address, limiters.peers, p.Peers.Serve))
		},
		OnStop: func(stop context.Context) error {
			ctx, cancel := context.WithTimeout(context.Background(), listenerCloseTimeout(stop))
			defer cancel()
			for _, s := range servers {
				_ = s.Shutdown(ctx)
			}
			p.Peers.Stop()
			return nil
		},
	})
}

const (
	// hostedCloseTimeout bounds how long responses in progress may take to finish
	// after the core has stopped, and exitMargin is what remains of the grace period
	// afterwards.
	hostedCloseTimeout = time.Second
	exitMargin         = 250 * time.Millisecond
)

// listenerCloseTimeout returns how long the listeners may take to close, given the
// context of the stop, which ends with the grace period.
func listenerCloseTimeout(stop context.Context) time.Duration {
	deadline, ok := stop.Deadline()
	if !ok {
		return hostedCloseTimeout
	}
	return max(0, min(hostedCloseTimeout, time.Until(deadline)-exitMargin))
}
