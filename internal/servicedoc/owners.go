package servicedoc

import "strings"

// owner is a row of the owner list. The team may edit the sections that match the
// pattern: a section name, or a prefix with wildcardSuffix.
type owner struct {
	pattern, team string
}

const wildcardSuffix = ".*"

// readOwners reads the rows of an owner list. It reports invalid rows and leaves
// them out.
func readOwners(p *parsedSection) []owner {
	var out []owner
	seen := map[owner]position{}
	for _, t := range p.root.Tables("owner") {
		section, sectionOK := t.String("section")
		if sectionOK && !validPattern(section) {
			t.Report("section", `is %q: expected a section name or a prefix such as "index.*"`, section)
			sectionOK = false
		}
		team, teamOK := readName(t, "team")
		t.ReportUnknownKeys()
		o := owner{pattern: section, team: team}
		if sectionOK && teamOK && recordUnique(seen, o, p, t, "section") {
			out = append(out, o)
		}
	}
	return out
}

func validPattern(s string) bool {
	if prefix, ok := strings.CutSuffix(s, wildcardSuffix); ok {
		kind := Kind(firstComponent(prefix))
		return validName(prefix) && (kind == KindIndex || kind == KindClasses)
	}
	_, ok := KindOf(s)
	return ok
}

// specificity returns how closely the pattern matches a section, or 0 if it does
// not match. An exact name is more specific than any prefix, and also matches the
// numbered parts of its section.
func (o owner) specificity(section string) int {
	if o.pattern == section || o.pattern == baseName(section) {
		return maxNameBytes + len(o.pattern)
	}
	prefix, ok := strings.CutSuffix(o.pattern, wildcardSuffix)
	if ok && strings.HasPrefix(section, prefix+".") {
		return len(prefix)
	}
	return 0
}

func (c *checker) checkOwners(p *parsedSection) {
	rows := readOwners(p)
	for _, o := range rows {
		if o.specificity(string(KindOwners)) > 0 {
			return
		}
	}
	// Without such a row no team could edit the owner list again.
	p.root.Report("owner", "no row has section %q: expected a team that may edit the owner list", KindOwners)
}

// MayEdit reports whether the owner list among the sections allows a team to edit
// a section. The most specific pattern applies; several teams may have the same
// one. Without an owner list every team may edit, and with an owner list that
// can't be read no team may.
func MayEdit(sections []Section, section, team string) bool {
	c := newChecker()
	for _, s := range sections {
		if s.Name != string(KindOwners) {
			continue
		}
		p := c.parseSection(s)
		if p == nil {
			return false
		}
		return ownersAllow(readOwners(p), section, team)
	}
	return true
}

func ownersAllow(rows []owner, section, team string) bool {
	highest, ok := 0, false
	for _, o := range rows {
		switch s := o.specificity(section); {
		case s > highest:
			highest, ok = s, o.team == team
		case s == highest && s > 0:
			ok = ok || o.team == team
		}
	}
	return ok
}
