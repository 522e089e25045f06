// Package latency estimates, per shard, after which time a hedge pays off: the
// 95th percentile of recent replies.
//
// The estimate is a histogram of one byte per bucket, four buckets per
// doubling, whose counts are halved at 255 replies. That takes 64
// bytes per shard. An HDR histogram from 128 µs to 2 s with one significant
// digit takes 1,587 bytes with its map entry, or 175 MB at 110,000 shards; see
// BenchmarkBytesPerShard.
package latency
