package membership

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/medlarswitch/medlarswitch/internal/topology"
)

func list(version uint64, ids ...topology.VMID) ListReceived {
	view := topology.VMView{Version: version}
	for _, id := range ids {
		view.VMs = append(view.VMs, topology.VM{ID: id, Zone: "z"})
	}
	return ListReceived{View: view}
}

// Guards against views that restore VMs which no longer exist, that treat suspect
// or restarted VMs wrongly, or that suspect all peers after a pause of this
// process. The rows are consecutive steps of one view.
func TestView(t *testing.T) {
	v := New("a")
	at := func(id topology.VMID) topology.VM { return topology.VM{ID: id, Zone: "z"} }
	rows := []struct {
		at    time.Duration
		ev    Event
		want  []Action
		alive string
	}{
		{0, list(2, "a", "b", "c"), []Action{Joined{at("a")}, Joined{at("b")}, Joined{at("c")}}, "abc"},
		{time.Second, list(1, "a", "b", "c", "d"), nil, "abc"},
		{time.Second, list(2, "a"), nil, "abc"},
		{time.Second, MessageReceived{VM: "d", Boot: 1}, nil, "abc"},
		{2 * time.Second, MessageReceived{VM: "b", Boot: 7, Generation: 5}, nil, "abc"},
		{2900 * time.Millisecond, Tick{}, nil, "abc"},
		{3 * time.Second, Tick{}, []Action{Left{VM: "c"}}, "ab"},
		{4 * time.Second, MessageReceived{VM: "c", Boot: 1}, []Action{Joined{at("c")}}, "abc"},
		{4 * time.Second, MessageReceived{VM: "b", Boot: 8, Generation: 2}, []Action{Rebooted{VM: "b", Boot: 8}}, "abc"},
		{4 * time.Second, MessageReceived{VM: "b", Boot: 7, Generation: 9}, nil, "abc"},
		{5 * time.Second, list(3, "a", "b"), []Action{Left{VM: "c", Removed: true}}, "ab"},
		{6 * time.Second, Tick{}, nil, "ab"},
		{60 * time.Second, Tick{}, nil, "ab"}, // This process was paused.
		{61 * time.Second, Tick{}, []Action{Left{VM: "b"}}, "a"},
	}
	for i, row := range rows {
		assert.DeepEqual(t, v.Step(row.at, row.ev), row.want)
		alive := ""
		for _, vm := range v.Alive(row.at, "z") {
			alive += string(vm.ID)
		}
		assert.Equal(t, alive, row.alive, "row %d", i)
	}
	b, _ := v.Member("b")
	assert.Equal(t, b.Boot, topology.BootID(8))
	assert.Equal(t, b.Generation, uint64(2))
	assert.Equal(t, len(v.Alive(61*time.Second, "other")), 0)
}
