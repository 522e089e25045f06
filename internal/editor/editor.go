package editor

import (
	"context"
	"math/rand/v2"
	"strconv"
	"time"

	"github.com/pkg/errors"

	"github.com/medlarswitch/medlarswitch/internal/configedit"
	"github.com/medlarswitch/medlarswitch/internal/confsync"
	"github.com/medlarswitch/medlarswitch/internal/platform"
	"github.com/medlarswitch/medlarswitch/internal/servicedoc"
)

const (
	// maxAttempts is the maximum number of attempts to apply an edit, each on top of
	// a newer manifest.
	maxAttempts = 20
	// readBackTimeout bounds reading the manifest back to find out whether a failed
	// update was applied.
	readBackTimeout = 10 * time.Second
	// maxPause bounds the random pause between attempts, so that operators that
	// edit at the same time do not conflict repeatedly.
	maxPause = 200 * time.Millisecond
)

// ErrOutcomeUnknown means that the edit may or may not have been accepted.
var ErrOutcomeUnknown = errors.New("it is not known whether the edit was accepted: look at 'medlarctl section history'")

// Editor edits the service document as one team.
type Editor struct {
	client *platform.Client
	team   string
}

// New returns an editor. The client must have the team's credentials.
func New(client *platform.Client, team string) *Editor {
	return &Editor{client: client, team: team}
}

// Document is one generation of the service document with the texts of its
// sections.
type Document struct {
	configedit.Base
	// version is the store's version of the manifest.
	version uint64
}

// Read returns the current document, which is empty before the first edit.
func (e *Editor) Read(ctx context.Context) (Document, error) {
	object, err := e.client.Get(ctx, platform.KeyManifest)
	if err != nil || object.Version == 0 {
		return Document{}, err
	}
	m, err := confsync.DecodeManifest(object.Value)
	if err != nil {
		return Document{}, err
	}
	doc := Document{Base: configedit.Base{Manifest: m}, version: object.Version}
	for _, ref := range m.Sections {
		text, err := e.client.Get(ctx, platform.KeySection(ref.Name, ref.EditID))
		if err != nil {
			return Document{}, err
		}
		doc.Sections = append(doc.Sections, servicedoc.Section{Name: ref.Name, Text: text.Value})
	}
	return doc, nil
}

// NewEdit returns an edit of a section on top of a document.
func (e *Editor) NewEdit(doc Document, section string, text []byte) configedit.Edit {
	current, _ := doc.Manifest.Find(section)
	return configedit.Edit{
		ID: strconv.FormatUint(rand.Uint64(), 36), Section: section, Team: e.team,
		BaseEditID: current.EditID, Text: text, At: time.Now().UnixMilli(),
	}
}

// Apply applies an edit and returns the generation that accepted it. An invalid
// edit changes nothing and returns servicedoc.Problems. ErrOutcomeUnknown is the
// only error after which the edit may have been or may still be accepted.
func (e *Editor) Apply(ctx context.Context, doc Document, edit configedit.Edit) (uint64, error) {
	// pending is true while an earlier update without an answer may still be applied.
	pending := false
	for range maxAttempts {
		next, problems := configedit.Decide(doc.Base, edit)
		if len(problems) > 0 {
			return 0, problems
		}
		if err := e.putSection(ctx, edit); err != nil {
			return 0, failure(pending, err)
		}
		outcome, err := e.putManifest(ctx, doc, next, edit)
		if err != nil {
			return 0, failure(pending, err)
		}
		if isFinal(outcome) {
			return result(outcome, edit)
		}
		pause(ctx)
		before := doc.Manifest
		if doc, err = e.Read(ctx); err != nil {
			return 0, failure(outcome.Status == configedit.RetryUpdate, err)
		}
		// The update may have been applied since the manifest was read back.
		outcome = configedit.Resolve(before, doc.Manifest, edit)
		if isFinal(outcome) {
			return result(outcome, edit)
		}
		pending = outcome.Status == configedit.RetryUpdate
	}
	return 0, failure(pending, errors.Errorf("other edits came first %d times: try again", maxAttempts))
}

// failure returns the error for an edit that is not tried again. It is
// ErrOutcomeUnknown with the cause if an update is pending.
func failure(pending bool, err error) error {
	if pending && !errors.Is(err, ErrOutcomeUnknown) {
		return errors.WithMessage(ErrOutcomeUnknown, err.Error())
	}
	return err
}

// isFinal reports whether an edit needs no further attempt.
func isFinal(o configedit.Outcome) bool {
	return o.Status != configedit.RetryUpdate && o.Status != configedit.Rebase
}

// result returns the result of Apply for a final outcome.
func result(o configedit.Outcome, edit configedit.Edit) (uint64, error) {
	switch o.Status {
	case configedit.Accepted:
		return o.Generation, nil
	case configedit.Conflict:
		return 0, errors.Errorf("section %q was changed by team %q in generation %d after you read it: read it again", edit.Section, o.ConflictingEdit.Team, o.ConflictingEdit.Generation)
	default:
		return 0, ErrOutcomeUnknown
	}
}

// putSection writes the immutable version of the section. Its key is unique, so a
// conflict means that an earlier attempt was applied without an answer.
func (e *Editor) putSection(ctx context.Context, edit configedit.Edit) error {
	key := platform.KeySection(edit.Section, edit.ID)
	_, err := e.client.Put(ctx, key, edit.Text, 0)
	if err == nil || errors.Is(err, platform.ErrConflict) {
		return nil
	}
	object, readErr := e.client.Get(ctx, key)
	if readErr == nil && object.Version != 0 {
		return nil
	}
	return err
}

// putManifest writes the manifest that accepts the edit, if the stored one is
// unchanged. If the result is unclear, it reads the manifest back.
func (e *Editor) putManifest(ctx context.Context, doc Document, next confsync.Manifest, edit configedit.Edit) (configedit.Outcome, error) {
	value, err := next.Encode()
	if err != nil {
		return configedit.Outcome{}, err
	}
	_, err = e.client.Put(ctx, platform.KeyManifest, value, doc.version)
	if err == nil {
		return configedit.Outcome{Status: configedit.Accepted, Generation: next.Generation}, nil
	}
	if errors.Is(err, platform.ErrRefused) {
		return configedit.Outcome{}, err
	}
	return e.readBack(ctx, doc, edit)
}

// readBack reads the manifest back to find out whether a failed update was applied.
func (e *Editor) readBack(ctx context.Context, doc Document, edit configedit.Edit) (configedit.Outcome, error) {
	ctx, cancel := context.WithTimeout(ctx, readBackTimeout)
	defer cancel()
	for {
		object, err := e.client.Get(ctx, platform.KeyManifest)
		if err == nil {
			return resolve(doc, object, edit)
		}
		if ctx.Err() != nil {
			return configedit.Outcome{}, errors.WithMessage(ErrOutcomeUnknown, err.Error())
		}
		pause(ctx)
	}
}

func resolve(doc Document, object platform.Object, edit configedit.Edit) (configedit.Outcome, error) {
	var current confsync.Manifest
	if object.Version != 0 {
		var err error
		if current, err = confsync.DecodeManifest(object.Value); err != nil {
			return configedit.Outcome{}, failure(true, err)
		}
	}
	return configedit.Resolve(doc.Manifest, current, edit), nil
}

func pause(ctx context.Context) {
	select {
	case <-time.After(rand.N(maxPause)):
	case <-ctx.Done():
	}
}
