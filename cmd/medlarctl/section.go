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
	"github.com/medlarswitch/medlarswitch/internal/editor"
	"github.com/medlarswitch/medlarswitch/internal/servicedoc"
)

func sectionCommand() *cli.Command {
	return &cli.Command{
		Name: "section", Usage: "read and edit the sections of the service document",
		Commands: []*cli.Command{
			{Name: "list", Usage: "list the sections with their versions", Action: sectionList},
			{Name: "get", Usage: "print a section", ArgsUsage: "SECTION", Action: sectionGet},
			{Name: "put", Usage: "replace a section with a file, - for standard input", ArgsUsage: "SECTION FILE", Action: sectionPut},
			{Name: "check", Usage: "check the whole document with a section replaced, without editing it", ArgsUsage: "SECTION FILE", Action: sectionCheck},
			{Name: "diff", Usage: "show the lines in which a file differs from a section", ArgsUsage: "SECTION FILE", Action: sectionDiff},
			{Name: "history", Usage: "list the last accepted edits", ArgsUsage: "[SECTION]", Action: sectionHistory},
		},
	}
}

// newEditor returns the editor and the current document.
func newEditor(ctx context.Context, c *cli.Command) (*editor.Editor, editor.Document, error) {
	client, err := newPlatform(c)
	if err != nil {
		return nil, editor.Document{}, err
	}
	e := editor.New(client, c.String("team"))
	doc, err := e.Read(ctx)
	return e, doc, err
}

func sectionList(ctx context.Context, c *cli.Command) error {
	_, doc, err := newEditor(ctx, c)
	if err != nil {
		return err
	}
	return show(c, doc.Manifest, func(w io.Writer) {
		line(w, "generation\t%d", doc.Manifest.Generation)
		for i, ref := range doc.Manifest.Sections {
			line(w, "%s\t%s\t%d bytes", ref.Name, ref.EditID, len(doc.Sections[i].Text))
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
	_, err = os.Stdout.Write(text)
	return err
}

func sectionPut(ctx context.Context, c *cli.Command) error {
	e, doc, err := newEditor(ctx, c)
	if err != nil {
		return err
	}
	text, err := readArg(c)
	if err != nil {
		return err
	}
	return apply(ctx, c, e, doc, c.Args().First(), text)
}

// apply makes an edit and reports what became of it.
func apply(ctx context.Context, c *cli.Command, e *editor.Editor, doc editor.Document, section string, text []byte) error {
	edit := e.NewEdit(doc, section, text)
	generation, err := e.Apply(ctx, doc, edit)
	var problems servicedoc.Problems
	if errors.As(err, &problems) {
		return command.WithExit(command.ExitSettings, err)
	}
	if err != nil {
		return command.WithExit(command.ExitFailed, err)
	}
	accepted := struct {
		Section    string `json:"section"`
		EditID     string `json:"edit_id"`
		Generation uint64 `json:"generation"`
	}{section, edit.ID, generation}
	return show(c, accepted, func(w io.Writer) {
		line(w, "accepted: section %s, edit %s, generation %d", section, edit.ID, generation)
	})
}

func sectionCheck(ctx context.Context, c *cli.Command) error {
	e, doc, err := newEditor(ctx, c)
	if err != nil {
		return err
	}
	text, err := readArg(c)
	if err != nil {
		return err
	}
	_, problems := configedit.Decide(doc.Base, e.NewEdit(doc, c.Args().First(), text))
	if len(problems) > 0 {
		return command.WithExit(command.ExitSettings, problems)
	}
	return show(c, map[string]bool{"valid": true}, func(w io.Writer) { line(w, "the edit would be accepted") })
}

func sectionHistory(ctx context.Context, c *cli.Command) error {
	_, doc, err := newEditor(ctx, c)
	if err != nil {
		return err
	}
	return show(c, doc.Manifest.Edits, func(w io.Writer) {
		line(w, "GENERATION\tAT\tSECTION\tTEAM\tEDIT")
		for _, edit := range doc.Manifest.Edits {
			if wanted(c.Args().First(), edit.Section) {
				line(w, "%d\t%s\t%s\t%s\t%s", edit.Generation, time.UnixMilli(edit.At).Format(time.RFC3339), edit.Section, edit.Team, edit.EditID)
			}
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

// readArg reads the file that the second argument names.
func readArg(c *cli.Command) ([]byte, error) {
	if c.Args().Len() != 2 {
		return nil, command.WithExit(command.ExitUsage, errors.New("expected SECTION and FILE"))
	}
	if c.Args().Get(1) == "-" {
		return io.ReadAll(os.Stdin)
	}
	return os.ReadFile(c.Args().Get(1))
}
