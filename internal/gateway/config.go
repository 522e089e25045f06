package gateway

import (
	"time"

	"github.com/medlarswitch/medlarswitch/internal/extraload"
	"github.com/medlarswitch/medlarswitch/internal/feedsource"
	"github.com/medlarswitch/medlarswitch/internal/placement"
)

// Config is what a VM knows from its settings.
type Config struct {
	VM   string
	Zone string
	// Callers, Ready and Admin are the addresses to listen on.
	Callers, Ready, Admin string
	// ReadyPath is the path of the readiness check.
	ReadyPath string
	// Peers is the address on which this VM answers others.
	Peers     string
	Source    feedsource.Config
	ExtraLoad extraload.Config
	Placement placement.Config
	// Grace is the time from the stop signal to the kill.
	Grace time.Duration
}
