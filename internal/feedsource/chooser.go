package feedsource

import (
	"cmp"
	"slices"
	"time"

	"github.com/cespare/xxhash/v2"
)

const (
	// peerBackoff and storeBackoff are how long a failed source is not used. The store
	// is tried more often because it has the newest state.
	peerBackoff  = 2 * time.Second
	storeBackoff = time.Second
	// firstStartWait is how long a VM waits for the seeds when the whole system
	// starts. All VMs start within 0.3 s.
	firstStartWait = 1500 * time.Millisecond
	// MaxAge is the maximum age of the state of a peer. It exceeds SeedInterval, the
	// time between two answers of the store to a seed. All seeds may be partitioned
	// from the store at once; therefore MaxAge plus the time that a call to a peer
	// waits is less than the 3 s within which a configuration must be active.
	MaxAge = 1500 * time.Millisecond
	// SeedInterval is the longest time between two answers of the store to a seed.
	SeedInterval = time.Second
)

// Source is a source of objects: the store or another VM.
type Source struct {
	// Peer is the address of another VM; it is empty for the store.
	Peer string
}

// IsStore reports whether the source is the store itself.
func (s Source) IsStore() bool { return s.Peer == "" }

// Config holds the settings of a chooser.
type Config struct {
	// Self is the address at which this VM serves other VMs.
	Self string
	// Seeds are the addresses of the VMs that read the store. Self may be among them.
	Seeds []string
	// FirstStart is true when the whole system starts for the first time.
	FirstStart bool
}

// Chooser selects the source for a VM. It is not safe for concurrent use.
type Chooser struct {
	firstStart   bool
	order        []Source
	backoffUntil map[Source]time.Duration
	// preferStoreUntil is until when the store is tried first because the state of a
	// peer was stale.
	preferStoreUntil time.Duration
	seed             bool
}

// New returns a chooser for a VM that has just started.
func New(config Config) *Chooser {
	c := &Chooser{firstStart: config.FirstStart, backoffUntil: make(map[Source]time.Duration)}
	c.SetConfig(config)
	return c
}

// SetConfig applies changed settings. A seed prefers the store. Other VMs prefer the
// seeds, each VM in a different order, so that readers are spread over the seeds.
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

// Peers returns the addresses of the seeds, except this VM, to which connections are
// kept open.
func (c *Chooser) Peers() []string {
	var out []string
	for _, s := range c.order {
		if !s.IsStore() {
			out = append(out, s.Peer)
		}
	}
	return out
}

// ExchangePeers returns the addresses of the VMs to exchange findings about slow
// leaves with: the other seeds if this VM is a seed, otherwise the first seed that
// has not failed recently.
func (c *Chooser) ExchangePeers(now time.Duration) []string {
	if c.seed {
		return c.Peers()
	}
	for _, s := range c.order {
		if !s.IsStore() && !c.backingOff(now, s) {
			return []string{s.Peer}
		}
	}
	return nil
}

// Next returns the preferred source that has not failed recently, or false if there
// is none and the caller should pause. While a VM waits for the seeds at a first
// start, Next returns a seed even if all of them have failed recently.
func (c *Chooser) Next(now time.Duration) (Source, bool) {
	if now < c.preferStoreUntil && !c.backingOff(now, Source{}) {
		return Source{}, true
	}
	waitForSeeds := c.firstStart && now < firstStartWait && !c.order[0].IsStore()
	for _, s := range c.order {
		if waitForSeeds && s.IsStore() {
			continue
		}
		if !c.backingOff(now, s) {
			return s, true
		}
	}
	return c.order[0], waitForSeeds
}

// MarkFailed records that a call to a source failed or that its state was stale.
func (c *Chooser) MarkFailed(now time.Duration, s Source) {
	backoff := peerBackoff
	if s.IsStore() {
		backoff = storeBackoff
	}
	c.backoffUntil[s] = now + backoff
}

// MarkStale records that the state of a peer is older than MaxAge. The other seeds
// may be partitioned from the store too, so the store is tried next.
func (c *Chooser) MarkStale(now time.Duration, s Source) {
	c.MarkFailed(now, s)
	c.preferStoreUntil = now + peerBackoff
}

// IsSeed reports whether this VM is a seed.
func (c *Chooser) IsSeed() bool { return c.seed }

// backingOff reports whether a source failed recently.
func (c *Chooser) backingOff(now time.Duration, s Source) bool {
	until, ok := c.backoffUntil[s]
	return ok && now < until
}

// MarkFresh records that a source returned state that is not stale.
func (c *Chooser) MarkFresh(s Source) { delete(c.backoffUntil, s) }
