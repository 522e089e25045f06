package fleet

import (
	"math"
	"testing"

	"gotest.tools/v3/assert"
	"pgregory.net/rapid"
)

// Guards against a request that gets a route other than the one with the longest
// matching prefix of its host.
func TestFindRouteLongestPrefix(t *testing.T) {
	c := &Configuration{Routes: []*Route{
		{Name: "root", Host: "a.example", Prefix: "/"},
		{Name: "one", Host: "a.example", Prefix: "/one/"},
		{Name: "deep", Host: "a.example", Prefix: "/one/two/"},
		{Name: "other", Host: "b.example", Prefix: "/one/"},
	}}
	c.Index()
	rows := []struct{ host, path, want string }{
		{"a.example", "/one/two/x", "deep"}, {"a.example", "/one/two", "one"}, {"a.example", "/one/twox/", "one"},
		{"a.example", "/one", "root"}, {"A.Example:80", "/one/x", "one"}, {"b.example", "/one/two/x", "other"},
		{"b.example", "/", ""}, {"c.example", "/one/", ""}, {"", "/one/", ""},
	}
	for _, row := range rows {
		name := ""
		if r := c.FindRoute(row.host, row.path); r != nil {
			name = r.Name
		}
		assert.Equal(t, name, row.want, "%s%s", row.host, row.path)
	}
}

// Guards against services of a split route whose share of any number of consecutive
// requests deviates from their weight.
func TestSplitterKeepsShares(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		n := rapid.IntRange(2, 4).Draw(t, "parts")
		route := &Route{Name: "r"}
		total := 0.0
		for i := range n {
			w := float64(rapid.IntRange(1, 20).Draw(t, "weight"))
			route.Split = append(route.Split, Share{Service: ServiceName(rune('a' + i)), Weight: w})
			total += w
		}
		s := NewSplitter()
		counts := map[ServiceName]int{}
		requests := rapid.IntRange(1, 400).Draw(t, "requests")
		for range requests {
			counts[s.Next(route)]++
		}
		for _, part := range route.Split {
			want := part.Weight / total * float64(requests)
			if math.Abs(float64(counts[part.Service])-want) > float64(n) {
				t.Fatalf("%d of %d requests, want %.1f", counts[part.Service], requests, want)
			}
		}
	})
}

// Guards against requests to a service whose weight was set to 0, and against a failure
// on a route whose weights are all 0.
func TestSplitterSkipsWeightZero(t *testing.T) {
	s := NewSplitter()
	route := &Route{Name: "r", Split: []Share{{"a", 1}, {"b", 1}}}
	s.Next(route)
	changed := &Route{Name: "r", Split: []Share{{"a", 1}, {"b", 0}}}
	for range 10 {
		assert.Equal(t, s.Next(changed), ServiceName("a"))
	}
	assert.Equal(t, s.Next(&Route{Name: "none", Split: []Share{{"a", 0}}}), ServiceName(""))
}

// Guards against estimates of leaves that are split by shard, so that each has too few
// observations, or shared between services of different kinds.
func TestShardsOfARouteAreOneGroup(t *testing.T) {
	c := &Configuration{Routes: []*Route{
		{Name: "finder", Shards: []ServiceName{"s1", "s2", "s3"}},
		{Name: "lookup", Shards: []ServiceName{"s2", "s4"}},
		{Name: "roster", Service: "single"},
	}}
	c.Index()
	for service, group := range map[ServiceName]ServiceName{"s1": "s1", "s2": "s1", "s3": "s1", "s4": "s2", "single": "single", "unknown": "unknown"} {
		assert.Equal(t, c.Group(service), group)
	}
}
