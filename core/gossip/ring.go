package gossip

import (
	"cmp"
	"slices"

	"github.com/cespare/xxhash/v2"
)

// MonitorCount is the number of running peers that monitor an instance.
const MonitorCount = 2

// maxMonitored bounds the neighbours that an instance monitors, whether they run or
// not: one that hears from nobody takes all others for silent.
const maxMonitored = 16

// Ring holds the names of all instances, ordered by their hashes. An instance's
// monitors are the next ones in the ring, up to MonitorCount that run: silent and
// departed ones in between don't count, so that no instance loses all its monitors.
type Ring []string

// NewRing returns the ring of some instances.
func NewRing(names ...string) Ring {
	ring := Ring(slices.Clone(names))
	slices.SortFunc(ring, func(a, b string) int {
		return cmp.Or(cmp.Compare(xxhash.Sum64String(a), xxhash.Sum64String(b)), cmp.Compare(a, b))
	})
	return ring
}

// MonitorsOf returns the names of the instances that monitor an instance, given which
// ones don't run.
func (r Ring) MonitorsOf(name string, stopped func(string) bool) []string {
	return r.neighbours(name, 1, stopped)
}

// MonitoredBy returns the names of the instances that an instance monitors, given which
// ones don't run.
func (r Ring) MonitoredBy(name string, stopped func(string) bool) []string {
	return r.neighbours(name, -1, stopped)
}

func (r Ring) neighbours(name string, step int, stopped func(string) bool) []string {
	at := slices.Index(r, name)
	var out []string
	for i, running := 1, 0; i < min(len(r), maxMonitored) && running < MonitorCount; i++ {
		neighbour := r[((at+step*i)%len(r)+len(r))%len(r)]
		out = append(out, neighbour)
		if !stopped(neighbour) {
			running++
		}
	}
	return out
}
