package latency

import (
	"math/bits"
	"time"
)

const (
	// unit is a quarter of the lowest latency that is told apart, 128 µs: a
	// hedge after less than that cannot save anything.
	unit = 32 * time.Microsecond

	// octaves covers 128 µs to 2.1 s, above every deadline in use.
	octaves = 14

	bucketsPerOctave = 4
	buckets          = octaves * bucketsPerOctave

	// window is the number of replies at which the counts are halved: 255
	// leaves about 6 replies above the 95th percentile after a halving.
	window = 255

	// minReplies is the fewest replies that say anything about one in twenty.
	minReplies = 20
)

// estimate is a histogram of recent latencies.
type estimate struct {
	counts [buckets]uint8
	total  uint16
	// odd alternates the rounding of halved counts, so that a single slow
	// reply neither stays forever nor disappears at once.
	odd uint8
}

func (e *estimate) observe(d time.Duration) {
	if e.total >= window {
		e.halve()
	}
	e.counts[bucketOf(d)]++
	e.total++
}

func (e *estimate) halve() {
	e.odd ^= 1
	e.total = 0
	for i, n := range e.counts {
		half := (n + (uint8(i)+e.odd)&1) / 2
		e.counts[i] = half
		e.total += uint16(half)
	}
}

// percentile95 interpolates within the bucket that holds the percentile.
func (e *estimate) percentile95() time.Duration {
	rank := float64(e.total) * 0.95
	below := 0.0
	for i, n := range e.counts {
		if n > 0 && below+float64(n) >= rank {
			low, high := lowerBound(i), lowerBound(i+1)
			part := (rank - below) / float64(n)
			return low + time.Duration(part*float64(high-low))
		}
		below += float64(n)
	}
	return lowerBound(buckets)
}

// bucketOf uses the highest bit of the latency as the octave and the next two
// bits as the bucket within it.
func bucketOf(d time.Duration) int {
	v := uint64(max(d/unit, bucketsPerOctave))
	octave := bits.Len64(v) - 3
	if octave >= octaves {
		return buckets - 1
	}
	return octave*bucketsPerOctave + int(v>>octave)&(bucketsPerOctave-1)
}

func lowerBound(bucket int) time.Duration {
	octave, sub := bucket/bucketsPerOctave, bucket%bucketsPerOctave
	return unit * time.Duration((bucketsPerOctave+sub)<<octave)
}
