package gossip

import (
	"cmp"
	"slices"

	"github.com/cespare/xxhash/v2"
)

// MonitorCount is the number of peers that monitor an instance.
const MonitorCount = 2

// Ring holds the names of all instances, ordered by their hashes. An instance's
// monitors are the next ones in the ring.
type Ring []string

// NewRing returns the ring of some instances.
func NewRing(names ...string) Ring {
	ring := Ring(slices.Clone(names))
	slices.SortFunc(ring, func(a, b string) int {
		return cmp.Or(cmp.Compare(xxhash.Sum64String(a), xxhash.Sum64String(b)), cmp.Compare(a, b))
	})
	return ring
}

// MonitorsOf returns the names of the instances that monitor an instance.
func (r Ring) MonitorsOf(name string) []string { return r.neighbours(name, 1) }

// MonitoredBy returns the names of the instances that an instance monitors.
func (r Ring) MonitoredBy(name string) []string { return r.neighbours(name, -1) }

func (r Ring) neighbours(name string, step int) []string {
	at := slices.Index(r, name)
	var out []string
	for i := 1; i <= min(MonitorCount, len(r)-1); i++ {
		out = append(out, r[(at+step*i+len(r))%len(r)])
	}
	return out
}
