package feedsource

import (
	"cmp"
	"slices"
	"time"

	"github.com/cespare/xxhash/v2"
)

const (
	// peerRest and storeRest are how long a source that failed is passed over. The
	// store is tried more often, since it has the newest state.
	peerRest  = 2 * time.Second
	storeRest = time.Second
	// firstStartWait is how long a VM waits for the seeds when the whole system
	// starts: all VMs start within 0.3 s.
	firstStartWait = 1500 * time.Millisecond
	// MaxAge is how old the state of a peer may be. It is above the time between two
	// answers of the store to a seed, SeedInterval. With the wait of a reader at a
	// peer it stays below the 3 s in which a configuration must be in force: all
	// seeds may be cut off from the store at once.
	MaxAge = 1500 * time.Millisecond
	// SeedInterval is the longest time between two answers of the store to a seed.
	SeedInterval = time.Second
)

// Source is from where objects are read.
type Source struct {
	// Peer is the address of another VM; it is empty for the store.
	Peer string
}

// IsStore reports whether the source is the store itself.
func (s Source) IsStore() bool { return s.Peer == "" }

// Config is what a VM knows from its settings.
type Config struct {
	// Self is the address at which this VM answers others.
	Self string
	// Seeds are the addresses of VMs that read the store, perhaps Self among them.
	Seeds []string
	// FirstStart is true when the whole system starts for the first time.
	FirstStart bool
}

// Chooser chooses the source. It is not safe for concurrent use.
type Chooser struct {
	firstStart bool
	order      []Source
	restUntil  map[Source]time.Duration
	// storeFirst is until when the store comes first, after a peer was too old.
	storeFirst time.Duration
	seed       bool
}

// New returns a chooser for a VM that has just started.
func New(config Config) *Chooser {
	c := &Chooser{firstStart: config.FirstStart, restUntil: make(map[Source]time.Duration)}
	c.SetConfig(config)
	return c
}

// SetConfig takes in changed settings. A seed prefers the store, another VM the
// seeds, in an order of its own so that they share the readers.
func (c *Chooser) SetConfig(config Config) {
	seeds := slices.DeleteFunc(slices.Clone(config.Seeds), func(addr string) bool { return addr == config.Self })
	slices.SortFunc(seeds, func(a, b string) int {
		return cmp.Compare(xxhash.Sum64String(config.Self+a), xxhash.Sum64String(config.Self+b))
	})
	c.order = c.order[:0]
	for _, addr := range seeds {
		c.order = append(c.order, Source{Peer: addr})
	}
	c.seed = slices.Contains(config.Seeds, config.Self)
	if c.seed {
		c.order = slices.Insert(c.order, 0, Source{})
	} else {
		c.order = append(c.order, Source{})
	}
}

// Peers returns the addresses to keep connections to.
func (c *Chooser) Peers() []string {
	var out []string
	for _, s := range c.order {
		if !s.IsStore() {
			out = append(out, s.Peer)
		}
	}
	return out
}

// ExchangePeers returns the addresses with which findings are exchanged: a seed's
// other seeds, or a VM's first seed that did not fail lately.
func (c *Chooser) ExchangePeers(now time.Duration) []string {
	if c.seed {
		return c.Peers()
	}
	for _, s := range c.order {
		if !s.IsStore() && !c.resting(now, s) {
			return []string{s.Peer}
		}
	}
	return nil
}

// Next returns the best source that did not fail lately, or false when the
// caller should wait a little.
func (c *Chooser) Next(now time.Duration) (Source, bool) {
	if now < c.storeFirst && !c.resting(now, Source{}) {
		return Source{}, true
	}
	waiting := c.firstStart && now < firstStartWait && !c.order[0].IsStore()
	for _, s := range c.order {
		if waiting && s.IsStore() {
			continue
		}
		if !c.resting(now, s) {
			return s, true
		}
	}
	return c.order[0], waiting
}

// MarkFailed takes in that a source gave nothing, or something too old.
func (c *Chooser) MarkFailed(now time.Duration, s Source) {
	rest := peerRest
	if s.IsStore() {
		rest = storeRest
	}
	c.restUntil[s] = now + rest
}

// MarkStale takes in that a peer has not heard of the store for MaxAge. The other
// seeds may be cut off like it, so the store is next.
func (c *Chooser) MarkStale(now time.Duration, s Source) {
	c.MarkFailed(now, s)
	c.storeFirst = now + peerRest
}

// IsSeed reports whether this VM reads the store for others.
func (c *Chooser) IsSeed() bool { return c.seed }

func (c *Chooser) resting(now time.Duration, s Source) bool {
	until, ok := c.restUntil[s]
	return ok && now < until
}

// MarkFresh takes in that a source gave something new enough.
func (c *Chooser) MarkFresh(s Source) { delete(c.restUntil, s) }
