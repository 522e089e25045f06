package placement

import (
	"github.com/cespare/xxhash/v2"

	"github.com/medlarswitch/medlarswitch/internal/fleet"
)

const (
	// runnersFraction is the part of a leaf's stated limit that the VMs share which run
	// queries over many shards. The rest is for VMs that delegate them and run some
	// themselves while their aggregators are lost.
	runnersFraction = 0.8
	// sharesPerRequest is how many VMs have a share of a leaf's limit for each request per
	// second of it. Each may save up one request.
	sharesPerRequest = 1.5
	// minStatedLimit is the least limit that VMs share, in requests per second. Without
	// requests they would not learn that a limit of 0 has ended.
	minStatedLimit = 0.25
)

// Sharers are the VMs that share what a leaf takes.
type Sharers struct {
	// Self is this VM, Members are all VMs. They are empty before the first listing.
	Self    string
	Members []string
	// Runners are the VMs that run queries over many shards. The others delegate theirs.
	Runners map[string]bool
}

// rate returns this VM's share of a leaf's stated limit, in requests per second. fansOut
// is true if the leaf serves a shard of queries over many shards. The shares of all VMs
// add up to the limit at most. If the limit is small, only some of the VMs have a share,
// different ones for each leaf.
func (s Sharers) rate(leaf fleet.LeafID, limit float64, fansOut bool) float64 {
	limit = max(limit, minStatedLimit)
	if len(s.Members) == 0 {
		return minStatedLimit
	}
	inGroup := func(string) bool { return true }
	if fansOut && len(s.Runners) > 0 && len(s.Runners) < len(s.Members) {
		inGroup = func(vm string) bool { return s.Runners[vm] == s.Runners[s.Self] }
		if s.Runners[s.Self] {
			limit *= runnersFraction
		} else {
			limit *= 1 - runnersFraction
		}
	}
	size, rank := 1, 0
	own := shareRank(leaf, s.Self)
	for _, vm := range s.Members {
		if vm == s.Self || !inGroup(vm) {
			continue
		}
		size++
		if shareRank(leaf, vm) < own {
			rank++
		}
	}
	shares := min(size, max(int(sharesPerRequest*limit), 1))
	if rank >= shares {
		return 0
	}
	return limit / float64(shares)
}

// equalRate returns this VM's share of a limit of which each VM has the same.
func (s Sharers) equalRate(limit float64) float64 {
	return max(limit, minStatedLimit) / float64(max(len(s.Members), 1))
}

func shareRank(leaf fleet.LeafID, vm string) uint64 {
	return xxhash.Sum64String(string(leaf) + " " + vm)
}
