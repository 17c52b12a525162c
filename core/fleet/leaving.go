package fleet

import "bilberrylug.dev/core/ids"

// MarkLeaving records that an upstream has said that it is leaving, whatever its entry says, and reports whether that was unknown.
func (d *Directory) MarkLeaving(id ids.VM, started int64) bool {
	if gone, left := d.departed[id]; left && gone.Started == started {
		gone.Draining = true
		d.departed[id] = gone
	}
	u, known := d.upstreams[id]
	if !known || u.Started != started || u.Draining {
		return false
	}
	d.changed()
	u.Draining = true
	return true
}
