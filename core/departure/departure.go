// Package departure remembers which incarnations of instances have said that they
// stop. That is final: whatever lists or messages say of such an incarnation later was
// observed before, so it never comes back; a later incarnation of the same instance
// does.
package departure

// maxInstances bounds the number of instances whose departure is remembered.
const maxInstances = 4096

// Registry holds the departures that one instance knows of. The zero value is empty.
// It is not safe for concurrent use.
type Registry struct {
	// incarnations holds the last incarnation of each instance that has departed, and
	// order the names of these instances, the one recorded first at the front.
	incarnations map[string]string
	order        []string
}

// Record records that an incarnation of an instance has departed, and reports whether
// that was not known. An unknown incarnation, the empty string, is not recorded.
func (r *Registry) Record(name, incarnation string) bool {
	if incarnation == "" || r.incarnations[name] == incarnation {
		return false
	}
	if r.incarnations == nil {
		r.incarnations = map[string]string{}
	}
	if _, known := r.incarnations[name]; !known {
		r.order = append(r.order, name)
	}
	r.incarnations[name] = incarnation
	if len(r.order) > maxInstances {
		delete(r.incarnations, r.order[0])
		r.order = r.order[1:]
	}
	return true
}

// Departed reports whether an incarnation of an instance has departed, as far as this
// instance knows.
func (r *Registry) Departed(name, incarnation string) bool {
	return incarnation != "" && r.incarnations[name] == incarnation
}

// Len returns the number of instances whose departure is remembered.
func (r *Registry) Len() int { return len(r.order) }
