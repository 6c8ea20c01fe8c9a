package main

import (
	"context"
	"fmt"
	"net"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"strings"
	"syscall"
	"time"
)

// program is the program that the deploy file builds, with its argument.
var program = []string{"target/plantainfieldd", "hosted"}

// instance is a process of the system under test.
type instance struct {
	name, dir                                     string
	frontend, ready, control, directory, internal string
	firstPort                                     int
	cmd                                           *exec.Cmd
	exited                                        chan error
	log                                           *os.File
}

// freePorts returns free ports of the loopback address.
func freePorts(count int) ([]int, error) {
	var listeners []net.Listener
	defer func() {
		for _, l := range listeners {
			_ = l.Close()
		}
	}()
	var ports []int
	for range count {
		l, err := net.Listen("tcp", "127.0.0.1:0")
		if err != nil {
			return nil, err
		}
		listeners = append(listeners, l)
		ports = append(ports, l.Addr().(*net.TCPAddr).Port)
	}
	return ports, nil
}

// newInstance prepares an instance: its addresses and its folder.
func newInstance(name, dir string) (*instance, error) {
	ports, err := freePorts(5)
	if err != nil {
		return nil, err
	}
	at := func(i int) string { return fmt.Sprintf("127.0.0.1:%d", ports[i]) }
	in := &instance{name: name, dir: filepath.Join(dir, name), frontend: at(0), ready: at(1), control: at(2), directory: at(3), internal: at(4), firstPort: ports[4]}
	return in, os.MkdirAll(in.dir, 0o755)
}

func (in *instance) settingsPath() string { return filepath.Join(in.dir, "local.yaml") }

// writeSettings writes the settings file. storeAddress is where the instance finds the store.
func (in *instance) writeSettings(storeAddress string, seeds []string) error {
	var b strings.Builder
	fmt.Fprintf(&b, "node_name: %q\nrole: \"router\"\nmachine_class: \"edge\"\nserves: [\"edge\", \"control_plane\", \"registry\"]\n", in.name)
	b.WriteString("ip_address: \"127.0.0.1\"\nzone: \"zone-a\"\nregion: \"region-a\"\nzones:\n  zone-a: \"region-a\"\n")
	fmt.Fprintf(&b, "listen_addresses:\n  frontend: %q\n  ready: %q\n  control_plane: %q\n  directory_service: %q\n", in.frontend, in.ready, in.control, in.directory)
	fmt.Fprintf(&b, "internal_port_range: [%d, %d]\nseed_nodes:\n", in.firstPort, in.firstPort)
	for _, s := range seeds {
		fmt.Fprintf(&b, "  - %q\n", s)
	}
	b.WriteString("bootstrap: true\nfailure_counted: false\nlimits:\n  cpu_quota: 0.4\n  cpu_cores: 1\n  memory_mb: 134\n  file_descriptor_limit: 4100\n  link_bandwidth_mbps: 1000.0\n  disk_mb: 0\n")
	b.WriteString("data_directory: null\ndiscovery_source: \"platform\"\nentry_kind: \"registry\"\nheartbeat_interval_ms: 1200\n")
	b.WriteString("contracts: [\"base\", \"drain\", \"config\", \"cost\", \"retry\", \"recover\", \"engine\", \"stream\", \"tenants\", \"platform\"]\n")
	b.WriteString("fault_tolerance:\n  machine_failures: 2\n  zones: 0\n  region_failures: 0\nbounds:\n  seed_lag_s: 3\n  reuse_delay_s: 2\n  stability_window_ms: 3000\n  acknowledge_ms: 4000\n")
	b.WriteString("  catch_up_s: 4\n  drain_timeout_ms: 2000\n  grace_period_s: 8\n  loss_slack_ms: 200\n  config_propagation_ms: 2000\n  regression_window_ms: 250\n  partition_extension_ms: 5000\n")
	b.WriteString("  revocation_fail_closed: false\n  revocation_ms: 5000\n  retry_budget_ratio: 0.2\n  budget_window_s: 10\n  retry_budget_extra: 58\n  recovery_time_s: 12\n  forward_pass_ms: 120\n")
	b.WriteString("  retry_after_s: 9.1\n  settle_ms: 1500\n  ttl_max_s: 5\n")
	fmt.Fprintf(&b, "platform:\n  address: %q\n  form: \"objects\"\n  writes_per_s: 400\n  reads_per_s: 2000\n  history_retention_s: 20\n  max_value_bytes: 1048576\n  minimum_ttl_ms: 1000\n", storeAddress)
	return os.WriteFile(in.settingsPath(), []byte(b.String()), 0o644)
}

// start starts the process and waits until it is ready.
func (in *instance) start() error {
	log, err := os.OpenFile(filepath.Join(in.dir, "log.txt"), os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o644)
	if err != nil {
		return err
	}
	in.log = log
	in.cmd = exec.Command(program[0], program[1:]...)
	in.cmd.Env = append(os.Environ(), "PLANTAINFIELD_BOOT="+in.settingsPath())
	in.cmd.Stdout, in.cmd.Stderr = log, log
	if err := in.cmd.Start(); err != nil {
		return err
	}
	in.exited = make(chan error, 1)
	go func(c *exec.Cmd, done chan<- error) { done <- c.Wait() }(in.cmd, in.exited)
	return in.awaitReady(10 * time.Second)
}

// awaitReady waits until the instance says that it is ready.
func (in *instance) awaitReady(limit time.Duration) error {
	ctx, cancel := context.WithTimeout(context.Background(), limit)
	defer cancel()
	for ctx.Err() == nil {
		if in.isReady() {
			return nil
		}
		time.Sleep(20 * time.Millisecond)
	}
	return fmt.Errorf("instance %s is not ready", in.name)
}

func (in *instance) isReady() bool {
	client := http.Client{Timeout: 500 * time.Millisecond}
	resp, err := client.Get("http://" + in.ready + "/readiness")
	if err != nil {
		return false
	}
	_ = resp.Body.Close()
	return resp.StatusCode == http.StatusOK
}

// signal sends a signal to the process.
func (in *instance) signal(s syscall.Signal) error { return in.cmd.Process.Signal(s) }

// end kills the process and waits for its end.
func (in *instance) end() {
	if in.cmd == nil || in.cmd.Process == nil {
		return
	}
	_ = in.cmd.Process.Signal(syscall.SIGCONT)
	_ = in.cmd.Process.Kill()
	select {
	case <-in.exited:
	case <-time.After(5 * time.Second):
	}
	_ = in.log.Close()
}
