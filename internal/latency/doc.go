// Package latency estimates the hedge delay of each shard, which is the 95th
// percentile of the latencies of recent replies, and detects leaves that are
// much slower than the others of their shard.
//
// The percentile is calculated from a histogram with one byte per bucket and
// four buckets per doubling of the latency. All counts are halved at 255
// replies. A histogram takes 64 bytes per shard. An HDR histogram from 128 µs to 2 s with one significant
// digit takes 1,587 bytes with its map entry, or 175 MB for 110,000 shards; see
// BenchmarkBytesPerShard.
package latency
