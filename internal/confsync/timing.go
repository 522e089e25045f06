package confsync

import "time"

const (
	// heartbeatInterval is how often generations are compared.
	heartbeatInterval = time.Second
	// maxStartWait bounds the wait for the peers' answers after the start.
	maxStartWait = 2 * time.Second
	// maxStoreReadAge is the age of the newest known read of the store from
	// which an agent reads the store itself.
	maxStoreReadAge = 3 * time.Second
	// manifestRequestTimeout is when another peer is asked for a manifest.
	manifestRequestTimeout = 500 * time.Millisecond
	// fetchTimeout is when a section is fetched from elsewhere. 1 MB takes
	// about 1 s at 8 Mbit/s.
	fetchTimeout = 2 * time.Second
	// initialFetchBackoff is the pause after a failed fetch, doubled up to
	// maxFetchRetry.
	initialFetchBackoff = 100 * time.Millisecond
	maxFetchBackoff     = 800 * time.Millisecond

	// initialStoreBackoff is the first pause between reads of a silent store. The
	// few watchers retry faster than all others, so that a returning store
	// isn't overrun and its news still spreads within seconds.
	initialStoreBackoff = 500 * time.Millisecond
	maxWatchBackoff     = 2 * time.Second
	maxPollBackoff      = 8 * time.Second
	// pollBackoffPerPeer lengthens maxPollBackoff with the fleet, so that all agents
	// together send a store that is down about 130 reads a second.
	pollBackoffPerPeer = 10 * time.Millisecond

	// pushFanout is the number of peers that hear of a new generation at
	// once: 2,400 VMs are reached in about four rounds.
	pushFanout = 8
	// heartbeatFanout is the number of random peers per heartbeat, beside
	// one watcher of the own zone.
	heartbeatFanout = 3
	// maxFetches bounds the sections that are fetched at a time.
	maxFetches = 8

	// StoreNeverRead is the StoreAge of an agent that knows of no read.
	StoreNeverRead time.Duration = -1
)
