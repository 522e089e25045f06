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
			{Name: "out", Usage: "send no new work to a zone", ArgsUsage: "ZONE", Action: setZone("out"), Description: "  medlarctl zone out osorno"},
			{Name: "in", Usage: "bring a zone back; its leaves warm up", ArgsUsage: "ZONE", Action: setZone("in"), Description: "  medlarctl zone in osorno"},
		},
	}
}

// setZone returns an action that changes the state of one zone in the zones
// section and keeps the rest of the text, including its comments.
func setZone(state string) cli.ActionFunc {
	return func(ctx context.Context, c *cli.Command) error {
		if err := requireTeam(c); err != nil {
			return err
		}
		e, doc, err := newEditor(ctx, c)
		if err != nil {
			return err
		}
		text, _ := sectionText(doc, zonesSection)
		newText, err := replaceState(string(text), c.Args().First(), state)
		if err != nil {
			return command.WithExit(command.ExitFailed, err)
		}
		if newText == string(text) {
			return printUnchanged(c, doc, fmt.Sprintf("zone %s is %s already, nothing was changed", c.Args().First(), state))
		}
		return applyEdit(ctx, c, e, doc, e.NewEdit(doc, zonesSection, []byte(newText)))
	}
}

var (
	zoneTableHeader = regexp.MustCompile(`(?m)^\s*\[\[zone\]\]`)
	stateLine       = regexp.MustCompile(`(?m)^(\s*state\s*=\s*)"[a-z]*"`)
)

// replaceState returns the text of the zones section with the state of one zone
// replaced.
func replaceState(text, zone, state string) (string, error) {
	nameLine := regexp.MustCompile(`(?m)^\s*name\s*=\s*"` + regexp.QuoteMeta(zone) + `"`)
	starts := append(zoneTableHeader.FindAllStringIndex(text, -1), []int{len(text), len(text)})
	for i := 0; i+1 < len(starts); i++ {
		from, to := starts[i][0], starts[i+1][0]
		if !nameLine.MatchString(text[from:to]) {
			continue
		}
		if !stateLine.MatchString(text[from:to]) {
			return "", errors.Errorf("zone %q has no state line: edit the section with 'medlarctl section put zones'", zone)
		}
		return text[:from] + stateLine.ReplaceAllString(text[from:to], `${1}"`+state+`"`) + text[to:], nil
	}
	return "", errors.Errorf("zone %q is not in section zones, nothing was changed: see 'medlarctl section get zones'", zone)
}
