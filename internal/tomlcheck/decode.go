package tomlcheck

import (
	"encoding"
	"fmt"
	"math"
	"reflect"
	"strconv"
	"strings"

	"github.com/pelletier/go-toml/v2/unstable"
)

// Defaulter is implemented by types of array elements whose fields have defaults
// other than zero. Decode calls SetDefaults before it decodes an element.
type Defaulter interface{ SetDefaults() }

// Checker holds the positions of a document's fields and the problems found so
// far. After Decode, the calling package adds the problems of its own validation.
type Checker struct {
	file      string
	positions map[string]Position
	problems  Problems
	complete  bool
}

// Decode decodes data into the struct that out points to. Only fields with a
// `toml` tag are set. Fields that the document leaves out keep their value, so the
// caller sets defaults before the call. Syntax errors, duplicates, unknown fields
// and values of a wrong type become problems of the returned Checker.
func Decode(file string, data []byte, out any) *Checker {
	b := parseTree(file, data)
	c := &Checker{file: file, positions: map[string]Position{}, problems: b.problems, complete: b.complete}
	c.table("", b.root, reflect.ValueOf(out).Elem())
	return c
}

// Complete reports whether the document was parsed to its end. After a syntax
// error it was not, so that checks for missing fields would report false problems.
func (c *Checker) Complete() bool { return c.complete }

// Has reports whether the document sets the field with the path.
func (c *Checker) Has(field string) bool {
	_, ok := c.positions[field]
	return ok
}

// Position returns the position of a field. If the document does not set the
// field, it returns that of the closest parent or, without one, the start of the
// file.
func (c *Checker) Position(field string) Position {
	for field != "" {
		if p, ok := c.positions[field]; ok {
			return p
		}
		field = field[:max(0, strings.LastIndexAny(field, ".["))]
	}
	return Position{File: c.file, Line: 1, Column: 1}
}

// Add records a problem at the position of a field.
func (c *Checker) Add(field, format string, args ...any) {
	c.Suggest(field, "", format, args...)
}

// Suggest is like Add with the name that was probably meant; suggestion may be
// empty.
func (c *Checker) Suggest(field, suggestion, format string, args ...any) {
	c.AddProblem(Problem{Position: c.Position(field), Field: field, Message: fmt.Sprintf(format, args...), Suggestion: suggestion})
}

// AddProblem records a problem that already has its position.
func (c *Checker) AddProblem(p Problem) { c.problems = append(c.problems, p) }

// Err returns all problems as an error of type Problems, or nil if there are
// none.
func (c *Checker) Err() error { return c.problems.Err() }

func join(path, name string) string {
	if path == "" {
		return name
	}
	return path + "." + name
}

// fieldsByTag returns the index of each struct field by its TOML name, and the
// TOML names in the order of the fields.
func fieldsByTag(t reflect.Type) (map[string]int, []string) {
	m := map[string]int{}
	var names []string
	for i := range t.NumField() {
		if tag := t.Field(i).Tag.Get("toml"); tag != "" && tag != "-" {
			m[tag] = i
			names = append(names, tag)
		}
	}
	return m, names
}

func (c *Checker) table(path string, n *node, out reflect.Value) {
	fields, known := fieldsByTag(out.Type())
	for _, name := range n.names {
		child, field := n.fields[name], join(path, name)
		i, ok := fields[name]
		if !ok {
			c.AddProblem(Problem{Position: child.keyPos, Field: field, Message: "unknown field", Suggestion: Nearest(name, known)})
			continue
		}
		c.value(field, child, out.Field(i))
	}
}

func (c *Checker) value(field string, n *node, out reflect.Value) {
	c.positions[field] = n.pos
	if out.Kind() == reflect.Pointer {
		out.Set(reflect.New(out.Type().Elem()))
		out = out.Elem()
	}
	if u, ok := out.Addr().Interface().(encoding.TextUnmarshaler); ok {
		c.text(field, n, u)
		return
	}
	switch out.Kind() {
	case reflect.Struct:
		if !n.isTable() {
			c.Add(field, "must be a table")
			return
		}
		c.table(field, n, out)
	case reflect.Slice:
		c.slice(field, n, out)
	default:
		c.scalar(field, n, out)
	}
}

func (c *Checker) slice(field string, n *node, out reflect.Value) {
	if !n.isArray() {
		c.Add(field, "must be an array")
		return
	}
	items := reflect.MakeSlice(out.Type(), len(n.items), len(n.items))
	for i, item := range n.items {
		if d, ok := items.Index(i).Addr().Interface().(Defaulter); ok {
			d.SetDefaults()
		}
		c.value(field+"["+strconv.Itoa(i)+"]", item, items.Index(i))
	}
	out.Set(items)
}

// text decodes types that implement encoding.TextUnmarshaler. It accepts integers
// as well as strings and passes on their digits.
func (c *Checker) text(field string, n *node, u encoding.TextUnmarshaler) {
	if n.shape != scalar || (n.kind != unstable.String && n.kind != unstable.Integer) {
		c.Add(field, "must be a string")
		return
	}
	if err := u.UnmarshalText([]byte(n.text)); err != nil {
		c.Add(field, "%s", err.Error())
	}
}

func (c *Checker) scalar(field string, n *node, out reflect.Value) {
	if n.shape != scalar {
		c.Add(field, "must be a single value")
		return
	}
	switch out.Kind() {
	case reflect.String:
		if n.kind != unstable.String {
			c.Add(field, "must be a string in quotes")
			return
		}
		out.SetString(n.text)
	case reflect.Bool:
		if n.kind != unstable.Bool {
			c.Add(field, "must be true or false")
			return
		}
		out.SetBool(n.text == "true")
	case reflect.Int, reflect.Int64:
		c.integer(field, n, out)
	case reflect.Float64:
		c.float(field, n, out)
	default:
		c.Add(field, "has a type that the decoder does not support")
	}
}

func (c *Checker) integer(field string, n *node, out reflect.Value) {
	if n.kind != unstable.Integer {
		c.Add(field, "must be a whole number")
		return
	}
	v, err := strconv.ParseInt(strings.TrimPrefix(n.text, "+"), 0, 64)
	if err != nil {
		c.Add(field, "%s is out of range", n.text)
		return
	}
	out.SetInt(v)
}

func (c *Checker) float(field string, n *node, out reflect.Value) {
	if n.kind != unstable.Integer && n.kind != unstable.Float {
		c.Add(field, "must be a number")
		return
	}
	v, err := strconv.ParseFloat(strings.ReplaceAll(n.text, "_", ""), 64)
	if err != nil || math.IsNaN(v) || math.IsInf(v, 0) {
		c.Add(field, "%s is not a finite number", n.text)
		return
	}
	out.SetFloat(v)
}

// NewChecker returns a Checker without a document, for checks of values that were
// decoded before. Its problems have the position of the start of the file.
func NewChecker(file string) *Checker {
	return &Checker{file: file, positions: map[string]Position{}, complete: true}
}
