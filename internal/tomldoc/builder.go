package tomldoc

import "github.com/pelletier/go-toml/v2/unstable"

// builder adds parsed expressions to a document. It detects duplicate keys and
// redefined tables, since the library's parser does not.
type builder struct {
	doc     *Document
	current *Table
}

// keyPart is one component of a dotted key.
type keyPart struct {
	name string
	line int
}

func (b *builder) addExpression(n *unstable.Node) {
	switch n.Kind {
	case unstable.Table:
		b.addTableHeader(b.readKey(n))
	case unstable.ArrayTable:
		b.addArrayTableHeader(b.readKey(n))
	case unstable.KeyValue:
		b.addKeyValue(b.current, n, 0)
	}
}

func (b *builder) readKey(n *unstable.Node) []keyPart {
	var parts []keyPart
	for it := n.Key(); it.Next(); {
		k := it.Node()
		parts = append(parts, keyPart{name: string(k.Data), line: b.doc.lineAt(int(k.Raw.Offset))})
	}
	return parts
}

// addTableHeader makes the table of a [a.b] header the current one. After a fault
// the keys that follow are added to a table that is not part of the document, so
// that they cause no additional problems.
func (b *builder) addTableHeader(parts []keyPart) {
	last := parts[len(parts)-1]
	parent := b.descend(b.doc.root, parts)
	b.current = b.newDetachedTable(last.line)
	if parent == nil {
		return
	}
	e := parent.find(last.name)
	if e == nil {
		t := b.newTable(parent, last)
		t.defined = true
		parent.add(last.name, last.line, value{kind: unstable.InlineTable, table: t})
		b.current = t
		return
	}
	if e.value.table == nil || e.value.table.defined || e.value.table.closed {
		b.doc.report(last.line, parent.Path(last.name), "is already defined on line %d", e.line)
		return
	}
	e.value.table.defined = true
	b.current = e.value.table
}

// addArrayTableHeader appends a table to the array of a [[a.b]] header and makes
// it the current one.
func (b *builder) addArrayTableHeader(parts []keyPart) {
	last := parts[len(parts)-1]
	parent := b.descend(b.doc.root, parts)
	b.current = b.newDetachedTable(last.line)
	if parent == nil {
		return
	}
	e := parent.find(last.name)
	if e == nil {
		e = parent.add(last.name, last.line, value{kind: unstable.Array, arrayTable: true})
	}
	if !e.value.arrayTable {
		b.doc.report(last.line, parent.Path(last.name), "is already defined on line %d", e.line)
		return
	}
	t := b.newTable(parent, last)
	t.defined = true
	e.value.items = append(e.value.items, value{kind: unstable.InlineTable, table: t})
	b.current = t
}

// addKeyValue adds a key and its value to a table.
func (b *builder) addKeyValue(t *Table, n *unstable.Node, depth int) {
	parts := b.readKey(n)
	parent := b.descend(t, parts)
	if parent == nil {
		return
	}
	last := parts[len(parts)-1]
	if e := parent.find(last.name); e != nil {
		b.doc.report(last.line, parent.Path(last.name), "is already defined on line %d", e.line)
		return
	}
	if v, ok := b.buildValue(parent, last, n.Value(), depth+len(parts)); ok {
		parent.add(last.name, last.line, v)
	}
}

func (b *builder) buildValue(parent *Table, at keyPart, n *unstable.Node, depth int) (value, bool) {
	if depth > maxDepth {
		b.doc.report(at.line, parent.Path(at.name), "is nested too deeply: expected at most %d levels", maxDepth)
		return value{}, false
	}
	v := value{kind: n.Kind}
	switch n.Kind {
	case unstable.Array:
		for it := n.Children(); it.Next(); {
			item, ok := b.buildValue(parent, at, it.Node(), depth+1)
			if !ok {
				return value{}, false
			}
			v.items = append(v.items, item)
		}
	case unstable.InlineTable:
		v.table = b.newTable(parent, at)
		for it := n.Children(); it.Next(); {
			b.addKeyValue(v.table, it.Node(), depth)
		}
		v.table.closed = true
	default:
		v.text = string(n.Data)
	}
	return v, true
}

// descend returns the table that contains the last component of a key and creates
// missing tables on the path. It returns nil after a fault.
func (b *builder) descend(t *Table, parts []keyPart) *Table {
	if len(parts) > maxDepth {
		b.doc.report(parts[0].line, t.Path(parts[0].name), "is nested too deeply: expected at most %d levels", maxDepth)
		return nil
	}
	for _, part := range parts[:len(parts)-1] {
		next, definedLine := b.openTable(t, part)
		if definedLine != 0 {
			b.doc.report(part.line, t.Path(part.name), "is already defined on line %d and can't be extended", definedLine)
			return nil
		}
		t = next
	}
	return t
}

// openTable returns the table of a key of t, which it creates if the key is
// absent. If the key can't be extended, openTable returns the line of its
// definition, otherwise 0.
func (b *builder) openTable(t *Table, part keyPart) (*Table, int) {
	e := t.find(part.name)
	if e == nil {
		next := b.newTable(t, part)
		t.add(part.name, part.line, value{kind: unstable.InlineTable, table: next})
		return next, 0
	}
	next := e.value.table
	if e.value.arrayTable {
		next = e.value.items[len(e.value.items)-1].table
	}
	if next == nil || next.closed {
		return nil, e.line
	}
	return next, 0
}

func (b *builder) newTable(parent *Table, at keyPart) *Table {
	return &Table{line: at.line, path: parent.Path(at.name), doc: b.doc}
}

// newDetachedTable returns a table that is not part of the document.
func (b *builder) newDetachedTable(line int) *Table { return &Table{line: line, doc: b.doc} }
