package editor

import (
	"context"
	"slices"
	"sync"
	"testing"

	"github.com/pkg/errors"
	"gotest.tools/v3/assert"

	"github.com/medlarswitch/medlarswitch/internal/confsync"
)

const (
	accepted = "accepted"
	rejected = "rejected"
	unknown  = "unknown"
)

func resultOf(err error) string {
	switch {
	case err == nil:
		return accepted
	case errors.Is(err, ErrOutcomeUnknown):
		return unknown
	}
	return rejected
}

// generationOf returns how often the store's manifest lists an edit, and the
// generation of the last entry.
func generationOf(t *testing.T, reader *operator, editID string) (times int, generation uint64) {
	doc, err := reader.Read(context.Background())
	assert.NilError(t, err)
	for _, e := range doc.Manifest.Edits {
		if e.EditID == editID {
			times, generation = times+1, e.Generation
		}
	}
	return times, generation
}

// Guards against an edit whose reported outcome differs from the one in the store,
// also if a write is applied late, and against an edit that is applied twice.
func TestAnswerMatchesStore(t *testing.T) {
	rows := []struct {
		name   string
		text   []byte
		faults map[string]fault
		// others maps calls of this operator to sections that another operator
		// edits just before.
		others     map[string]string
		want       string
		generation uint64
	}{
		{name: "no fault", want: accepted, generation: 4},
		{name: "invalid text", text: []byte("kind = 1"), want: rejected},
		{name: "section: reply lost", faults: map[string]fault{"put section 1": loseReply}, want: accepted, generation: 4},
		{name: "section: refused", faults: map[string]fault{"put section 1": replyUnavailable}, want: rejected},
		{name: "section: applied, store down", faults: map[string]fault{"put section 1": loseReply, "get section 1": giveUpDisconnected}, want: rejected},
		{name: "manifest: refused", faults: map[string]fault{"put manifest 1": replyUnavailable}, want: accepted, generation: 4},
		{name: "manifest: refused permanently", faults: map[string]fault{"put manifest 1": replyForbidden}, want: rejected},
		{name: "manifest: unanswered, then refused permanently", faults: map[string]fault{"put manifest 1": delayWrite, "put manifest 2": replyForbidden}, want: unknown},
		{name: "manifest: reply lost", faults: map[string]fault{"put manifest 1": loseReply}, want: accepted, generation: 4},
		{name: "manifest: reply lost, read refused", faults: map[string]fault{"put manifest 1": loseReply, "get manifest 1": replyUnavailable}, want: accepted, generation: 4},
		{name: "manifest: reply lost, store down", faults: map[string]fault{"put manifest 1": loseReply, "get manifest 1": giveUpDisconnected}, want: unknown},
		{name: "manifest: store down", faults: map[string]fault{"put manifest 1": giveUpDisconnected}, want: unknown},
		{name: "manifest: store slow", faults: map[string]fault{"put manifest 1": giveUpUnanswered}, want: unknown},
		{name: "manifest: applied before the read", faults: map[string]fault{"put manifest 1": delayWrite, "get manifest 1": applyDelayedWrite}, want: accepted, generation: 4},
		{name: "manifest: applied after the read", faults: map[string]fault{"put manifest 1": delayWrite, "get manifest 2": applyDelayedWrite}, want: accepted, generation: 4},
		{name: "manifest: applied before the second update", faults: map[string]fault{"put manifest 1": delayWrite, "put manifest 2": applyDelayedWrite}, want: accepted, generation: 4},
		{name: "manifest: unanswered, store down after the read", faults: map[string]fault{"put manifest 1": delayWrite, "get manifest 2": giveUpDisconnected}, want: unknown},
		{name: "manifest: unanswered, section refused", faults: map[string]fault{"put manifest 1": delayWrite, "put section 2": replyUnavailable, "get section 4": giveUpDisconnected}, want: unknown},
		{name: "loses to another section", others: map[string]string{"put manifest 1": "index.b"}, want: accepted, generation: 5},
		{name: "loses to the same section", others: map[string]string{"put manifest 1": "index.a"}, want: rejected},
		{name: "changed after the read", faults: map[string]fault{"put manifest 1": delayWrite}, others: map[string]string{"get manifest 2": "index.a"}, want: rejected},
		{name: "reply lost, changed by another", faults: map[string]fault{"put manifest 1": loseReply}, others: map[string]string{"get manifest 1": "index.a"}, want: accepted, generation: 4},
	}
	for _, row := range rows {
		t.Run(row.name, func(t *testing.T) {
			t.Parallel()
			store, other := newDocument(t)
			o := newOperator(t, store, "second")
			doc, err := o.Read(o.ctx)
			assert.NilError(t, err)
			faults := map[string]fault{}
			for call, f := range row.faults {
				faults[call] = f
			}
			for call, section := range row.others {
				faults[call] = func(*operator, context.Context, func()) error {
					other.put(t, section, indexText(section[len("index."):], 7009))
					return nil
				}
			}
			o.inject(faults)
			text := row.text
			if text == nil {
				text = indexText("a", 7005)
			}
			edit := o.NewEdit(doc, "index.a", text)
			generation, err := o.Apply(o.ctx, doc, edit)
			assert.Equal(t, resultOf(err), row.want, "%v", err)
			assert.Equal(t, generation, row.generation)
			o.applyDelayed()
			times, held := generationOf(t, other, edit.ID)
			assert.Assert(t, times <= 1)
			assert.Assert(t, row.want != rejected || times == 0, "rejected, but applied in generation %d", held)
			assert.Assert(t, row.want != accepted || held == generation, "accepted as %d, held as %d", generation, held)
		})
	}
}

// Guards against two operators whose edits of the same section are both accepted
// or both rejected, and against an edit that reverts another operator's edit of
// another section.
func TestOperatorsRace(t *testing.T) {
	rows := []struct {
		name     string
		sections [2]string
		want     []string
	}{
		{"same section", [2]string{"index.a", "index.a"}, []string{accepted, rejected}},
		{"different sections", [2]string{"index.a", "index.b"}, []string{accepted, accepted}},
	}
	for _, row := range rows {
		t.Run(row.name, func(t *testing.T) {
			t.Parallel()
			store, reader := newDocument(t)
			var both, done sync.WaitGroup
			both.Add(2)
			var answers [2]string
			var ids [2]string
			for i, section := range row.sections {
				o := newOperator(t, store, "racing")
				// Both edits are decided on the same generation before either
				// operator updates the manifest.
				o.inject(map[string]fault{"put manifest 1": func(*operator, context.Context, func()) error {
					both.Done()
					both.Wait()
					return nil
				}})
				doc, err := o.Read(o.ctx)
				assert.NilError(t, err)
				edit := o.NewEdit(doc, section, indexText(section[len("index."):], 7010+i))
				ids[i] = edit.ID
				done.Go(func() {
					_, err := o.Apply(o.ctx, doc, edit)
					answers[i] = resultOf(err)
				})
			}
			done.Wait()
			doc, err := reader.Read(context.Background())
			assert.NilError(t, err)
			for i, id := range ids {
				held := slices.ContainsFunc(doc.Manifest.Edits, func(e confsync.Edit) bool { return e.EditID == id })
				assert.Equal(t, held, answers[i] == accepted)
			}
			slices.Sort(answers[:])
			assert.DeepEqual(t, answers[:], row.want)
		})
	}
}
