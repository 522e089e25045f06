package confsync

import "time"

const (
	// heartbeatInterval is the time between rounds of heartbeats.
	heartbeatInterval = time.Second
	// maxStartWait limits the wait for the peers' answers after the start.
	maxStartWait = 2 * time.Second
	// maxStoreReadAge is the age of the newest known read of the store at which
	// an agent reads the store itself.
	maxStoreReadAge = 3 * time.Second
	// manifestRequestTimeout is the time without a reply after which a manifest
	// may be requested from another peer.
	manifestRequestTimeout = 500 * time.Millisecond
	// fetchTimeout is the time after which a section is fetched from another
	// source. 1 MB takes about 1 s at 8 Mbit/s.
	fetchTimeout = 2 * time.Second
	// initialFetchBackoff is the pause after the first failed fetch of a section.
	// It doubles with each failure up to maxFetchBackoff.
	initialFetchBackoff = 100 * time.Millisecond
	maxFetchBackoff     = 800 * time.Millisecond

	// initialStoreBackoff is the first pause between reads of a store that
	// doesn't reply. The few watchers retry faster than the other agents: a store
	// that recovers isn't overloaded, and a new generation still spreads within
	// seconds.
	initialStoreBackoff = 500 * time.Millisecond
	maxWatchBackoff     = 2 * time.Second
	maxPollBackoff      = 8 * time.Second
	// pollBackoffPerPeer raises maxPollBackoff in a large fleet, so that all agents
	// together send about 130 reads a second to a store that is down.
	pollBackoffPerPeer = 10 * time.Millisecond

	// pushFanout is the number of peers to which an agent announces a new
	// generation at once. 2,400 VMs are reached in about four rounds.
	pushFanout = 8
	// heartbeatFanout is the number of random peers per round of heartbeats, in
	// addition to one watcher of the agent's zone.
	heartbeatFanout = 3
	// maxFetches limits the number of sections that are fetched concurrently.
	maxFetches = 8

	// StoreNeverRead is the StoreAge of an agent that knows of no read of the
	// store.
	StoreNeverRead time.Duration = -1
)
