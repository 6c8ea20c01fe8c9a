package harness

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"os"
	"os/exec"
	"path/filepath"
	"time"

	"plantainfield.example/core/event"
	"plantainfield.example/fleet/platform"
	"plantainfield.example/fleet/settings"
	standin "plantainfield.example/standins/platform"
)

const (
	peerKey      = "harness-peer-key-0123456789"
	callTimeout  = 2 * time.Second
	stopTimeout  = 30 * time.Second
	ledgerShards = 4
)

// Router is one instance of the system, running as a process.
type Router struct {
	*Process
	Settings settings.Settings
}

// Target is one stand-in engine or service, running as a process.
type Target struct {
	*Process
	Instance event.Instance
	// RunLog is the file in which the target records the requests that it ran.
	RunLog    string
	program   string
	arguments []string
}

// Fleet is a platform, instances and targets that run as processes.
type Fleet struct {
	// Bin is the directory of the programs, Dir that of the processes' files.
	Bin, Dir string
	// PlatformAddress is the IP:port of the platform.
	PlatformAddress string
	Platform        *Process
	Routers         []*Router
	Targets         []*Target
	// launched are the processes of all instances, also of those that were replaced.
	launched []*Process
	client   *platform.Client
}

// NewFleet starts a platform. Programs are run from the directory bin; settings and
// logs are written to dir.
func NewFleet(bin, dir string, platformFlags ...string) (*Fleet, error) {
	f := &Fleet{Bin: bin, Dir: dir}
	if err := retryStart(func() error { return f.startPlatform(platformFlags) }); err != nil {
		return nil, err
	}
	f.client = platform.NewClient(f.PlatformAddress, callTimeout)
	return f, nil
}

func (f *Fleet) startPlatform(flags []string) error {
	address, err := FreeAddress()
	if err != nil {
		return err
	}
	f.PlatformAddress = address
	args := append([]string{"--listen", address}, flags...)
	f.Platform, err = startProcess(f.Dir, "platform", filepath.Join(f.Bin, "standin-platform"), args...)
	if err != nil {
		return err
	}
	return f.Platform.waitReady("http://" + address + "/control/stats")
}

// PlatformClient returns a client of the platform.
func (f *Fleet) PlatformClient() *platform.Client { return f.client }

// SetFaults injects faults into the platform; the zero value clears them.
func (f *Fleet) SetFaults(faults standin.Faults) error {
	raw, err := json.Marshal(faults)
	if err != nil {
		return err
	}
	return post("http://"+f.PlatformAddress+"/control/faults", raw)
}

// register adds an instance to the platform's instance list, or replaces its
// entry.
func (f *Fleet) register(in event.Instance) error {
	raw, err := json.Marshal(in)
	if err != nil {
		return err
	}
	o := event.Object{Kind: event.KindInstance, Name: in.Name, Value: raw}
	for _, op := range []event.PlatformOp{event.OpCreate, event.OpUpdate} {
		if f.client.Do(context.Background(), event.PlatformCall{Op: op, Object: o}).Status == event.PlatformOK {
			return nil
		}
	}
	return fmt.Errorf("register %s: the platform accepted neither a create nor an update", in.Name)
}

// SetState changes the state of a target in the instance list.
func (f *Fleet) SetState(t *Target, s event.InstanceState) error {
	t.Instance.State = s
	raw, err := json.Marshal(t.Instance)
	if err != nil {
		return err
	}
	call := event.PlatformCall{Op: event.OpUpdate, Object: event.Object{Kind: event.KindInstance, Name: t.Instance.Name, Value: raw}}
	if r := f.client.Do(context.Background(), call); r.Status != event.PlatformOK {
		return fmt.Errorf("update in the instance list: %s", r.Status)
	}
	return nil
}

// Unregister removes an instance from the platform's instance list.
func (f *Fleet) Unregister(name string) {
	f.client.Do(context.Background(), event.PlatformCall{Op: event.OpDelete, Object: event.Object{Kind: event.KindInstance, Name: name}})
}

// StartRouter starts an instance in a data centre and registers it. If change is
// not nil, it is called to modify the settings.
func (f *Fleet) StartRouter(name, dataCentre string, change func(*settings.Settings)) (*Router, error) {
	var r *Router
	err := retryStart(func() error {
		s, err := f.routerSettings(name, dataCentre)
		if err != nil {
			return err
		}
		if change != nil {
			change(&s)
		}
		r = &Router{Settings: s}
		return f.launch(r)
	})
	if err != nil {
		return nil, err
	}
	f.Routers = append(f.Routers, r)
	return r, f.register(event.Instance{
		Name: name, Role: event.RoleRouter, DataCentre: dataCentre, State: event.StateLive,
		Address: r.Settings.Callers.Address, PeerAddress: r.Settings.Peers.Address,
	})
}

func (f *Fleet) routerSettings(name, dataCentre string) (settings.Settings, error) {
	s := settings.Defaults()
	s.Name, s.DataCentre, s.PeerKey, s.LedgerShards = name, dataCentre, peerKey, ledgerShards
	s.Platform.Address = f.PlatformAddress
	for _, l := range []*settings.Listener{&s.Callers, &s.Peers, &s.Admin} {
		address, err := FreeAddress()
		if err != nil {
			return s, err
		}
		l.Address = address
	}
	return s, nil
}

// launch writes the settings file and starts the daemon.
func (f *Fleet) launch(r *Router) error {
	path := filepath.Join(f.Dir, r.Settings.Name+".json")
	raw, err := json.MarshalIndent(r.Settings, "", "  ")
	if err != nil {
		return err
	}
	if err := os.WriteFile(path, raw, 0o600); err != nil {
		return err
	}
	r.Process, err = startProcess(f.Dir, r.Settings.Name, filepath.Join(f.Bin, "plantainfieldd"), path)
	if err != nil {
		return err
	}
	if err := r.waitReady("http://" + r.Settings.Admin.Address + "/healthz"); err != nil {
		return err
	}
	f.launched = append(f.launched, r.Process)
	return nil
}

// EndedByThemselves returns an error for each process of an instance, and for the
// platform's, that has ended although nothing was sent to it that ends it.
func (f *Fleet) EndedByThemselves() []error {
	var errs []error
	for _, p := range append([]*Process{f.Platform}, f.launched...) {
		if err := p.EndedByItself(); err != nil {
			errs = append(errs, err)
		}
	}
	return errs
}

// Restart starts a new process for an instance whose process has ended, with the
// same settings.
func (f *Fleet) Restart(r *Router) error { return f.launch(r) }

// StartEngine starts an engine that serves the models, and registers it.
func (f *Fleet) StartEngine(name, dataCentre string, models []string, flags ...string) (*Target, error) {
	return f.startTarget(name, "standin-engine", event.Instance{Name: name, Role: event.RoleEngine, DataCentre: dataCentre, Serves: models}, flags)
}

// StartService starts a plain service, and registers it.
func (f *Fleet) StartService(name, dataCentre, service string, flags ...string) (*Target, error) {
	return f.startTarget(name, "standin-service", event.Instance{Name: name, Role: event.RoleService, DataCentre: dataCentre, Serves: []string{service}}, flags)
}

// RestartTarget starts a new process for a target whose process has ended, at the
// same address.
func (f *Fleet) RestartTarget(t *Target) error {
	var err error
	if t.Process, err = startProcess(f.Dir, t.Name, t.program, t.arguments...); err != nil {
		return err
	}
	return t.waitReady("http://" + t.Instance.Address + "/v1/load")
}

func (f *Fleet) startTarget(name, program string, in event.Instance, flags []string) (*Target, error) {
	t := &Target{Instance: in, RunLog: filepath.Join(f.Dir, name+".runs"), program: filepath.Join(f.Bin, program)}
	t.Instance.State = event.StateLive
	err := retryStart(func() error {
		address, err := FreeAddress()
		if err != nil {
			return err
		}
		t.Instance.Address = address
		t.arguments = append([]string{"--listen", address, "--name", name, "--log", t.RunLog}, flags...)
		if t.Process, err = startProcess(f.Dir, name, t.program, t.arguments...); err != nil {
			return err
		}
		return t.waitReady("http://" + address + "/v1/load")
	})
	if err != nil {
		return nil, err
	}
	f.Targets = append(f.Targets, t)
	return t, f.register(t.Instance)
}

// RunLogs returns the paths of the targets' run logs.
func (f *Fleet) RunLogs() []string {
	var paths []string
	for _, t := range f.Targets {
		paths = append(paths, t.RunLog)
	}
	return paths
}

// Command runs the operators' command-line tool with the addresses of all
// instances and returns its output.
func (f *Fleet) Command(args ...string) (string, error) {
	for _, r := range f.Routers {
		args = append(args, "--server", r.Settings.Admin.Address)
	}
	out, err := exec.Command(filepath.Join(f.Bin, "plantainfield"), args...).CombinedOutput()
	return string(out), err
}

// CommandAt runs the operators' command-line tool with the address of one instance
// and returns its output and exit code.
func (f *Fleet) CommandAt(r *Router, args ...string) (output string, exitCode int, err error) {
	args = append(args, "--server", r.Settings.Admin.Address)
	out, err := exec.Command(filepath.Join(f.Bin, "plantainfield"), args...).CombinedOutput()
	var ended *exec.ExitError
	if errors.As(err, &ended) {
		return string(out), ended.ExitCode(), nil
	}
	return string(out), 0, err
}

// Stop stops all processes gracefully: instances first, the platform last.
func (f *Fleet) Stop() error {
	errs := f.EndedByThemselves()
	for _, r := range f.Routers {
		errs = append(errs, r.Process.Stop(stopTimeout))
	}
	for _, t := range f.Targets {
		errs = append(errs, t.Process.Stop(stopTimeout))
	}
	errs = append(errs, f.Platform.Stop(stopTimeout))
	return errors.Join(errs...)
}

// Kill kills all processes.
func (f *Fleet) Kill() {
	for _, r := range f.Routers {
		r.Kill()
	}
	for _, t := range f.Targets {
		t.Kill()
	}
	f.Platform.Kill()
}
