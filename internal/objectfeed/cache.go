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
	position Position
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
// VM. Input older than the position of the cache is ignored, and so are changes of another
// era than that of the listing.
func (c *Cache) Apply(changes Changes) {
	if c.listed && (changes.Position().Before(c.position) || !changes.IsListing && changes.Era != c.position.Era) {
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
	c.position = changes.Position()
	if excess := len(c.history) - max(minHistory, historyPerObject*len(c.objects)); excess > 0 {
		c.historyStart = c.history[excess-1].revision
		c.history = c.history[excess:]
	}
}

// replace replaces all objects by a listing and clears the history.
func (c *Cache) replace(changes Changes) {
	c.listed, c.position, c.historyStart, c.history = true, changes.Position(), changes.Revision, nil
	c.objects = make(map[string]Object, len(changes.Objects))
	for _, o := range changes.Objects {
		c.objects[o.Name] = o
	}
}

// Position returns the state of the store that the cache holds.
func (c *Cache) Position() Position { return c.position }

// Listed reports whether the cache holds a complete copy.
func (c *Cache) Listed() bool { return c.listed }

// List returns all objects. It returns none before the first listing.
func (c *Cache) List() Changes {
	out := Changes{Era: c.position.Era, Revision: c.position.Revision, IsListing: true, Objects: make([]Object, 0, len(c.objects))}
	for _, o := range c.objects {
		out.Objects = append(out.Objects, o)
	}
	return out
}

// Since returns the changes after a position, or false if the history does not contain all
// of them. For an object that changed more than once, only the last
// state is returned.
func (c *Cache) Since(from Position) (Changes, bool) {
	if !c.listed || from.Era != c.position.Era || from.Revision < c.historyStart {
		return Changes{}, false
	}
	out := Changes{Era: from.Era, Revision: max(c.position.Revision, from.Revision)}
	seen := make(map[string]bool)
	for i := len(c.history) - 1; i >= 0 && c.history[i].revision > from.Revision; i-- {
		o := c.history[i].object
		if !seen[o.Name] {
			seen[o.Name] = true
			out.Objects = append(out.Objects, o)
		}
	}
	return out, true
}
