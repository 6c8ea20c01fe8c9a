// Package daemon assembles one instance from its components and runs its
// listeners and background workers.
package daemon

import (
	"context"
	"errors"
	"net"
	"net/http"
	"sync"
	"time"

	"github.com/google/uuid"
	"github.com/prometheus/client_golang/prometheus"
	"go.uber.org/fx"
	"go.uber.org/fx/fxevent"
	"go.uber.org/zap"
	"google.golang.org/grpc"

	"plantainfield.example/core/event"
	"plantainfield.example/core/node"
	"plantainfield.example/fleet/admin"
	"plantainfield.example/fleet/callers"
	"plantainfield.example/fleet/clientconn"
	"plantainfield.example/fleet/engine"
	"plantainfield.example/fleet/peers"
	"plantainfield.example/fleet/platform"
	"plantainfield.example/fleet/runtime"
	"plantainfield.example/fleet/settings"
)

// New returns the application of one instance.
func New(s *settings.Settings, log *zap.Logger) *fx.App {
	SetMemoryLimit(s.Limits.MemoryBytes)
	return fx.New(
		fx.Supply(s, log),
		fx.WithLogger(func() fxevent.Logger {
			return &fxevent.ZapLogger{Logger: log.WithOptions(zap.IncreaseLevel(zap.WarnLevel))}
		}),
		fx.StopTimeout(settings.Millis(s.Limits.StopTimeoutMillis)+stopMargin),
		fx.Provide(
			newIdentity, newLoop, newPlatformClient, engine.NewClient, newPeerServer, newPeerSender,
			newCallers, newLimiters, newMetrics, newAdmin,
		),
		// Stop hooks run in reverse order: the workers stop gracefully before
		// the listeners close.
		fx.Invoke(runListeners, runWorkers),
	)
}

// stopMargin is the time left for closing the listeners after the graceful
// stop.
const stopMargin = 10 * time.Second

// identity identifies one run of the instance: the incarnation is new at each
// start of the process.
type identity struct{ name, incarnation string }

func newIdentity(s *settings.Settings) identity { return identity{s.Name, uuid.NewString()[:13]} }

func newLoop(s *settings.Settings, id identity, log *zap.Logger) *runtime.Loop {
	loop := runtime.NewLoop(node.Settings{Name: id.name, Incarnation: id.incarnation, DataCentre: s.DataCentre, LedgerShards: s.LedgerShards})
	loop.SetPanicHandler(func(f runtime.Failure) { logPanic(log, f) })
	return loop
}

// logPanic writes the last log line of a process that a panic of the core ends. The
// stack follows on standard error.
func logPanic(log *zap.Logger, f runtime.Failure) {
	log.Error("the decision loop panicked; the process ends", zap.String("event", f.Event), zap.Any("request", f.Request))
	_ = log.Sync()
}

func newPlatformClient(s *settings.Settings) *platform.Client {
	return platform.NewClient(s.Platform.Address, s.Platform.Timeout())
}

func newPeerServer(s *settings.Settings, loop *runtime.Loop) *grpc.Server {
	return peers.NewServer(loop, s.PeerKey)
}

func newPeerSender(s *settings.Settings, id identity) *peers.Sender {
	return peers.NewSender(id.name, id.incarnation, s.PeerKey)
}

func newCallers(s *settings.Settings, loop *runtime.Loop, client *engine.Client, log *zap.Logger) *callers.Server {
	return callers.New(loop, client, withRequestLimit(s), log)
}

func newAdmin(loop *runtime.Loop, client *platform.Client, registry *prometheus.Registry, limiters *listenerLimiters) *admin.Server {
	return admin.New(loop, client, registry, limiters.callers.Usage)
}

// workerParams are the dependencies of the background workers.
type workerParams struct {
	fx.In
	Lifecycle fx.Lifecycle
	Settings  *settings.Settings
	Loop      *runtime.Loop
	Platform  *platform.Client
	Engine    *engine.Client
	Sender    *peers.Sender
	Log       *zap.Logger
}

// runWorkers starts one goroutine for each background worker. On stop, the core
// first completes the requests in flight and returns its grants.
func runWorkers(p workerParams) {
	ctx, cancel := context.WithCancel(context.Background())
	var workers sync.WaitGroup
	p.Lifecycle.Append(fx.Hook{
		OnStart: func(context.Context) error {
			workers.Go(func() { p.Loop.Run(ctx) })
			workers.Go(func() { p.Loop.ServePlatform(ctx, p.Platform, p.Settings.Platform.FleetCallsPerSecond) })
			workers.Go(func() { p.Loop.WatchConfiguration(ctx, p.Platform) })
			workers.Go(func() { p.Loop.WatchInstances(ctx, p.Platform) })
			workers.Go(func() { p.Loop.PollTargets(ctx, p.Engine) })
			workers.Go(func() { p.Sender.Run(ctx, p.Loop.PeerMessages()) })
			return nil
		},
		OnStop: func(context.Context) error {
			stopGracefully(p)
			cancel()
			workers.Wait()
			return nil
		},
	})
}

func stopGracefully(p workerParams) {
	p.Log.Info("graceful stop begins")
	p.Loop.Post(event.Event{ShutdownRequired: &event.ShutdownRequired{}})
	select {
	case <-p.Loop.ShutdownComplete():
		p.Log.Info("graceful stop complete")
	case <-time.After(settings.Millis(p.Settings.Limits.StopTimeoutMillis)):
		p.Log.Warn("graceful stop timed out; what is outstanding stays charged")
	}
}

// listenerParams are the dependencies of the listeners.
type listenerParams struct {
	fx.In
	Lifecycle  fx.Lifecycle
	Shutdowner fx.Shutdowner
	Settings   *settings.Settings
	Callers    *callers.Server
	Admin      *admin.Server
	Limiters   *listenerLimiters
	Peers      *grpc.Server
	Log        *zap.Logger
}

// runListeners serves callers, peers and operators. The listeners close after
// the workers have stopped.
func runListeners(p listenerParams) {
	limits := p.Settings.Limits
	errorLog := zap.NewStdLog(p.Log.Named("http"))
	callerServer := &http.Server{
		Handler: p.Callers.Handler(), MaxHeaderBytes: limits.MaxHeaderBytes,
		ReadHeaderTimeout: settings.Millis(limits.ReadTimeoutMillis), IdleTimeout: settings.Millis(limits.IdleTimeoutMillis),
		ErrorLog: errorLog,
	}
	adminServer := &http.Server{
		Handler: p.Admin.Handler(), MaxHeaderBytes: limits.MaxHeaderBytes,
		ReadTimeout: settings.Millis(limits.ReadTimeoutMillis), IdleTimeout: settings.Millis(limits.IdleTimeoutMillis),
		WriteTimeout: settings.Millis(limits.ReadTimeoutMillis+limits.WriteTimeoutMillis) + adminHandlerTime, ErrorLog: errorLog,
	}
	limiters := p.Limiters
	for limiter, s := range map[*clientconn.Limiter]*http.Server{limiters.callers: callerServer, limiters.admin: adminServer} {
		s.ConnContext, s.ConnState = clientconn.ConnContext, limiter.ConnState
	}
	serve := func(name, address string, limiter *clientconn.Limiter, run func(net.Listener) error) error {
		l, err := limiter.Listen(context.Background(), address)
		if err != nil {
			return err
		}
		p.Log.Info("listening", zap.String("listener", name), zap.String("address", address))
		go func() {
			if err := run(l); err != nil && !errors.Is(err, http.ErrServerClosed) {
				p.Log.Error("listener failed", zap.String("listener", name), zap.Error(err))
				_ = p.Shutdowner.Shutdown(fx.ExitCode(1))
			}
		}()
		return nil
	}
	p.Lifecycle.Append(fx.Hook{
		OnStart: func(context.Context) error {
			return errors.Join(
				serve("callers", p.Settings.Callers.Address, limiters.callers, callerServer.Serve),
				serve("peers", p.Settings.Peers.Address, limiters.peers, p.Peers.Serve),
				serve("admin", p.Settings.Admin.Address, limiters.admin, adminServer.Serve),
			)
		},
	})
	registerClose(p, callerServer, adminServer)
}

// adminHandlerTime is the time allowed for handling an operator's request, in
// addition to reading it and writing the response.
const adminHandlerTime = 15 * time.Second

// closeTimeout bounds how long the HTTP servers together wait for open requests
// when they shut down.
const closeTimeout = 3 * time.Second

func registerClose(p listenerParams, servers ...*http.Server) {
	p.Lifecycle.Append(fx.StopHook(func() {
		ctx, cancel := context.WithTimeout(context.Background(), closeTimeout)
		defer cancel()
		for _, s := range servers {
			_ = s.Shutdown(ctx)
		}
		p.Peers.Stop()
	}))
}
