package main

import (
	"context"
	"fmt"
	"regexp"

	"github.com/pkg/errors"
	"github.com/urfave/cli/v3"

	"github.com/medlarswitch/medlarswitch/internal/command"
)

const zonesSection = "zones"

func zoneCommand() *cli.Command {
	return &cli.Command{
		Name: "zone", Usage: "take an availability zone out of service or bring it back",
		Commands: []*cli.Command{
			{Name: "out", Usage: "give a zone no new work", ArgsUsage: "ZONE", Action: setZone("out"), Description: "  medlarctl zone out osorno"},
			{Name: "in", Usage: "bring a zone back; its leaves warm up", ArgsUsage: "ZONE", Action: setZone("in"), Description: "  medlarctl zone in osorno"},
		},
	}
}

// setZone edits the state of one zone in the zones section and leaves the rest
// of the text, with its comments, as it is.
func setZone(state string) cli.ActionFunc {
	return func(ctx context.Context, c *cli.Command) error {
		if err := needTeam(c); err != nil {
			return err
		}
		e, doc, err := newEditor(ctx, c)
		if err != nil {
			return err
		}
		text, _ := sectionText(doc, zonesSection)
		next, err := replaceState(string(text), c.Args().First(), state)
		if err != nil {
			return command.WithExit(command.ExitFailed, err)
		}
		if next == string(text) {
			return unchanged(c, doc, fmt.Sprintf("zone %s is %s already, nothing was changed", c.Args().First(), state))
		}
		return apply(ctx, c, e, doc, e.NewEdit(doc, zonesSection, []byte(next)))
	}
}

var (
	zoneTable = regexp.MustCompile(`(?m)^\s*\[\[zone\]\]`)
	stateLine = regexp.MustCompile(`(?m)^(\s*state\s*=\s*)"[a-z]*"`)
)

func replaceState(text, zone, state string) (string, error) {
	name := regexp.MustCompile(`(?m)^\s*name\s*=\s*"` + regexp.QuoteMeta(zone) + `"`)
	starts := append(zoneTable.FindAllStringIndex(text, -1), []int{len(text), len(text)})
	for i := 0; i+1 < len(starts); i++ {
		from, to := starts[i][0], starts[i+1][0]
		if !name.MatchString(text[from:to]) {
			continue
		}
		if !stateLine.MatchString(text[from:to]) {
			return "", errors.Errorf("zone %q has no state line: edit the section with 'medlarctl section put zones'", zone)
		}
		return text[:from] + stateLine.ReplaceAllString(text[from:to], `${1}"`+state+`"`) + text[to:], nil
	}
	return "", errors.Errorf("zone %q is not in section zones, nothing was changed: see 'medlarctl section get zones'", zone)
}
