package tomldoc

// indexFrom is the number of keys from which a table keeps a map: below it a
// scan is faster and allocates nothing, above it a hostile document with very
// many keys would take quadratic time.
const indexFrom = 16

// Table is a TOML table with the lines of its keys.
type Table struct {
	line    int
	path    string
	doc     *Document
	entries []*entry
	index   map[string]*entry
	// defined reports that a header named the table.
	defined bool
	// closed reports an inline table, which nothing may extend.
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

// LineOf returns the line of a key, or the table's when the key is absent.
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

// Report adds a problem at a key of the table.
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
	case len(t.entries) >= indexFrom:
		t.index = make(map[string]*entry, 2*indexFrom)
		for _, old := range t.entries {
			t.index[old.key] = old
		}
	}
	return e
}
