package degraded

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"
)

// Guards against a shard that is missing for a night without a line that says since
// when, against a line for each short absence, and against one that is repeated.
func TestStatesAreReportedOnce(t *testing.T) {
	shard, zone := State{"shard-without-leaf", "price-3"}, State{"zone-unreachable", "osorno"}
	rows := []struct {
		at      time.Duration
		current []State
		want    []Change
	}{
		{0, []State{shard, zone}, nil},
		{minDuration / 2, []State{shard}, nil},
		{minDuration - 1, []State{zone, shard}, nil},
		{minDuration, []State{zone, shard}, []Change{{State: shard, For: minDuration}}},
		{minDuration + 1, []State{shard}, nil},
		{8 * time.Hour, []State{shard}, nil},
		{8*time.Hour + 1, nil, []Change{{State: shard, For: 8*time.Hour + 1, Ended: true}}},
		{9 * time.Hour, nil, nil},
	}
	tracker := New()
	for _, row := range rows {
		assert.DeepEqual(t, tracker.Update(row.at, row.current), row.want)
		count, oldest := tracker.Reported(row.at)
		if row.at >= minDuration && len(row.current) > 0 {
			assert.Equal(t, count, 1, "at %v", row.at)
			assert.Equal(t, oldest, row.at)
		} else {
			assert.Equal(t, count, 0, "at %v", row.at)
		}
	}
}
