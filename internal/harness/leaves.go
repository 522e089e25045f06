package harness

import (
	"context"
	"slices"
	"strings"
	"time"

	"github.com/pkg/errors"

	"github.com/medlarswitch/medlarswitch/internal/ownership"
	"github.com/medlarswitch/medlarswitch/internal/standin"
	"github.com/medlarswitch/medlarswitch/internal/topology"
)

// ID suffixes of the two leaves of a shard.
const (
	firstLeafSuffix  = "-1"
	secondLeafSuffix = "-2"
)

// OtherReplica returns the ID of the second leaf of a shard, given that of the
// first.
func OtherReplica(leaf string) string {
	return strings.TrimSuffix(leaf, firstLeafSuffix) + secondLeafSuffix
}

// CheckSearches returns an error until a leaf has started n searches.
func (c *Cluster) CheckSearches(leaf string, n uint64) error {
	s, err := c.LeafStats(leaf)
	if err == nil && s.Searches < n {
		return errors.Errorf("leaf %s: %d searches of %d", leaf, s.Searches, n)
	}
	return err
}

// LeafStats returns the statistics of one leaf.
func (c *Cluster) LeafStats(id string) (standin.LeafStats, error) {
	leaves, err := c.Leaves()
	if err != nil {
		return standin.LeafStats{}, err
	}
	for _, l := range leaves {
		if l.ID == id {
			return l, nil
		}
	}
	return standin.LeafStats{}, errors.Errorf("leaf %s does not exist", id)
}

// OverloadedLeaves returns the IDs of the leaves that ran more than one request
// at a time while cold.
func (c *Cluster) OverloadedLeaves() (names []string, err error) {
	leaves, err := c.Leaves()
	for _, l := range leaves {
		if l.ColdOverloads > 0 {
			names = append(names, l.ID)
		}
	}
	return names, err
}

// WarmLeaves returns the IDs of the warm leaves of an index, and an error if
// there are fewer than wanted.
func (c *Cluster) WarmLeaves(index string, wanted int) (warm []string, err error) {
	leaves, err := c.Leaves()
	for _, l := range leaves {
		if strings.HasPrefix(l.ID, index) && l.Warm {
			warm = append(warm, l.ID)
		}
	}
	if err == nil && len(warm) < wanted {
		err = errors.Errorf("%d warm leaves of %d", len(warm), wanted)
	}
	return warm, err
}

// LastRequestStart returns the time of the latest start of a request at any leaf
// of a zone.
func (c *Cluster) LastRequestStart(zone string) (time.Time, error) {
	leaves, err := c.Leaves()
	var last int64
	for i, l := range leaves {
		if c.Fleet.Leaves[i].Zone == zone {
			last = max(last, l.LastWorkUnixMS)
		}
	}
	return time.UnixMilli(last), err
}

// LeafInZone returns a leaf of an index that is in a zone and is the first
// replica of its shard, and the VMs whose relays own the leaf, rank 1 first.
func (c *Cluster) LeafInZone(index, zone string) (leaf string, owners []int) {
	for _, l := range c.Fleet.Leaves {
		if l.Zone == zone && strings.HasPrefix(l.ID, index) && strings.HasSuffix(l.ID, firstLeafSuffix) {
			return l.ID, c.rankedVMs(l)
		}
	}
	return "", nil
}

func (c *Cluster) rankedVMs(l standin.LeafConfig) (out []int) {
	var vms []topology.VM
	number := make(map[topology.VMID]int)
	for i, vm := range c.Fleet.VMs {
		number[topology.VMID(vm.GetId())] = i
		if vm.GetZone() == l.Zone {
			vms = append(vms, topology.VM{ID: topology.VMID(vm.GetId())})
		}
	}
	for _, vm := range ownership.Owners(topology.LeafID(l.ID), vms) {
		out = append(out, number[vm.ID])
	}
	return out
}

// CheckLeafWarm returns an error while a leaf is cold.
func (c *Cluster) CheckLeafWarm(id string) error {
	s, err := c.LeafStats(id)
	if err == nil && !s.Warm {
		return errors.Errorf("leaf %s is cold", id)
	}
	return err
}

// CheckLeafState returns an error unless the relay on a VM reports one of the
// given states for a leaf.
func (c *Cluster) CheckLeafState(ctx context.Context, vm int, leaf string, states ...string) error {
	status, err := c.Status(ctx, vm, RoleRelay)
	if err != nil {
		return err
	}
	for _, l := range status.GetLeaves() {
		if l.GetLeaf() != leaf {
			continue
		}
		if slices.Contains(states, l.GetState()) {
			return nil
		}
		return errors.Errorf("leaf %s is %s %s", leaf, l.GetState(), l.GetReason())
	}
	return errors.Errorf("relay of vm %d does not have leaf %s", vm, leaf)
}
