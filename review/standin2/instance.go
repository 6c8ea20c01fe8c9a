package main

import (
	"fmt"
	"math/rand/v2"
	"net"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"strings"
	"syscall"
	"time"
)

// instance is a process of the system, on loopback addresses of its own.
type instance struct {
	name     string
	frontend string
	ready    string
	lookup   string
	settings string
	logPath  string
	root     string
	cmd      *exec.Cmd
	exited   chan struct{}
}

// nextPort is the next port to try. The ports lie below those that the kernel gives to
// connections.
var nextPort = 20_000 + rand.IntN(9_000)

// freePorts returns ports of 127.0.0.1 that are free for TCP and UDP.
func freePorts(n int) ([]int, error) {
	var ports []int
	for range 1_000 {
		nextPort++
		l, err := net.Listen("tcp4", fmt.Sprintf("127.0.0.1:%d", nextPort))
		if err != nil {
			continue
		}
		u, err := net.ListenUDP("udp4", &net.UDPAddr{IP: net.IPv4(127, 0, 0, 1), Port: nextPort})
		_ = l.Close()
		if err != nil {
			continue
		}
		_ = u.Close()
		if ports = append(ports, nextPort); len(ports) == n {
			return ports, nil
		}
	}
	return nil, fmt.Errorf("no %d free ports found", n)
}

// newInstance writes the settings of an instance. Its seeds are not used by this system.
func newInstance(dir, root, name, zone, storeAddress string) (*instance, error) {
	ports, err := freePorts(5)
	if err != nil {
		return nil, err
	}
	at := func(i int) string { return fmt.Sprintf("127.0.0.1:%d", ports[i]) }
	in := &instance{
		name: name, frontend: at(0), ready: at(1), lookup: at(3), root: root,
		settings: filepath.Join(dir, name+".yaml"), logPath: filepath.Join(dir, name+".log"),
	}
	text := fmt.Sprintf(`node_name: %q
role: "router"
machine_class: "edge"
serves: ["edge", "control_plane", "registry"]
ip_address: "127.0.0.1"
zone: %q
region: "marmara"
listen_addresses: {frontend: %q, ready: %q, control_plane: %q, directory_service: %q}
internal_port_range: [%d, %d]
seed_nodes: []
bootstrap: true
limits: {cpu_quota: 0.4, cpu_cores: 1, memory_mb: 134, file_descriptor_limit: 4100, link_bandwidth_mbps: 1000.0, disk_mb: 0}
heartbeat_interval_ms: 1200
bounds: {stability_window_ms: 3000, drain_timeout_ms: 2000, grace_period_s: 8, loss_slack_ms: 200, config_propagation_ms: 2000, retry_budget_ratio: 0.2, budget_window_s: 10, retry_budget_extra: 58, ttl_max_s: 5}
platform: {address: %q, form: "objects", writes_per_s: 400, reads_per_s: 2000, history_retention_s: 20, max_value_bytes: 1048576}
`, name, zone, in.frontend, in.ready, at(2), in.lookup, ports[4], ports[4], storeAddress)
	return in, os.WriteFile(in.settings, []byte(text), 0o600)
}

// start starts the process with the command of the deploy file.
func (in *instance) start() error {
	log, err := os.OpenFile(in.logPath, os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o600)
	if err != nil {
		return err
	}
	in.cmd = exec.Command("target/plantainfieldd", "hosted")
	in.cmd.Dir, in.cmd.Stdout, in.cmd.Stderr = in.root, log, log
	in.cmd.Env = []string{"PATH=" + os.Getenv("PATH"), "HOME=" + os.Getenv("HOME"), "GOMAXPROCS=1", "PLANTAINFIELD_BOOT=" + in.settings}
	if err := in.cmd.Start(); err != nil {
		return err
	}
	in.exited = make(chan struct{})
	go func() {
		_ = in.cmd.Wait()
		_ = log.Close()
		close(in.exited)
	}()
	return nil
}

// kill ends the process and waits for its end.
func (in *instance) kill() {
	if in.cmd == nil || in.cmd.Process == nil {
		return
	}
	_ = in.cmd.Process.Signal(syscall.SIGKILL)
	<-in.exited
}

// logged returns the lines of the process's log that contain a text.
func (in *instance) logged(text string) []string {
	raw, err := os.ReadFile(in.logPath)
	if err != nil {
		return nil
	}
	var out []string
	for line := range strings.Lines(string(raw)) {
		if strings.Contains(line, text) {
			out = append(out, strings.TrimSpace(line))
		}
	}
	return out
}

// waitReady waits until the process says that it is ready.
func (in *instance) waitReady(limit time.Duration) error {
	deadline := time.Now().Add(limit)
	for time.Now().Before(deadline) {
		resp, err := http.Get("http://" + in.ready + "/readiness")
		if err == nil {
			_ = resp.Body.Close()
			if resp.StatusCode == http.StatusOK {
				return nil
			}
		}
		time.Sleep(50 * time.Millisecond)
	}
	return fmt.Errorf("%s is not ready after %v", in.name, limit)
}
