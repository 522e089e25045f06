package settings

import (
	"time"

	"github.com/medlarswitch/medlarswitch/internal/intake"
	"github.com/medlarswitch/medlarswitch/internal/tomldoc"
)

const (
	maxExtraRatio  = 10
	maxSlack       = 1_000_000
	maxGrace       = 10 * time.Minute
	maxColdFactor  = 100
	minCPU         = 0.001
	maxCPU         = 1000
	minMemoryMB    = 32
	maxMemoryMB    = 1 << 20
	minDescriptors = 256
	maxDescriptors = 1 << 24
)

// Node are the settings of medlar-node.
type Node struct {
	// VM and Zone are the names of the VM and its availability zone.
	VM, Zone string
	// CPUShare is the number of cores that the process may use, mostly a fraction
	// of one. CPUSpeed is the speed of these cores relative to a core of usual speed.
	CPUShare, CPUSpeed float64
	// Callers, Ready and Admin are the addresses of the listeners for callers, for
	// the load balancer's readiness check and for metrics.
	Callers, Ready, Admin string
	// Store is the address of the platform's object store.
	Store string
	// FirstStart is true if the whole system is started for the first time.
	FirstStart bool
	// Peers is the address of the listener for other VMs. Seeds are the Peers
	// addresses of the VMs that read the store on behalf of the others; this VM
	// may be one of them.
	Peers string
	Seeds []string
	// Grace is the grace period, the time from SIGTERM to SIGKILL.
	Grace time.Duration
	// ExtraRatio and ExtraSlack limit the extra requests, such as hedges and
	// retries, that all VMs together send to a service in any window of length
	// ExtraWindow: ExtraRatio times its requests plus ExtraSlack.
	ExtraRatio, ExtraSlack float64
	ExtraWindow            time.Duration
	// ColdFactor and ColdSlack limit the requests per second to a cold leaf:
	// ColdFactor times the rate that its service states plus ColdSlack.
	ColdFactor, ColdSlack float64
	// Memory, in bytes, and Descriptors are those that the process may use.
	Memory       int64
	Descriptors  int
	LogVerbosity int
}

func (n *Node) read(t *tomldoc.Table) {
	n.VM, _ = t.String("vm")
	n.Zone, _ = t.String("zone")
	n.CPUShare, _ = t.Float("cpu_share", minCPU, maxCPU)
	n.CPUSpeed, _ = t.Float("cpu_speed", minCPU, maxCPU)
	n.Callers = readAddress(t, "callers")
	n.Ready = readAddress(t, "ready")
	n.Admin = readAddress(t, "admin")
	n.Store = readAddress(t, "store")
	n.Peers = readAddress(t, "peers")
	n.Seeds = readAddresses(t, "seeds")
	n.FirstStart, _ = t.Bool("first_start")
	n.Grace, _ = t.Duration("grace", 0, maxGrace)
	n.ExtraRatio, _ = t.Float("extra_ratio", 0, maxExtraRatio)
	n.ExtraSlack, _ = t.Float("extra_slack", 0, maxSlack)
	n.ExtraWindow, _ = t.Duration("extra_window", time.Second, maxGrace)
	n.ColdFactor, _ = t.Float("cold_factor", 0, maxColdFactor)
	n.ColdSlack, _ = t.Float("cold_slack", 0, maxSlack)
	n.Memory = optionalInt(t, "memory_mb", minMemoryMB, maxMemoryMB, intake.DefaultMemory>>20) << 20
	n.Descriptors = int(optionalInt(t, "descriptors", minDescriptors, maxDescriptors, intake.DefaultDescriptors))
	verbosity, _ := t.Int("log_verbosity", 0, maxLogVerbosity)
	n.LogVerbosity = int(verbosity)
	reportSharedAddresses(t, map[string]string{"callers": n.Callers, "ready": n.Ready, "admin": n.Admin, "peers": n.Peers},
		"callers", "ready", "admin", "peers")
}

// optionalInt reads a whole number, or returns a default if the key is absent.
func optionalInt(t *tomldoc.Table, key string, low, high, absent int64) int64 {
	if !t.Has(key) {
		return absent
	}
	n, _ := t.Int(key, low, high)
	return n
}
