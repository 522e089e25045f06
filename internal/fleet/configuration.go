package fleet

import (
	"strings"
	"time"
)

// Configuration is one version of the operators' configuration. It is immutable
// after Index.
type Configuration struct {
	// Version increases with each change, not necessarily by 1.
	Version  uint64
	Routes   []*Route
	Services map[ServiceName]Service
	Limits   Limits

	byHost map[string][]*Route
	names  map[string]bool
	groups map[ServiceName]ServiceName
}

// Limits bounds the size of a request and the time in which a caller must send it.
type Limits struct {
	MaxHeaderBytes int
	MaxBodyBytes   int64
	HeaderTimeout  time.Duration
	// IdleTimeout is how long a caller's connection may stay idle.
	IdleTimeout time.Duration
}

// Index prepares the lookup of routes. It must be called once, before FindRoute and
// HasRoute.
func (c *Configuration) Index() {
	c.names = make(map[string]bool, len(c.Routes))
	c.groups = make(map[ServiceName]ServiceName)
	c.byHost = make(map[string][]*Route)
	for _, r := range c.Routes {
		host := canonicalHost(r.Host)
		c.byHost[host] = append(c.byHost[host], r)
		c.names[r.Name] = true
		for _, shard := range r.Shards {
			if _, ok := c.groups[shard]; !ok {
				c.groups[shard] = r.Shards[0]
			}
		}
	}
}

// Group returns the same service for all shards of a route, and any other service
// itself. The leaves of a group are of the same kind.
func (c *Configuration) Group(service ServiceName) ServiceName {
	if group, ok := c.groups[service]; ok {
		return group
	}
	return service
}

// FindRoute returns the route of a host with the longest prefix of the path, or nil.
func (c *Configuration) FindRoute(host, path string) *Route {
	var best *Route
	for _, r := range c.byHost[canonicalHost(host)] {
		if strings.HasPrefix(path, r.Prefix) && (best == nil || len(r.Prefix) > len(best.Prefix)) {
			best = r
		}
	}
	return best
}

// HasRoute reports whether a route of this name exists.
func (c *Configuration) HasRoute(name string) bool { return c.names[name] }

// canonicalHost removes the port of a host and converts it to lower case.
func canonicalHost(host string) string {
	if i := strings.LastIndexByte(host, ':'); i >= 0 && !strings.HasSuffix(host, "]") {
		host = host[:i]
	}
	return strings.ToLower(host)
}
