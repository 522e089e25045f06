package settings

import (
	"time"

	"github.com/medlarswitch/medlarswitch/internal/tomldoc"
)

const (
	maxRatio  = 10
	maxSlack  = 1_000_000
	maxGrace  = 10 * time.Minute
	maxWarmUp = 100
	minCPU    = 0.001
	maxCPU    = 1000
)

// Node are the settings of medlar-node.
type Node struct {
	// VM and Zone name the machine and its availability zone.
	VM, Zone string
	// CPUShare is the part of a core that the process may use, CPUSpeed how many
	// times as fast as the usual one that core is.
	CPUShare, CPUSpeed float64
	// Callers, Ready and Admin are listeners: for callers, for the balancer's
	// readiness check, and for metrics.
	Callers, Ready, Admin string
	// Store is the address of the platform's object store.
	Store string
	// FirstStart is true when the whole system starts for the first time.
	FirstStart bool
	// Peers is the listener for other VMs; Seeds are the same of the VMs that read
	// the store for the others, perhaps with this one among them.
	Peers string
	Seeds []string
	// Grace is the time from SIGTERM to SIGKILL.
	Grace time.Duration
	// ExtraRatio and ExtraSlack bound the further requests to a service, over all
	// VMs and any window of the platform's length: the ratio of its requests plus
	// the slack.
	ExtraRatio, ExtraSlack float64
	ExtraWindow            time.Duration
	// ColdFactor and ColdSlack bound the requests per second of a cold leaf: the
	// factor times the rate that its service states plus the slack.
	ColdFactor, ColdSlack float64
	LogVerbosity          int
}

func (n *Node) read(t *tomldoc.Table) {
	n.VM, _ = t.String("vm")
	n.Zone, _ = t.String("zone")
	n.CPUShare, _ = t.Float("cpu_share", minCPU, maxCPU)
	n.CPUSpeed, _ = t.Float("cpu_speed", minCPU, maxCPU)
	n.Callers = address(t, "callers")
	n.Ready = address(t, "ready")
	n.Admin = address(t, "admin")
	n.Store = address(t, "store")
	n.Peers = address(t, "peers")
	n.Seeds = peers(t, "seeds")
	n.FirstStart, _ = t.Bool("first_start")
	n.Grace, _ = t.Duration("grace", 0, maxGrace)
	n.ExtraRatio, _ = t.Float("extra_ratio", 0, maxRatio)
	n.ExtraSlack, _ = t.Float("extra_slack", 0, maxSlack)
	n.ExtraWindow, _ = t.Duration("extra_window", time.Second, maxGrace)
	n.ColdFactor, _ = t.Float("cold_factor", 0, maxWarmUp)
	n.ColdSlack, _ = t.Float("cold_slack", 0, maxSlack)
	verbosity, _ := t.Int("log_verbosity", 0, maxLogVerbosity)
	n.LogVerbosity = int(verbosity)
	differ(t, map[string]string{"callers": n.Callers, "ready": n.Ready, "admin": n.Admin, "peers": n.Peers},
		"callers", "ready", "admin", "peers")
}
