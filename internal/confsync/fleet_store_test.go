package confsync

import (
	"fmt"
	"slices"
	"time"
)

// edit stores a new generation with a new text of a section, unless the store is
// down.
func (f *fleet) edit(section string) {
	if f.store.down {
		return
	}
	old := f.store.manifest
	g := old.Generation + 1
	id := fmt.Sprintf("edit-%d", g)
	text := []byte(fmt.Sprintf("%s at generation %d", section, g))
	ref := SectionRef{Name: section, EditID: id, Hash: HashText(text)}
	refs := slices.DeleteFunc(slices.Clone(old.Sections), func(r SectionRef) bool { return r.Name == section })
	refs = append(refs, ref)
	slices.SortFunc(refs, func(a, b SectionRef) int {
		if a.Name < b.Name {
			return -1
		}
		return 1
	})
	f.store.texts[textKey{section, id}] = text
	f.store.manifest = Manifest{Generation: g, Sections: refs, Edits: []Edit{{Generation: g, EditID: id, Section: section}}}
	f.store.accepted[g] = f.store.manifest
}

// read reports the result of a poll to a node.
func (f *fleet) read(n *node, boot int) {
	f.store.reads++
	if n.boot != boot || f.store.down && f.store.unresponsive {
		return
	}
	f.step(n, StoreRead{Manifest: f.store.manifest, OK: !f.store.down})
}

// watch polls the store every 20 ms and reports the manifest to a node when it has
// changed, and at least once a second.
func (f *fleet) watch(n *node, watchID, boot int, last uint64, reported time.Duration) {
	if n.boot != boot || n.watchID != watchID {
		return
	}
	if f.store.down {
		if !f.store.unresponsive {
			f.step(n, StoreRead{})
		}
		return
	}
	if m := f.store.manifest; m.Generation != last || f.Now-reported >= time.Second {
		f.store.reads++
		last, reported = m.Generation, f.Now
		f.step(n, StoreRead{Manifest: m, OK: true})
	}
	f.After(20*time.Millisecond, func() { f.watch(n, watchID, boot, last, reported) })
}

// checkConverged returns an error for a node whose active generation isn't the
// last accepted one.
func (f *fleet) checkConverged() error {
	for _, n := range f.nodes {
		if got, want := n.machine.ActiveGeneration(), f.store.manifest.Generation; got != want {
			return fmt.Errorf("%s: active generation %d at %v, accepted %d", n.vm.ID, got, f.Now, want)
		}
	}
	return nil
}
