package main

import (
	"context"
	"io"
	"os"
	"time"

	"github.com/pkg/errors"
	"github.com/urfave/cli/v3"

	"github.com/medlarswitch/medlarswitch/internal/command"
	"github.com/medlarswitch/medlarswitch/internal/configedit"
	"github.com/medlarswitch/medlarswitch/internal/confsync"
	"github.com/medlarswitch/medlarswitch/internal/editor"
	"github.com/medlarswitch/medlarswitch/internal/servicedoc"
)

func sectionCommand() *cli.Command {
	return &cli.Command{
		Name: "section", Usage: "read and edit the sections of the service document",
		Commands: []*cli.Command{
			{Name: "list", Usage: "list the sections with their versions", Action: sectionList},
			{Name: "get", Usage: "print a section", ArgsUsage: "SECTION", Action: sectionGet,
				Description: "  medlarctl section get zones > zones.toml"},
			{Name: "put", Usage: "replace a section with a file, - for standard input", ArgsUsage: "SECTION FILE", Action: sectionPut,
				Flags: []cli.Flag{fromFlag()}, Description: putDescription},
			{Name: "check", Usage: "check the whole document with a section replaced, without editing it", ArgsUsage: "SECTION FILE", Action: sectionCheck,
				Flags: []cli.Flag{fromFlag()}, Description: "  medlarctl section check zones zones.toml"},
			{Name: "diff", Usage: "show the lines in which a file differs from a section", ArgsUsage: "SECTION FILE", Action: sectionDiff},
			{Name: "history", Usage: "list the last accepted edits", ArgsUsage: "[SECTION]", Action: sectionHistory},
		},
	}
}

const putDescription = `An edit is accepted as a whole or refused as a whole. Every problem is reported
with its section, line and key. With --from, the edit is refused if the section
has changed since you read it with 'section get'.

  medlarctl section list                     # shows the version of each section
  medlarctl section get zones > zones.toml
  medlarctl section put --from mm0ihtdvtei8 zones zones.toml`

func fromFlag() cli.Flag {
	return &cli.StringFlag{Name: "from", Usage: "refuse the edit unless `VERSION` is the section's current one"}
}

// newEditor returns an editor and the current document.
func newEditor(ctx context.Context, c *cli.Command) (*editor.Editor, editor.Document, error) {
	client, err := newPlatform(c)
	if err != nil {
		return nil, editor.Document{}, err
	}
	e := editor.New(client, c.String("team"))
	doc, err := e.Read(ctx)
	if err != nil {
		return nil, doc, errors.WithMessage(err, "cannot read the service document; nothing was changed; check --platform and try again")
	}
	return e, doc, nil
}

func sectionList(ctx context.Context, c *cli.Command) error {
	_, doc, err := newEditor(ctx, c)
	if err != nil {
		return err
	}
	return show(c, doc.Manifest, func(w io.Writer) {
		printLine(w, "generation\t%d", doc.Manifest.Generation)
		printLine(w, "SECTION\tVERSION\tSIZE")
		for i, ref := range doc.Manifest.Sections {
			printLine(w, "%s\t%s\t%d bytes", ref.Name, ref.EditID, len(doc.Sections[i].Text))
		}
	})
}

func sectionGet(ctx context.Context, c *cli.Command) error {
	_, doc, err := newEditor(ctx, c)
	if err != nil {
		return err
	}
	text, ok := sectionText(doc, c.Args().First())
	if !ok {
		return command.WithExit(command.ExitFailed, errors.Errorf("section %q does not exist: see 'medlarctl section list'", c.Args().First()))
	}
	current, _ := doc.Manifest.Find(c.Args().First())
	value := struct {
		Section    string `json:"section"`
		EditID     string `json:"edit_id"`
		Generation uint64 `json:"generation"`
		Text       string `json:"text"`
	}{c.Args().First(), current.EditID, doc.Manifest.Generation, string(text)}
	return show(c, value, func(w io.Writer) { _, _ = w.Write(text) })
}

func sectionPut(ctx context.Context, c *cli.Command) error {
	if err := requireTeam(c); err != nil {
		return err
	}
	e, doc, err := newEditor(ctx, c)
	if err != nil {
		return err
	}
	text, err := readFileArgument(c)
	if err != nil {
		return err
	}
	return applyEdit(ctx, c, e, doc, newEdit(c, e, doc, c.Args().First(), text))
}

// applyEdit applies an edit to the service document and prints the outcome.
func applyEdit(ctx context.Context, c *cli.Command, e *editor.Editor, doc editor.Document, edit configedit.Edit) error {
	generation, err := e.Apply(ctx, doc, edit)
	var problems servicedoc.Problems
	if errors.As(err, &problems) {
		return refusedError(problems)
	}
	if err != nil {
		return errors.WithMessagef(err, "edit %s of section %s", edit.ID, edit.Section)
	}
	accepted := editOutput{Section: edit.Section, EditID: edit.ID, Generation: generation, Changed: true}
	return show(c, accepted, func(w io.Writer) {
		printLine(w, "accepted: section %s, edit %s, generation %d", edit.Section, edit.ID, generation)
	})
}

// editOutput is the JSON output of an edit.
type editOutput struct {
	Section    string `json:"section"`
	EditID     string `json:"edit_id"`
	Generation uint64 `json:"generation"`
	Changed    bool   `json:"changed"`
}

// printUnchanged prints that the zones section needs no edit.
func printUnchanged(c *cli.Command, doc editor.Document, message string) error {
	current, _ := doc.Manifest.Find(zonesSection)
	output := editOutput{Section: zonesSection, EditID: current.EditID, Generation: doc.Manifest.Generation}
	return show(c, output, func(w io.Writer) { printLine(w, "%s", message) })
}

// newEdit returns an edit based on the version that --from names, or on the
// current version without --from.
func newEdit(c *cli.Command, e *editor.Editor, doc editor.Document, section string, text []byte) configedit.Edit {
	edit := e.NewEdit(doc, section, text)
	if from := c.String("from"); from != "" {
		edit.BaseEditID = from
	}
	return edit
}

// refusedError returns the error of a refused edit, with one problem per line.
func refusedError(problems servicedoc.Problems) error {
	return command.WithExit(command.ExitSettings, errors.Errorf("the edit is refused, nothing was changed:\n%v", problems))
}

func sectionCheck(ctx context.Context, c *cli.Command) error {
	if err := requireTeam(c); err != nil {
		return err
	}
	e, doc, err := newEditor(ctx, c)
	if err != nil {
		return err
	}
	text, err := readFileArgument(c)
	if err != nil {
		return err
	}
	_, problems := configedit.Decide(doc.Base, newEdit(c, e, doc, c.Args().First(), text))
	if len(problems) > 0 {
		return refusedError(problems)
	}
	return show(c, map[string]bool{"valid": true}, func(w io.Writer) { printLine(w, "the edit would be accepted") })
}

func sectionHistory(ctx context.Context, c *cli.Command) error {
	_, doc, err := newEditor(ctx, c)
	if err != nil {
		return err
	}
	edits := []confsync.Edit{}
	for _, edit := range doc.Manifest.Edits {
		if matchesFilter(c.Args().First(), edit.Section) {
			edits = append(edits, edit)
		}
	}
	return show(c, edits, func(w io.Writer) {
		printLine(w, "GENERATION\tAT\tSECTION\tTEAM\tEDIT")
		for _, edit := range edits {
			printLine(w, "%d\t%s\t%s\t%s\t%s", edit.Generation, time.UnixMilli(edit.At).Format(time.RFC3339), edit.Section, edit.Team, edit.EditID)
		}
	})
}

func sectionText(doc editor.Document, name string) ([]byte, bool) {
	for _, s := range doc.Sections {
		if s.Name == name {
			return s.Text, true
		}
	}
	return nil, false
}

// readFileArgument reads the file that the second argument names, or standard
// input for "-".
func readFileArgument(c *cli.Command) ([]byte, error) {
	if c.Args().Get(1) == "-" {
		return io.ReadAll(os.Stdin)
	}
	text, err := os.ReadFile(c.Args().Get(1))
	if err != nil {
		return nil, command.WithExit(command.ExitSettings, errors.WithMessage(err, "cannot read the section; nothing was changed"))
	}
	return text, nil
}
