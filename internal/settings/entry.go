package settings

import "github.com/medlarswitch/medlarswitch/internal/tomldoc"

const (
	maxQueries = 1_000_000
	maxTickets = 10_000_000
)

// Entry are the settings of medlar-entry.
type Entry struct {
	Common
	// Callers is the address of the HTTP listener for callers.
	Callers string
	// Frames is the address of the frame listener for other entries.
	Frames string
	// MaxQueries limits the number of concurrent queries.
	MaxQueries int
	// MaxTickets limits the number of records in the submit ledger.
	MaxTickets int
}

func (e *Entry) read(t *tomldoc.Table) {
	e.Common.read(t)
	e.Callers = readAddress(t, "callers")
	e.Frames = readAddress(t, "frames")
	queries, _ := t.Int("max_queries", 1, maxQueries)
	tickets, _ := t.Int("max_tickets", 1, maxTickets)
	e.MaxQueries, e.MaxTickets = int(queries), int(tickets)
	reportSharedAddresses(t, map[string]string{"admin": e.Admin, "agent": e.Agent, "callers": e.Callers, "frames": e.Frames},
		"admin", "agent", "callers", "frames")
}
