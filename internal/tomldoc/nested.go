package tomldoc

import "github.com/pelletier/go-toml/v2/unstable"

// Table returns the value of a required key, a table.
func (t *Table) Table(key string) (*Table, bool) {
	if _, ok := t.require(key, unstable.InlineTable, expectedText("a table")); !ok {
		return nil, false
	}
	return t.find(key).value.table, true
}

// Tables returns the elements of a required key, an array of at least one table.
func (t *Table) Tables(key string) []*Table {
	const expected = expectedText("an array of at least one table")
	if _, ok := t.require(key, unstable.Array, expected); !ok {
		return nil
	}
	items := t.find(key).value.items
	if len(items) == 0 {
		t.Report(key, "is empty: expected %s", expected)
	}
	tables := make([]*Table, 0, len(items))
	for _, item := range items {
		if item.table == nil {
			t.Report(key, "holds %s: expected %s", item.kindName(), expected)
			continue
		}
		tables = append(tables, item.table)
	}
	return tables
}

// Strings returns the elements of a required key, an array of strings. The array
// may be empty.
func (t *Table) Strings(key string) []string {
	const expected = expectedText("an array of strings")
	if _, ok := t.require(key, unstable.Array, expected); !ok {
		return nil
	}
	var out []string
	for _, item := range t.find(key).value.items {
		if item.kind != unstable.String {
			t.Report(key, "holds %s: expected %s", item.kindName(), expected)
			continue
		}
		out = append(out, item.text)
	}
	return out
}
