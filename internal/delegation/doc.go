// Package delegation selects the VM that runs a query over many shards.
//
// It is for fleets of many small VMs with few queries each. A query takes one
// request per shard. On a small share of a core, sending the requests and reading
// the replies takes longer than the latency target allows. A VM that receives one query per second
// also finds its connections to the leaves closed and has few measurements of the
// leaves. VMs therefore delegate queries to aggregators: VMs of the same
// availability zone with much more CPU, whose connections and measurements are
// used more often. VMs of equal size run their own queries.
package delegation
