package servicedoc

import "strings"

// owner lets a team edit the sections that match a pattern.
type owner struct {
	pattern, team string
}

const anySuffix = ".*"

// readOwners reads the rows of an owner list; faulty rows are reported and
// left out.
func readOwners(p *parsed) []owner {
	var out []owner
	seen := map[owner]place{}
	for _, t := range p.root.Tables("owner") {
		section, sectionOK := t.String("section")
		if sectionOK && !validPattern(section) {
			t.Report("section", `is %q: expected a section name or a prefix such as "index.*"`, section)
			sectionOK = false
		}
		team, teamOK := name(t, "team")
		t.ReportUnknownKeys()
		o := owner{pattern: section, team: team}
		if sectionOK && teamOK && unique(seen, o, p, t, "section") {
			out = append(out, o)
		}
	}
	return out
}

func validPattern(s string) bool {
	if prefix, ok := strings.CutSuffix(s, anySuffix); ok {
		kind := Kind(firstPart(prefix))
		return validName(prefix) && (kind == KindIndex || kind == KindClasses)
	}
	_, ok := KindOf(s)
	return ok
}

// matches returns how specific the match is: 0 for none. An exact name goes
// before any prefix, and covers the numbered parts of its section.
func (o owner) matches(section string) int {
	if o.pattern == section || o.pattern == base(section) {
		return maxNameBytes + len(o.pattern)
	}
	prefix, ok := strings.CutSuffix(o.pattern, anySuffix)
	if ok && strings.HasPrefix(section, prefix+".") {
		return len(prefix)
	}
	return 0
}

func (c *checker) owners(p *parsed) {
	rows := readOwners(p)
	for _, o := range rows {
		if o.matches(string(KindOwners)) > 0 {
			return
		}
	}
	// Without such a row nobody could ever correct the list.
	p.root.Report("owner", "no row has section %q: expected a team that may edit the owner list", KindOwners)
}

// MayEdit reports whether a team may edit a section under the owner list among
// the sections. The most specific pattern decides, and may be given to several
// teams. While there is no owner list, every team may edit; with a list that
// can't be read, none may.
func MayEdit(sections []Section, section, team string) bool {
	c := newChecker()
	for _, s := range sections {
		if s.Name != string(KindOwners) {
			continue
		}
		p := c.parseOne(s)
		if p == nil {
			return false
		}
		return allowed(readOwners(p), section, team)
	}
	return true
}

func allowed(rows []owner, section, team string) bool {
	best, ok := 0, false
	for _, o := range rows {
		switch m := o.matches(section); {
		case m > best:
			best, ok = m, o.team == team
		case m == best && m > 0:
			ok = ok || o.team == team
		}
	}
	return ok
}
