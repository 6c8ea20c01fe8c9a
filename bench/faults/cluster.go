// Package faults runs the system's processes under injected failures and checks,
// against the targets' run logs and the objects on the platform, whether the
// promises held.
package faults

import (
	"context"
	"fmt"
	"net/http"
	"os"
	"path/filepath"
	"strings"
	"time"

	"plantainfield.example/bench/harness"
	"plantainfield.example/bench/load"
	"plantainfield.example/core/config"
	"plantainfield.example/core/event"
	"plantainfield.example/core/ledger"
	"plantainfield.example/fleet/settings"
	"plantainfield.example/standins/runlog"
)

const (
	// Names of the data centres.
	centreA = "a"
	centreB = "b"

	readyTimeout = 20 * time.Second
	// engineStep is the time in which an engine generates one output token.
	engineStep = 20 * time.Millisecond
	// serviceDelay is the duration of a call of the service.
	serviceDelay = 50 * time.Millisecond
)

// options are the additional command-line flags of a scenario.
type options struct {
	platformFlags []string
	engineFlags   []string
}

// cluster is a running fleet of 4 instances in 2 data centres, 3 engines, 1
// service and the platform.
type cluster struct {
	*harness.Fleet
	network  *network
	document config.Document
	// prepaid maps each budget to the history of its totals, oldest first.
	prepaid map[string][]load.PrepaidTotal
}

// startCluster starts the processes, applies the configuration and waits until
// every instance is ready.
func startCluster(bin, dir string, o options) (*cluster, error) {
	f, err := harness.NewFleet(bin, dir, o.platformFlags...)
	if err != nil {
		return nil, err
	}
	c := &cluster{Fleet: f, network: newNetwork(f.PlatformAddress), document: document(), prepaid: map[string][]load.PrepaidTotal{}}
	if err := c.startAndConfigure(o); err != nil {
		c.kill()
		return nil, err
	}
	return c, nil
}

// startAndConfigure starts all processes except the platform, applies the
// configuration and waits until every instance is ready.
func (c *cluster) startAndConfigure(o options) error {
	for _, name := range []string{"a-1", "a-2", "b-1", "b-2"} {
		if _, err := c.addInstance(name); err != nil {
			return err
		}
	}
	flags := append([]string{"--step", engineStep.String(), "--output-tokens", fmt.Sprint(outputTokens)}, o.engineFlags...)
	for i, centre := range []string{centreA, centreB, centreA} {
		if _, err := c.StartEngine(fmt.Sprintf("engine-%d", i+1), centre, []string{modelName}, flags...); err != nil {
			return err
		}
	}
	if _, err := c.StartService("records-1", centreA, serviceName, "--delay", serviceDelay.String()); err != nil {
		return err
	}
	if _, code, err := c.apply(c.Routers[0]); code != 0 || err != nil {
		return fmt.Errorf("first apply: exit code %d, %w", code, err)
	}
	missing := ""
	err := harness.Eventually(readyTimeout, "every instance is ready", func() bool {
		missing = c.missingForReady()
		return missing == ""
	})
	if err != nil {
		return fmt.Errorf("%w: %s", err, missing)
	}
	return nil
}

// addInstance starts an instance. The part of its name before the hyphen is its
// data centre.
func (c *cluster) addInstance(name string) (*harness.Router, error) {
	var addErr error
	centre, _, _ := strings.Cut(name, "-")
	r, err := c.StartRouter(name, centre, func(s *settings.Settings) {
		s.Platform.TimeoutMillis = int(platformTimeout / time.Millisecond)
		addErr = c.network.add(s)
	})
	if addErr != nil {
		return nil, addErr
	}
	return r, err
}

const platformTimeout = 500 * time.Millisecond

// missingForReady describes the first instance that is not ready, or returns an
// empty string. An instance is ready if it answers service calls, reports all
// targets, and reports all instances as live with its own configuration generation.
func (c *cluster) missingForReady() string {
	for _, r := range c.Routers {
		name := r.Settings.Name
		if !c.serves(r) {
			return name + " does not serve"
		}
		st, err := c.statusAt(r)
		if err != nil {
			return err.Error()
		}
		if len(st.Instances) != len(c.Routers) || len(st.Targets) != len(c.Targets) {
			return fmt.Sprintf("%s knows %d instances and %d targets", name, len(st.Instances), len(st.Targets))
		}
		for _, in := range st.Instances {
			if in.State != string(event.StateLive) || in.Generation != st.Generation {
				return fmt.Sprintf("%s sees %s as %s with generation %d", name, in.Name, in.State, in.Generation)
			}
		}
	}
	return ""
}

// serves reports whether an instance answers a call of the service.
func (c *cluster) serves(r *harness.Router) bool {
	return clients[probe.name].Call(context.Background(), r.Settings.Callers.Address, http.MethodGet, serviceName+"/ready", "", nil).Complete
}

// callerAddresses returns the IP:port of the instances' caller listeners.
func (c *cluster) callerAddresses() []string {
	var out []string
	for _, r := range c.Routers {
		out = append(out, r.Settings.Callers.Address)
	}
	return out
}

// writeDocument writes a configuration file and returns its path.
func (c *cluster) writeDocument(name string, d config.Document) (string, error) {
	path := filepath.Join(c.Dir, name)
	return path, os.WriteFile(path, encode(d), 0o600)
}

// apply applies the cluster's document at an instance with the command-line tool
// and, if it was accepted, records the prepaid totals.
func (c *cluster) apply(at *harness.Router) (output string, exitCode int, err error) {
	path, err := c.writeDocument(fmt.Sprintf("document-%d.json", c.document.BasedOnGeneration), c.document)
	if err != nil {
		return "", 0, err
	}
	start := time.Now()
	output, exitCode, err = c.CommandAt(at, "apply", path)
	if err != nil || exitCode != 0 {
		return output, exitCode, err
	}
	for _, b := range c.document.Budgets {
		c.prepaid[b.Name] = append(c.prepaid[b.Name], load.PrepaidTotal{From: start, Total: b.PrepaidTokens})
	}
	c.document.BasedOnGeneration++
	return output, exitCode, nil
}

// observations collects the inputs of load.Check.
func (c *cluster) observations(records []load.Record) (load.Observations, error) {
	obs := load.Observations{Records: records, Prepaid: c.prepaid, ServicePrice: servicePrice}
	var err error
	if obs.Ledgers, _, err = c.PlatformClient().List(context.Background(), event.KindLedger); err != nil {
		return obs, err
	}
	if obs.Bills, _, err = c.PlatformClient().List(context.Background(), event.KindBillSegment); err != nil {
		return obs, err
	}
	obs.Runs, err = c.runs()
	return obs, err
}

// runs returns the run log entries of all targets.
func (c *cluster) runs() ([]runlog.Entry, error) {
	var all []runlog.Entry
	for _, path := range c.RunLogs() {
		entries, err := runlog.Read(path)
		if err != nil {
			return nil, err
		}
		all = append(all, entries...)
	}
	return all, nil
}

// outstanding returns the unspent tokens of all open grants whose holder's name
// has a prefix; an empty prefix selects all grants.
func (c *cluster) outstanding(prefix string) (int64, error) {
	objects, _, err := c.PlatformClient().List(context.Background(), event.KindLedger)
	if err != nil {
		return 0, err
	}
	var sum int64
	for _, o := range objects {
		s, err := ledger.Decode(o.Value)
		if err != nil {
			return 0, err
		}
		for _, b := range s.Budgets {
			for h, g := range b.Grants {
				if !g.Closed && strings.HasPrefix(string(h), prefix) {
					sum += g.Granted - g.Spent
				}
			}
		}
	}
	return sum, nil
}

// kill kills all processes and closes all relays.
func (c *cluster) kill() {
	c.Kill()
	c.network.close()
}
