package objectfeed

const (
	// minHistory is how many changes a cache keeps at least. A reader that is further
	// behind has to list all objects again.
	minHistory = 1024
	// historyPerObject is how many changes a cache keeps for each object: while all
	// leaves are replaced at once, each old one starts to leave and is removed, and
	// each new one is added and becomes ready.
	historyPerObject = 4
)

// Cache is a copy of the objects of one kind with a history of their changes. It is
// not safe for concurrent use.
type Cache struct {
	listed   bool
	revision uint64
	objects  map[string]Object
	history  []change
	// historyStart is the revision after which the history is complete.
	historyStart uint64
}

type change struct {
	revision uint64
	object   Object
}

// Apply applies a listing or changes that were read from the store or from another
// VM. Input older than the revision of the cache is ignored.
func (c *Cache) Apply(changes Changes) {
	if c.listed && changes.Revision < c.revision {
		return
	}
	if changes.IsListing {
		c.replace(changes)
		return
	}
	for _, o := range changes.Objects {
		if o.Deleted {
			delete(c.objects, o.Name)
		} else {
			c.objects[o.Name] = o
		}
		c.history = append(c.history, change{changes.Revision, o})
	}
	c.revision = changes.Revision
	if excess := len(c.history) - max(minHistory, historyPerObject*len(c.objects)); excess > 0 {
		c.historyStart = c.history[excess-1].revision
		c.history = c.history[excess:]
	}
}

// replace replaces all objects by a listing and clears the history.
func (c *Cache) replace(changes Changes) {
	c.listed, c.revision, c.historyStart, c.history = true, changes.Revision, changes.Revision, nil
	c.objects = make(map[string]Object, len(changes.Objects))
	for _, o := range changes.Objects {
		c.objects[o.Name] = o
	}
}

// Listed reports whether the cache holds a complete copy.
func (c *Cache) Listed() bool { return c.listed }

// List returns all objects. It returns none before the first listing.
func (c *Cache) List() Changes {
	out := Changes{Revision: c.revision, IsListing: true, Objects: make([]Object, 0, len(c.objects))}
	for _, o := range c.objects {
		out.Objects = append(out.Objects, o)
	}
	return out
}

// Since returns the changes after a revision, or false if the history no longer
// contains all of them. For an object that changed more than once, only the last
// state is returned.
func (c *Cache) Since(from uint64) (Changes, bool) {
	if !c.listed || from < c.historyStart {
		return Changes{}, false
	}
	out := Changes{Revision: max(c.revision, from)}
	seen := make(map[string]bool)
	for i := len(c.history) - 1; i >= 0 && c.history[i].revision > from; i-- {
		o := c.history[i].object
		if !seen[o.Name] {
			seen[o.Name] = true
			out.Objects = append(out.Objects, o)
		}
	}
	return out, true
}
