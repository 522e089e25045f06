package feedsource

import (
	"cmp"
	"slices"
	"time"

	"github.com/cespare/xxhash/v2"

	"github.com/medlarswitch/medlarswitch/internal/directory"
)

const (
	// peerBackoff and storeBackoff are how long a failed source is not used. The store
	// is tried more often because it has the newest state.
	peerBackoff  = 2 * time.Second
	storeBackoff = time.Second
	// firstStartWait is how long a VM waits for the seeds when the whole system
	// starts. All VMs start within 0.3 s.
	firstStartWait = 1500 * time.Millisecond
	// restartWait is how long a VM waits for the seeds at any other start: the time to
	// connect to a seed that starts at the same time. A longer wait delays the return
	// of a VM whose seeds are down.
	restartWait = 500 * time.Millisecond
	// startBackoff is how long a source that failed is not used while the VM waits for
	// the seeds: connections to them are about to open.
	startBackoff = 50 * time.Millisecond
	// MaxAge is the maximum age of the state of a peer. It exceeds SeedInterval, the
	// time between two answers of the store to a seed, plus the time between two
	// answers of a seed to a VM that serves others. All seeds may be partitioned
	// from the store at once; therefore MaxAge plus the time that a call to a peer
	// waits is less than the 3 s within which a configuration must be active.
	MaxAge = 1500 * time.Millisecond
	// SeedInterval is the longest time between two answers of the store to a seed for the
	// same kind of object, other than the members.
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
	// startWaitUntil is until when a VM that is no seed does not read the store.
	startWaitUntil time.Duration
	config         Config
	// near are the addresses of VMs of this VM's zone that copy the objects.
	near  []string
	order []Source
	// failedAt is when a call to each source last failed, for whatever kind of object. A
	// source that has worked since is absent.
	failedAt map[Source]time.Duration
	// staleAt is when each peer's copy of a kind was last found to be stale. A copy that has
	// been fresh since is absent. The other kinds are still read from the peer: each has an
	// age of its own, and while the store is away a stale copy is better than none.
	staleAt map[sourceCopy]time.Duration
	// preferStoreUntil is until when the store is tried first for a kind because the copy of
	// a peer was stale.
	preferStoreUntil map[directory.Kind]time.Duration
	seed             bool
}

// sourceCopy is the copy of one kind of object at a source.
type sourceCopy struct {
	source Source
	kind   directory.Kind
}

// New returns a chooser for a VM that has just started.
func New(config Config) *Chooser {
	c := &Chooser{
		startWaitUntil: restartWait, failedAt: make(map[Source]time.Duration),
		staleAt: make(map[sourceCopy]time.Duration), preferStoreUntil: make(map[directory.Kind]time.Duration),
	}
	if config.FirstStart {
		c.startWaitUntil = firstStartWait
	}
	c.SetConfig(config)
	return c
}

// SetConfig applies changed settings.
func (c *Chooser) SetConfig(config Config) {
	c.config = config
	c.sortSources()
}

// SetNear sets the VMs of this VM's zone that copy the objects from the seeds, so that
// each change crosses between zones once for a zone and not once for each of its VMs.
func (c *Chooser) SetNear(addrs []string) {
	c.near = addrs
	c.sortSources()
}

// sortSources orders the sources. A seed prefers the store. Other VMs prefer the VMs
// near them in the given order, then the seeds, each VM in a different order, so that
// readers are spread over them.
func (c *Chooser) sortSources() {
	c.seed = slices.Contains(c.config.Seeds, c.config.Self)
	c.order = c.order[:0]
	if c.seed {
		c.order = append(c.order, Source{})
	} else {
		c.appendPeers(c.near)
	}
	rank := func(addr string) uint64 { return xxhash.Sum64String(c.config.Self + addr) }
	c.appendPeers(slices.SortedFunc(slices.Values(c.config.Seeds), func(a, b string) int { return cmp.Compare(rank(a), rank(b)) }))
	if !c.seed {
		c.order = append(c.order, Source{})
	}
}

// appendPeers appends the VMs other than this one that are not in the order yet.
func (c *Chooser) appendPeers(addrs []string) {
	for _, addr := range addrs {
		if s := (Source{Peer: addr}); addr != c.config.Self && !slices.Contains(c.order, s) {
			c.order = append(c.order, s)
		}
	}
}

// Peers returns the addresses of the VMs to read from, to which connections are kept
// open.
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
// leaves with: the other seeds if this VM is a seed, otherwise the first VM to read from
// that has not failed recently.
func (c *Chooser) ExchangePeers(now time.Duration) []string {
	if c.seed {
		return c.Peers()
	}
	for _, s := range c.order {
		if !s.IsStore() && !c.failedRecently(now, s) {
			return []string{s.Peer}
		}
	}
	return nil
}

// Next returns the preferred source of a kind that has not failed recently, or false if
// there is none and the caller should pause. After its start, a VM that is no seed pauses
// until it can read from a peer or startWaitUntil has passed.
func (c *Chooser) Next(now time.Duration, kind directory.Kind) (Source, bool) {
	waiting := c.waitsForSeeds(now)
	if now < c.preferStoreUntil[kind] && !waiting && !c.failedRecently(now, Source{}) {
		return Source{}, true
	}
	for _, s := range c.order {
		if !c.failedRecently(now, s) && !c.staleRecently(now, kind, s) && !(waiting && s.IsStore()) {
			return s, true
		}
	}
	return Source{}, false
}

// Alternatives returns up to limit VMs to read a kind from while a source is late, the preferred
// ones first. The store is none of them: its calls have a price.
func (c *Chooser) Alternatives(now time.Duration, kind directory.Kind, late Source, limit int) []Source {
	var out []Source
	for _, s := range c.order {
		if len(out) < limit && s != late && !s.IsStore() && !c.failedRecently(now, s) && !c.staleRecently(now, kind, s) {
			out = append(out, s)
		}
	}
	return out
}

// waitsForSeeds reports whether the VM has just started and waits for its seeds.
func (c *Chooser) waitsForSeeds(now time.Duration) bool {
	return now < c.startWaitUntil && !c.PrefersStore()
}

// MarkFailed records that a call to a source failed.
func (c *Chooser) MarkFailed(now time.Duration, s Source) { c.failedAt[s] = now }

// MarkStale records that a peer's copy of a kind is older than MaxAge. The VMs near this
// one copy from the same seeds, so the seeds are tried next. The other seeds may be
// partitioned from the store too, so after a seed the store is tried next.
func (c *Chooser) MarkStale(now time.Duration, kind directory.Kind, s Source) {
	c.staleAt[sourceCopy{s, kind}] = now
	if slices.Contains(c.config.Seeds, s.Peer) {
		c.preferStoreUntil[kind] = now + peerBackoff
		return
	}
	for _, addr := range c.near {
		if !slices.Contains(c.config.Seeds, addr) {
			c.staleAt[sourceCopy{Source{Peer: addr}, kind}] = now
		}
	}
}

// PrefersStore reports whether this VM reads the store before other VMs: as a seed, or since it
// knows no other VM.
func (c *Chooser) PrefersStore() bool { return c.order[0].IsStore() }

// IsSeed reports whether this VM is a seed.
func (c *Chooser) IsSeed() bool { return c.seed }

// failedRecently reports whether a call to a source failed recently.
func (c *Chooser) failedRecently(now time.Duration, s Source) bool {
	at, failed := c.failedAt[s]
	return failed && now < at+c.backoff(now, s)
}

// staleRecently reports whether a source's copy of a kind was stale recently.
func (c *Chooser) staleRecently(now time.Duration, kind directory.Kind, s Source) bool {
	at, stale := c.staleAt[sourceCopy{s, kind}]
	return stale && now < at+c.backoff(now, s)
}

func (c *Chooser) backoff(now time.Duration, s Source) time.Duration {
	switch {
	case c.waitsForSeeds(now):
		return startBackoff
	case s.IsStore():
		return storeBackoff
	}
	return peerBackoff
}

// MarkAnswered records that a source answered a call, whatever the age of its copy.
func (c *Chooser) MarkAnswered(s Source) { delete(c.failedAt, s) }

// MarkFresh records that a source answered with a copy of a kind that is not stale.
func (c *Chooser) MarkFresh(kind directory.Kind, s Source) {
	c.MarkAnswered(s)
	delete(c.staleAt, sourceCopy{s, kind})
}
