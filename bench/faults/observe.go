package faults

import (
	"encoding/json"
	"fmt"
	"net/http"
	"slices"
	"time"

	"plantainfield.example/bench/harness"
	"plantainfield.example/core/config"
	"plantainfield.example/core/event"
)

var statusClient = &http.Client{Timeout: 3 * time.Second}

func getJSON(url string, v any) error {
	resp, err := statusClient.Get(url)
	if err != nil {
		return err
	}
	defer resp.Body.Close()
	if resp.StatusCode != http.StatusOK {
		return fmt.Errorf("%s: %s", url, resp.Status)
	}
	return json.NewDecoder(resp.Body).Decode(v)
}

// statusAt reads the status of the fleet as one instance reports it.
func (c *cluster) statusAt(r *harness.Router) (event.Status, error) {
	var s event.Status
	return s, getJSON("http://"+r.Settings.Admin.Address+"/v1/status", &s)
}

// generationAt reads the configuration generation in force on an instance.
func (c *cluster) generationAt(r *harness.Router) (uint64, error) {
	var d config.Document
	err := getJSON("http://"+r.Settings.Admin.Address+"/v1/configuration", &d)
	return d.BasedOnGeneration, err
}

// stateOf returns the state of an instance or target as the instance at reports
// it. It is "unknown" if at does not know the name, and empty if at does not
// answer.
func (c *cluster) stateOf(at *harness.Router, name string) string {
	var d struct {
		Status event.Status `json:"status"`
	}
	if getJSON("http://"+at.Settings.Admin.Address+"/v1/dump", &d) != nil {
		return ""
	}
	for _, in := range d.Status.Instances {
		if in.Name == name {
			return in.State
		}
	}
	for _, t := range d.Status.Targets {
		if t.Name == name {
			return t.State
		}
	}
	return "unknown"
}

// router returns the instance with this name that was started last, or nil.
func (c *cluster) router(name string) *harness.Router {
	for i := len(c.Routers) - 1; i >= 0; i-- {
		if c.Routers[i].Settings.Name == name {
			return c.Routers[i]
		}
	}
	return nil
}

// removeRouter removes an instance that has ended from the fleet's list.
func (c *cluster) removeRouter(r *harness.Router) {
	c.Routers = slices.DeleteFunc(c.Routers, func(o *harness.Router) bool { return o == r })
}
