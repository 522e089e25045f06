package settings

import "github.com/medlarswitch/medlarswitch/internal/tomldoc"

// Relay are the settings of medlar-relay.
type Relay struct {
	Common
	// Frames is the address of the frame listener for entries and relays.
	Frames string
}

func (r *Relay) read(t *tomldoc.Table) {
	r.Common.read(t)
	r.Frames = readAddress(t, "frames")
	reportSharedAddresses(t, map[string]string{"admin": r.Admin, "agent": r.Agent, "frames": r.Frames}, "admin", "agent", "frames")
}
