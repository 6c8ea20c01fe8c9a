package main

import (
	"fmt"
	"net"
	"os"
	"os/exec"
	"path/filepath"
	"runtime"
	"strings"
	"syscall"
)

// zones are the places of the deployment.
var zones = []string{"bursa", "kocaeli", "istanbul-a", "istanbul-e"}

// ports are the same on all machines.
type ports struct{ frontend, ready, control, directory, internal int }

// instance is one process of the system on a loopback address of its own.
type instance struct {
	name, address, zone string
	ports               ports
	settings            string
	log                 *os.File
	cmd                 *exec.Cmd
	exited              chan struct{}
}

func (i *instance) frontend() string { return fmt.Sprintf("%s:%d", i.address, i.ports.frontend) }

func (i *instance) directory() string { return fmt.Sprintf("%s:%d", i.address, i.ports.directory) }

func (i *instance) ready() string { return fmt.Sprintf("%s:%d", i.address, i.ports.ready) }

// freePorts returns ports that are free at present, with room for a range after the
// last one.
func freePorts() (ports, error) {
	var free []int
	for len(free) < 5 {
		l, err := net.Listen("tcp", "127.0.0.1:0")
		if err != nil {
			return ports{}, err
		}
		defer l.Close()
		free = append(free, l.Addr().(*net.TCPAddr).Port)
	}
	return ports{free[0], free[1], free[2], free[3], free[4]}, nil
}

// fleet is the system's processes.
type fleet struct {
	dir   string
	store string
	// all are the machines that there are, instances those that the case uses.
	all, instances []*instance
	spawn          chan func()
}

func newFleet(dir, store string, count int) (*fleet, error) {
	free, err := freePorts()
	if err != nil {
		return nil, err
	}
	f := &fleet{dir: dir, store: store, spawn: make(chan func())}
	// The kernel ends the processes when the thread that started them ends.
	go func() {
		runtime.LockOSThread()
		for start := range f.spawn {
			start()
		}
	}()
	for k := range count {
		zone := zones[k%len(zones)]
		f.all = append(f.all, &instance{
			name: fmt.Sprintf("edge-%s-%d", zone, k/len(zones)+1), address: fmt.Sprintf("127.0.0.%d", 21+k), zone: zone, ports: free,
		})
	}
	f.instances = f.all
	return f, nil
}

const settingsFormat = `node_name: %q
role: "router"
machine_class: "edge"
serves: ["edge", "registry", "control_plane"]
ip_address: %q
zone: %q
region: "marmara"
zones: {bursa: "marmara", kocaeli: "marmara", istanbul-a: "marmara", istanbul-e: "marmara"}
listen_addresses: {frontend: "%s:%d", ready: "%s:%d", control_plane: "%s:%d", directory_service: "%s:%d"}
internal_port_range: [%d, %d]
seed_nodes: [%s]
bootstrap: true
failure_counted: false
limits: {cpu_quota: 0.4, cpu_cores: 1, memory_mb: 134, file_descriptor_limit: 4100, link_bandwidth_mbps: 1000.0, disk_mb: 0}
data_directory: null
discovery_source: "platform"
entry_kind: "registry"
heartbeat_interval_ms: 1200
contracts: ["base", "drain", "config", "cost", "retry", "recover", "engine", "stream", "tenants", "platform"]
fault_tolerance: {machine_failures: 2, zones: 0, region_failures: 0}
bounds:
  seed_lag_s: 3
  reuse_delay_s: 2
  stability_window_ms: 3000
  acknowledge_ms: 4000
  catch_up_s: 4
  drain_timeout_ms: 2000
  grace_period_s: 8
  loss_slack_ms: 200
  config_propagation_ms: 2000
  regression_window_ms: 250
  partition_extension_ms: 5000
  revocation_fail_closed: false
  revocation_ms: 5000
  retry_budget_ratio: 0.2
  budget_window_s: 10
  retry_budget_extra: 58
  recovery_time_s: 12
  forward_pass_ms: 120
  retry_after_s: 9.1
  settle_ms: 1500
  ttl_max_s: 5
platform: {address: %q, form: "objects", writes_per_s: 400, reads_per_s: 2000, history_retention_s: 20, max_value_bytes: 1048576, minimum_ttl_ms: 1000}
`

// start starts the process of an instance.
func (f *fleet) start(i *instance) error {
	var seeds []string
	for _, o := range f.instances[:min(3, len(f.instances))] {
		seeds = append(seeds, fmt.Sprintf("%q", fmt.Sprintf("%s:%d", o.address, o.ports.control)))
	}
	a, p := i.address, i.ports
	text := fmt.Sprintf(settingsFormat, i.name, a, i.zone, a, p.frontend, a, p.ready, a, p.control, a, p.directory,
		p.internal, p.internal+15, strings.Join(seeds, ", "), f.store)
	i.settings = filepath.Join(f.dir, i.name+".yaml")
	if err := os.WriteFile(i.settings, []byte(text), 0o600); err != nil {
		return err
	}
	if i.log == nil {
		log, err := os.Create(filepath.Join(f.dir, i.name+".log"))
		if err != nil {
			return err
		}
		i.log = log
	}
	cmd := exec.Command("target/plantainfieldd", "hosted")
	cmd.Env = []string{"PATH=" + os.Getenv("PATH"), "HOME=" + f.dir, "LANG=C.UTF-8", "PLANTAINFIELD_BOOT=" + i.settings}
	cmd.Stdout, cmd.Stderr = i.log, i.log
	cmd.SysProcAttr = &syscall.SysProcAttr{Pdeathsig: syscall.SIGKILL}
	started := make(chan error)
	f.spawn <- func() { started <- cmd.Start() }
	if err := <-started; err != nil {
		return err
	}
	exited := make(chan struct{})
	i.cmd, i.exited = cmd, exited
	go func() {
		_ = cmd.Wait()
		close(exited)
	}()
	return nil
}

func (f *fleet) startAll() error {
	for _, i := range f.instances {
		if err := f.start(i); err != nil {
			return err
		}
	}
	return nil
}

// signal sends a signal to the process of an instance.
func (i *instance) signal(s syscall.Signal) {
	if i.cmd != nil {
		_ = i.cmd.Process.Signal(s)
	}
}

// killAll ends all processes that the fleet has started.
func (f *fleet) killAll() {
	for _, i := range f.instances {
		if i.cmd != nil {
			_ = i.cmd.Process.Kill()
			<-i.exited
		}
	}
}
