package tomldoc

// indexThreshold is the number of keys from which a table has a map of them. Below
// it a linear search is faster and needs no allocation. Above it, linear searches
// in a malicious document with very many keys would take quadratic time.
const indexThreshold = 16

// Table is a TOML table that records the lines of its keys.
type Table struct {
	line    int
	path    string
	doc     *Document
	entries []*entry
	index   map[string]*entry
	// defined is true if a header has defined the table, which a second header
	// must not do.
	defined bool
	// closed is true for an inline table, which can't be extended.
	closed bool
}

type entry struct {
	key   string
	line  int
	value value
	read  bool
}

// Line returns the line of the table's header.
func (t *Table) Line() int { return t.line }

// LineOf returns the line of a key, or that of the table if the key is absent.
func (t *Table) LineOf(key string) int {
	if e := t.find(key); e != nil {
		return e.line
	}
	return t.line
}

// Path returns the dotted path of a key of the table.
func (t *Table) Path(key string) string {
	if t.path == "" {
		return key
	}
	return t.path + "." + key
}

// Report adds a problem with a key of the table to the document.
func (t *Table) Report(key, format string, args ...any) {
	t.doc.report(t.LineOf(key), t.Path(key), format, args...)
}

func (t *Table) find(key string) *entry {
	if t.index != nil {
		return t.index[key]
	}
	for _, e := range t.entries {
		if e.key == key {
			return e
		}
	}
	return nil
}

func (t *Table) add(key string, line int, v value) *entry {
	e := &entry{key: key, line: line, value: v}
	t.entries = append(t.entries, e)
	switch {
	case t.index != nil:
		t.index[key] = e
	case len(t.entries) >= indexThreshold:
		t.index = make(map[string]*entry, 2*indexThreshold)
		for _, old := range t.entries {
			t.index[old.key] = old
		}
	}
	return e
}
