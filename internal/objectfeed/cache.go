package objectfeed

// maxHistory bounds the changes that a cache remembers. A reader that is further
// behind lists anew.
const maxHistory = 1024

// Cache is a copy of the objects of one kind. It is not safe for concurrent use.
type Cache struct {
	listed   bool
	revision uint64
	objects  map[string]Object
	history  []change
	// base is the revision since which the history is complete.
	base uint64
}

type change struct {
	revision uint64
	object   Object
}

// Apply takes in what a reader of the store has learned. Changes older than what
// is known are ignored.
func (c *Cache) Apply(in Changes) {
	if c.listed && in.Revision < c.revision {
		return
	}
	if in.IsListing {
		c.replace(in)
		return
	}
	for _, o := range in.Objects {
		if o.Deleted {
			delete(c.objects, o.Name)
		} else {
			c.objects[o.Name] = o
		}
		c.history = append(c.history, change{in.Revision, o})
	}
	c.revision = in.Revision
	if over := len(c.history) - maxHistory; over > 0 {
		c.base = c.history[over-1].revision
		c.history = append(c.history[:0:0], c.history[over:]...)
	}
}

func (c *Cache) replace(in Changes) {
	c.listed, c.revision, c.base, c.history = true, in.Revision, in.Revision, nil
	c.objects = make(map[string]Object, len(in.Objects))
	for _, o := range in.Objects {
		c.objects[o.Name] = o
	}
}

// List returns all objects, or false before the first listing.
func (c *Cache) List() (Changes, bool) {
	out := Changes{Revision: c.revision, IsListing: true}
	for _, o := range c.objects {
		out.Objects = append(out.Objects, o)
	}
	return out, c.listed
}

// Since returns what has changed after a revision, or false when that is not
// known any more. Of an object that changed more than once only the last state
// is returned.
func (c *Cache) Since(from uint64) (Changes, bool) {
	if !c.listed || from < c.base {
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
