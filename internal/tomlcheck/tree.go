package tomlcheck

import (
	"sort"
	"strings"

	"github.com/juju/errors"
	"github.com/pelletier/go-toml/v2/unstable"
)

// shape is the syntax that defined a node. It decides whether later expressions
// may extend the node (TOML v1.0, sections Table and Inline Table).
type shape uint8

const (
	scalar     shape = iota
	implicit         // table that appears only as a parent in a header
	header           // table with a header of its own
	dotted           // table defined by a dotted key
	inline           // inline table; must not be extended
	valueArray       // array value; must not be extended
	tableArray       // array of tables
)

// node is a value of the document with its position.
type node struct {
	shape shape
	kind  unstable.Kind // of scalars
	text  string        // of scalars: decoded value as text
	// pos is the position of a scalar value. Arrays and inline tables have the
	// position of their key, because the parser does not provide their range.
	pos    Position
	keyPos Position
	names  []string // of tables, in order of appearance
	fields map[string]*node
	items  []*node // of arrays
}

func newTable(s shape, pos Position) *node {
	return &node{shape: s, pos: pos, keyPos: pos, fields: map[string]*node{}}
}

func (n *node) isTable() bool { return n.shape >= implicit && n.shape <= inline }

func (n *node) isArray() bool { return n.shape == valueArray || n.shape == tableArray }

func (n *node) add(name string, child *node) {
	n.names = append(n.names, name)
	n.fields[name] = child
}

// builder builds a tree from the expressions of a document. It records syntax
// errors and invalid redefinitions as problems.
type builder struct {
	file     string
	parser   unstable.Parser
	newlines []int // offsets of '\n', ascending
	root     *node
	current  *node // table that receives key-value pairs; nil after an invalid header
	problems Problems
	complete bool // no syntax error was found
}

func parseTree(file string, data []byte) *builder {
	b := &builder{file: file, complete: true}
	for i, c := range data {
		if c == '\n' {
			b.newlines = append(b.newlines, i)
		}
	}
	b.root = newTable(header, Position{File: file, Line: 1, Column: 1})
	b.current = b.root
	// The parser derives offsets from slice capacities, so the capacity must
	// equal the length.
	b.parser.Reset(data[:len(data):len(data)])
	for b.parser.NextExpression() {
		b.expression(b.parser.Expression())
	}
	if err := b.parser.Error(); err != nil {
		b.syntaxError(err)
	}
	return b
}

func (b *builder) syntaxError(err error) {
	b.complete = false
	pos := Position{File: b.file, Line: 1, Column: 1}
	var perr *unstable.ParserError
	if errors.As(err, &perr) && perr.Highlight != nil {
		pos = b.position(b.parser.Range(perr.Highlight).Offset)
	}
	b.problems = append(b.problems, Problem{Position: pos, Message: "not valid TOML: " + err.Error() + "; the rest of the document was not checked"})
}

func (b *builder) position(offset uint32) Position {
	line := sort.SearchInts(b.newlines, int(offset))
	start := 0
	if line > 0 {
		start = b.newlines[line-1] + 1
	}
	return Position{File: b.file, Line: line + 1, Column: int(offset) - start + 1}
}

func (b *builder) addProblem(pos Position, path []string, message string) {
	b.problems = append(b.problems, Problem{Position: pos, Field: strings.Join(path, "."), Message: message})
}

// keyPart is one part of a dotted key, with its position.
type keyPart struct {
	name string
	pos  Position
}

func (b *builder) key(n *unstable.Node) []keyPart {
	var parts []keyPart
	for it := n.Key(); it.Next(); {
		k := it.Node()
		parts = append(parts, keyPart{string(k.Data), b.position(k.Raw.Offset)})
	}
	return parts
}

func partNames(parts []keyPart) []string {
	out := make([]string, len(parts))
	for i, p := range parts {
		out[i] = p.name
	}
	return out
}

func (b *builder) expression(n *unstable.Node) {
	switch n.Kind {
	case unstable.Table:
		b.current = b.openTable(b.key(n))
	case unstable.ArrayTable:
		b.current = b.openArrayTable(b.key(n))
	case unstable.KeyValue:
		if b.current != nil {
			b.keyValue(b.current, n)
		}
	}
}

// walkHeader returns the table that contains the last part of a header, and creates
// missing parents. It returns nil and records a problem if a parent is not a table
// that a header may extend.
func (b *builder) walkHeader(parts []keyPart) *node {
	t := b.root
	for i, p := range parts[:len(parts)-1] {
		child := t.fields[p.name]
		switch {
		case child == nil:
			child = newTable(implicit, p.pos)
			t.add(p.name, child)
		case child.shape == tableArray:
			child = child.items[len(child.items)-1]
		case !child.isTable() || child.shape == inline:
			b.addProblem(p.pos, partNames(parts[:i+1]), "already defined as a value and cannot be a table")
			return nil
		}
		t = child
	}
	return t
}

func (b *builder) openTable(parts []keyPart) *node {
	t := b.walkHeader(parts)
	if t == nil {
		return nil
	}
	last := parts[len(parts)-1]
	child := t.fields[last.name]
	switch {
	case child == nil:
		child = newTable(header, last.pos)
		t.add(last.name, child)
	case child.shape == implicit:
		child.shape = header
	default:
		b.addProblem(last.pos, partNames(parts), "defined twice")
		return nil
	}
	return child
}

func (b *builder) openArrayTable(parts []keyPart) *node {
	t := b.walkHeader(parts)
	if t == nil {
		return nil
	}
	last := parts[len(parts)-1]
	array := t.fields[last.name]
	if array == nil {
		array = &node{shape: tableArray, pos: last.pos, keyPos: last.pos}
		t.add(last.name, array)
	}
	if array.shape != tableArray {
		b.addProblem(last.pos, partNames(parts), "already defined and cannot be an array of tables")
		return nil
	}
	item := newTable(header, last.pos)
	array.items = append(array.items, item)
	return item
}

func (b *builder) keyValue(t *node, n *unstable.Node) {
	parts := b.key(n)
	for i, p := range parts[:len(parts)-1] {
		child := t.fields[p.name]
		if child == nil {
			child = newTable(dotted, p.pos)
			t.add(p.name, child)
		}
		if child.shape != dotted {
			b.addProblem(p.pos, partNames(parts[:i+1]), "already defined and cannot be extended by a dotted key")
			return
		}
		t = child
	}
	last := parts[len(parts)-1]
	if t.fields[last.name] != nil {
		b.addProblem(last.pos, partNames(parts), "defined twice")
		return
	}
	t.add(last.name, b.value(n.Value(), last.pos))
}

func (b *builder) value(n *unstable.Node, keyPos Position) *node {
	pos := keyPos
	if n.Raw.Length > 0 {
		pos = b.position(n.Raw.Offset)
	}
	switch n.Kind {
	case unstable.Array:
		array := &node{shape: valueArray, pos: pos, keyPos: keyPos}
		for it := n.Children(); it.Next(); {
			array.items = append(array.items, b.value(it.Node(), pos))
		}
		return array
	case unstable.InlineTable:
		table := newTable(dotted, pos)
		for it := n.Children(); it.Next(); {
			b.keyValue(table, it.Node())
		}
		closeInline(table)
		table.keyPos = keyPos
		return table
	}
	return &node{shape: scalar, kind: n.Kind, text: string(n.Data), pos: pos, keyPos: keyPos}
}

// closeInline marks an inline table and the dotted tables inside it as inline, so
// that later expressions cannot extend them.
func closeInline(n *node) {
	if n.shape == dotted {
		n.shape = inline
	}
	for _, child := range n.fields {
		closeInline(child)
	}
}
