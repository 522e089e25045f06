package directory

import "time"

// removeEvacuations removes all evacuations, before those of a listing are set.
func (d *Directory) removeEvacuations(now time.Duration) {
	if !d.restored(now) {
		clear(d.evacuated)
		clear(d.heldZones)
		return
	}
	for zone := range d.evacuated {
		d.heldZones[zone] = true
	}
}

// expireEvacuations ends the evacuations that a restored store has not named again and
// reports whether there were any.
func (d *Directory) expireEvacuations(now time.Duration) bool {
	if d.restored(now) || len(d.heldZones) == 0 {
		return false
	}
	for zone := range d.heldZones {
		delete(d.evacuated, zone)
	}
	clear(d.heldZones)
	return true
}
