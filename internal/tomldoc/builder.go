package tomldoc

import "github.com/pelletier/go-toml/v2/unstable"

// builder adds parsed expressions to a document. The library's parser leaves
// duplicate keys and redefined tables to its caller.
type builder struct {
	doc     *Document
	current *Table
}

type keyPart struct {
	name string
	line int
}

func (b *builder) expression(n *unstable.Node) {
	switch n.Kind {
	case unstable.Table:
		b.header(b.key(n))
	case unstable.ArrayTable:
		b.arrayHeader(b.key(n))
	case unstable.KeyValue:
		b.keyValue(b.current, n, 0)
	}
}

func (b *builder) key(n *unstable.Node) []keyPart {
	var parts []keyPart
	for it := n.Key(); it.Next(); {
		k := it.Node()
		parts = append(parts, keyPart{name: string(k.Data), line: b.doc.lineAt(int(k.Raw.Offset))})
	}
	return parts
}

// header enters [a.b]. After a fault the keys that follow go to a table that
// nothing reads, so that they cause no further problems.
func (b *builder) header(parts []keyPart) {
	last := parts[len(parts)-1]
	parent := b.descend(b.doc.root, parts)
	b.current = b.detached(last.line)
	if parent == nil {
		return
	}
	e := parent.find(last.name)
	if e == nil {
		t := b.child(parent, last)
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

// arrayHeader enters a new element of [[a.b]].
func (b *builder) arrayHeader(parts []keyPart) {
	last := parts[len(parts)-1]
	parent := b.descend(b.doc.root, parts)
	b.current = b.detached(last.line)
	if parent == nil {
		return
	}
	e := parent.find(last.name)
	if e == nil {
		e = parent.add(last.name, last.line, value{kind: unstable.Array, headers: true})
	}
	if !e.value.headers {
		b.doc.report(last.line, parent.Path(last.name), "is already defined on line %d", e.line)
		return
	}
	t := b.child(parent, last)
	t.defined = true
	e.value.items = append(e.value.items, value{kind: unstable.InlineTable, table: t})
	b.current = t
}

// keyValue adds one key of a table.
func (b *builder) keyValue(t *Table, n *unstable.Node, depth int) {
	parts := b.key(n)
	parent := b.descend(t, parts)
	if parent == nil {
		return
	}
	last := parts[len(parts)-1]
	if e := parent.find(last.name); e != nil {
		b.doc.report(last.line, parent.Path(last.name), "is already defined on line %d", e.line)
		return
	}
	if v, ok := b.value(parent, last, n.Value(), depth+len(parts)); ok {
		parent.add(last.name, last.line, v)
	}
}

func (b *builder) value(parent *Table, at keyPart, n *unstable.Node, depth int) (value, bool) {
	if depth > maxDepth {
		b.doc.report(at.line, parent.Path(at.name), "is nested too deeply: expected at most %d levels", maxDepth)
		return value{}, false
	}
	v := value{kind: n.Kind}
	switch n.Kind {
	case unstable.Array:
		for it := n.Children(); it.Next(); {
			item, ok := b.value(parent, at, it.Node(), depth+1)
			if !ok {
				return value{}, false
			}
			v.items = append(v.items, item)
		}
	case unstable.InlineTable:
		v.table = b.child(parent, at)
		for it := n.Children(); it.Next(); {
			b.keyValue(v.table, it.Node(), depth)
		}
		v.table.closed = true
	default:
		v.text = string(n.Data)
	}
	return v, true
}

// descend returns the table that holds the last part of a key, creating the
// tables on the way, or nil after a fault.
func (b *builder) descend(t *Table, parts []keyPart) *Table {
	if len(parts) > maxDepth {
		b.doc.report(parts[0].line, t.Path(parts[0].name), "is nested too deeply: expected at most %d levels", maxDepth)
		return nil
	}
	for _, part := range parts[:len(parts)-1] {
		next, fault := b.enter(t, part)
		if fault != 0 {
			b.doc.report(part.line, t.Path(part.name), "is already defined on line %d and can't be extended", fault)
			return nil
		}
		t = next
	}
	return t
}

// enter returns a table below t, or the line of what stands in its place.
func (b *builder) enter(t *Table, part keyPart) (*Table, int) {
	e := t.find(part.name)
	if e == nil {
		next := b.child(t, part)
		t.add(part.name, part.line, value{kind: unstable.InlineTable, table: next})
		return next, 0
	}
	next := e.value.table
	if e.value.headers {
		next = e.value.items[len(e.value.items)-1].table
	}
	if next == nil || next.closed {
		return nil, e.line
	}
	return next, 0
}

func (b *builder) child(parent *Table, at keyPart) *Table {
	return &Table{line: at.line, path: parent.Path(at.name), doc: b.doc}
}

func (b *builder) detached(line int) *Table { return &Table{line: line, doc: b.doc} }
