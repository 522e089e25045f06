// Package delegation decides at which VM a query over many shards runs.
//
// It answers a fleet of many small VMs with few queries each. A query costs one
// request per shard, and on a small share of a core sending them and reading the
// replies takes longer than the latency target leaves. A VM that sees a query
// every second also finds its connections to the leaves closed and knows little
// of them. So VMs hand queries to aggregators, the VMs of their availability zone
// with much more processor, which use their connections and what they learn more
// often. VMs of equal size keep their queries.
package delegation
