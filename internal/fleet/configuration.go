package fleet

import (
	"strings"
	"time"
)

// Configuration is one version of what the operators configured. It is not
// changed after it was built.
type Configuration struct {
	// Version rises with each change, in uneven steps.
	Version  uint64
	Routes   []*Route
	Services map[ServiceName]Service
	Limits   Limits

	byHost map[string][]*Route
	names  map[string]bool
}

// Limits bound what a caller may send and how long it may take.
type Limits struct {
	MaxHeaderBytes int
	MaxBodyBytes   int64
	HeaderTimeout  time.Duration
	// IdleTimeout is how long a caller's connection may stay idle.
	IdleTimeout time.Duration
}

// Index prepares the lookup of routes. It must be called once, before Find and
// HasRoute.
func (c *Configuration) Index() {
	c.names = make(map[string]bool, len(c.Routes))
	c.byHost = make(map[string][]*Route)
	for _, r := range c.Routes {
		host := canonicalHost(r.Host)
		c.byHost[host] = append(c.byHost[host], r)
		c.names[r.Name] = true
	}
}

// FindRoute returns the route of a host whose prefix is the longest that begins the
// path, or nil.
func (c *Configuration) FindRoute(host, path string) *Route {
	var best *Route
	for _, r := range c.byHost[canonicalHost(host)] {
		if strings.HasPrefix(path, r.Prefix) && (best == nil || len(r.Prefix) > len(best.Prefix)) {
			best = r
		}
	}
	return best
}

// HasRoute reports whether there is a route of a name.
func (c *Configuration) HasRoute(name string) bool { return c.names[name] }

// canonicalHost drops the port and the case of a host.
func canonicalHost(host string) string {
	if i := strings.LastIndexByte(host, ':'); i >= 0 && !strings.HasSuffix(host, "]") {
		host = host[:i]
	}
	return strings.ToLower(host)
}
