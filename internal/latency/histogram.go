package latency

import (
	"math/bits"
	"time"
)

const (
	// resolution is the width of the narrowest buckets, a quarter of 128 µs.
	// Latencies below 128 µs count in the lowest bucket, since a hedge after a
	// shorter time cannot reduce the latency.
	resolution = 32 * time.Microsecond

	// octaves is the number of doublings that the histogram covers: 128 µs to
	// 2.1 s, which is above every deadline in use.
	octaves = 14

	bucketsPerOctave = 4
	buckets          = octaves * bucketsPerOctave

	// maxReplies is the number of replies at which all counts are halved. The
	// halved counts of 255 replies still hold about 6 above the 95th percentile,
	// enough to estimate it.
	maxReplies = 255

	// minReplies is the least number of replies from which the 95th percentile
	// can be estimated: 1 in 20 replies is above it.
	minReplies = 20
)

// histogram counts latencies by bucket. Halving the counts gives recent latencies
// more weight than older ones.
type histogram struct {
	counts [buckets]uint8
	total  uint16
	// roundingParity alternates which buckets round up when the counts are
	// halved, so that a single slow reply neither stays forever nor disappears
	// at once.
	roundingParity uint8
}

func (h *histogram) observe(d time.Duration) {
	if h.total >= maxReplies {
		h.halve()
	}
	h.counts[bucketOf(d)]++
	h.total++
}

func (h *histogram) halve() {
	h.roundingParity ^= 1
	h.total = 0
	for i, n := range h.counts {
		half := (n + (uint8(i)+h.roundingParity)&1) / 2
		h.counts[i] = half
		h.total += uint16(half)
	}
}

// percentile95 interpolates linearly within the bucket that contains the 95th
// percentile.
func (h *histogram) percentile95() time.Duration {
	rank := float64(h.total) * 0.95
	below := 0.0
	for i, n := range h.counts {
		if n > 0 && below+float64(n) >= rank {
			low, high := lowerBound(i), lowerBound(i+1)
			fraction := (rank - below) / float64(n)
			return low + time.Duration(fraction*float64(high-low))
		}
		below += float64(n)
	}
	return lowerBound(buckets)
}

// bucketOf selects the octave by the highest set bit of the latency, in units
// of resolution, and the bucket within it by the next two bits. The lowest
// octave starts at bucketsPerOctave units, a number of three bits.
func bucketOf(d time.Duration) int {
	units := uint64(max(d/resolution, bucketsPerOctave))
	octave := bits.Len64(units) - 3
	if octave >= octaves {
		return buckets - 1
	}
	return octave*bucketsPerOctave + int(units>>octave)&(bucketsPerOctave-1)
}

func lowerBound(bucket int) time.Duration {
	octave, step := bucket/bucketsPerOctave, bucket%bucketsPerOctave
	return resolution * time.Duration((bucketsPerOctave+step)<<octave)
}
