package standin

import (
	"fmt"
	"time"

	medlarv1 "github.com/medlarswitch/medlarswitch/gen/medlar/v1"
)

// Ports of the processes. Every VM and leaf has its own loopback IP address, so
// the ports are the same everywhere.
const (
	PortPlatform     = 7000
	PortControl      = 7001
	PortLeaf         = 9000
	PortEntryCallers = 8080
	PortEntryFrames  = 8081
	PortEntryAdmin   = 8082
	PortRelayFrames  = 8091
	PortRelayAdmin   = 8092
	PortAgentFrames  = 8071
	PortAgentAdmin   = 8072

	leavesPerSubnet = 200
	firstLeafSubnet = 100
)

// Fleet describes the installation of one user on loopback addresses.
type Fleet struct {
	// Net holds the first two bytes of all IP addresses, such as "127.66".
	Net      string
	Zones    []string
	Region   string
	VMs      []*medlarv1.VM
	Leaves   []LeafConfig
	Sections []Section
}

// Section is a section of the configuration, in the form that medlarctl reads.
type Section struct {
	Name string
	Team string
	Text string
}

// indexConfig describes one index and its leaves.
type indexConfig struct {
	Name           string
	Team           string
	Shards         int
	LeavesPerShard int
	Slots          int
	Connections    int
	Latency        time.Duration
}

// PlatformURL returns the URL of the object store and the VM list.
func (f *Fleet) PlatformURL() string {
	return fmt.Sprintf("http://%s.0.1:%d", f.Net, PortPlatform)
}

// ControlURL returns the URL of the endpoint that injects faults.
func (f *Fleet) ControlURL() string {
	return fmt.Sprintf("http://%s.0.1:%d", f.Net, PortControl)
}

// VMAddress returns the address of a process on a VM. VMs are numbered from 0.
func (f *Fleet) VMAddress(vm, port int) string {
	return fmt.Sprintf("%s.1.%d:%d", f.Net, vm+1, port)
}

func (f *Fleet) addVMs(perZone int) {
	for i := range perZone * len(f.Zones) {
		f.VMs = append(f.VMs, &medlarv1.VM{
			Id:           fmt.Sprintf("vm-%d", i+1),
			Zone:         f.Zones[i%len(f.Zones)],
			EntryAddress: f.VMAddress(i, PortEntryFrames),
			RelayAddress: f.VMAddress(i, PortRelayFrames),
			AgentAddress: f.VMAddress(i, PortAgentFrames),
			AdminAddresses: []string{
				f.VMAddress(i, PortEntryAdmin), f.VMAddress(i, PortRelayAdmin), f.VMAddress(i, PortAgentAdmin),
			},
		})
	}
}

func (f *Fleet) addIndex(size indexConfig) {
	text := fmt.Sprintf("kind = \"index\"\nindex = %q\npartition_generation = 1\n\n[limits]\nslots = %d\nconnections = %d\nrun_limit = \"2s\"\n",
		size.Name, size.Slots, size.Connections)
	for i := range size.Shards {
		shard := fmt.Sprintf("%s-%02d", size.Name, i+1)
		text += fmt.Sprintf("\n[[shard]]\nname = %q\nweight = 100\n", shard)
		for j := range size.LeavesPerShard {
			leaf := f.addLeaf(size, shard, i, j)
			text += fmt.Sprintf("[[shard.leaf]]\nname = %q\nzone = %q\naddress = %q\n", leaf.ID, leaf.Zone, leaf.Address)
		}
	}
	f.Sections = append(f.Sections, Section{Name: "index." + size.Name, Team: size.Team, Text: text})
}

func (f *Fleet) addLeaf(size indexConfig, shard string, i, j int) LeafConfig {
	n := len(f.Leaves)
	leaf := LeafConfig{
		ID:      fmt.Sprintf("%s-%d", shard, j+1),
		Shard:   shard,
		Zone:    f.Zones[(i+j)%len(f.Zones)],
		Address: fmt.Sprintf("%s.%d.%d:%d", f.Net, firstLeafSubnet+n/leavesPerSubnet, 1+n%leavesPerSubnet, PortLeaf),
		Slots:   size.Slots, Connections: size.Connections, Latency: size.Latency,
		WarmAfter: 8, IndexVersions: []uint64{1}, PartitionGeneration: 1, Hits: 3,
	}
	f.Leaves = append(f.Leaves, leaf)
	return leaf
}

func (f *Fleet) addZones() {
	text := "kind = \"zones\"\n"
	for _, z := range f.Zones {
		text += fmt.Sprintf("\n[[zone]]\nname = %q\nregion = %q\nstate = \"in\"\n", z, f.Region)
	}
	f.Sections = append(f.Sections, Section{Name: "zones", Team: "operations", Text: text})
}

func (f *Fleet) addOwners(owners map[string]string, order []string) {
	text := "kind = \"owners\"\n"
	for _, section := range order {
		text += fmt.Sprintf("\n[[owner]]\nsection = %q\nteam = %q\n", section, owners[section])
	}
	f.Sections = append(f.Sections, Section{Name: "owners", Team: "operations", Text: text})
}
