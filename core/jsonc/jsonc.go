// Package jsonc reads JSON with comments strictly and reports every fault at
// once, each with its line, column, field and remedy. It serves the estate
// text and the process settings, so that both have errors of one quality.
package jsonc

import (
	"bytes"
	"fmt"
	"maps"
	"slices"
	"sort"
	"strconv"
	"strings"
	"time"
	"unicode/utf8"

	"github.com/tailscale/hujson"
)

const (
	// MaxBytes is the largest text accepted, in bytes.
	MaxBytes = 4 << 20
	// maxDepth bounds nesting: the library's parser recurses, so without a
	// bound a text of brackets alone would exhaust the stack and end the process.
	maxDepth = 32
	// MaxProblems bounds a report; a text with more faults is cut off there.
	MaxProblems = 50
)

// Problem is one fault in a text. Line and Column count from 1, in bytes.
type Problem struct {
	Line, Column int
	Field        string
	Message      string
	Remedy       string
}

// String renders the problem on one line.
func (p Problem) String() string {
	where := fmt.Sprintf("line %d, column %d", p.Line, p.Column)
	if p.Field != "" {
		where += ", field " + p.Field
	}
	return fmt.Sprintf("%s: %s; %s", where, p.Message, p.Remedy)
}

// Reader collects the problems of one text while its values are read.
type Reader struct {
	text     []byte
	problems []Problem
}

// Node is a value with the path that leads to it.
type Node struct {
	reader *Reader
	value  *hujson.Value
	path   string
}

// Open parses text. The Node is usable only when no problem is reported.
func Open(text []byte) (*Reader, Node) {
	r := &Reader{text: text}
	if !r.sane() {
		return r, Node{reader: r}
	}
	value, err := hujson.Parse(text)
	if err != nil {
		r.syntax(err)
		return r, Node{reader: r}
	}
	return r, Node{reader: r, value: &value}
}

// Problems returns the faults found so far, in order of their place.
func (r *Reader) Problems() []Problem {
	sort.SliceStable(r.problems, func(i, j int) bool {
		a, b := r.problems[i], r.problems[j]
		if a.Line != b.Line {
			return a.Line < b.Line
		}
		return a.Column < b.Column
	})
	if len(r.problems) > MaxProblems {
		return r.problems[:MaxProblems]
	}
	return r.problems
}

func (r *Reader) sane() bool {
	if len(r.text) > MaxBytes {
		r.at(0, "", fmt.Sprintf("the text has %d bytes, more than the %d allowed", len(r.text), MaxBytes), "split it into one text per institution")
		return false
	}
	if !utf8.Valid(r.text) {
		r.at(invalidUTF8(r.text), "", "the text is not valid UTF-8", "save the file as UTF-8")
		return false
	}
	if at, deep := tooDeep(r.text); deep {
		r.at(at, "", fmt.Sprintf("values are nested more than %d deep", maxDepth), "flatten the text; no field needs this depth")
		return false
	}
	return true
}

func (r *Reader) syntax(err error) {
	p := Problem{Line: 1, Column: 1, Message: err.Error(), Remedy: "correct the syntax (JSON with comments and trailing commas)"}
	var line, column int
	if _, scanErr := fmt.Sscanf(err.Error(), "hujson: line %d, column %d:", &line, &column); scanErr == nil {
		p.Line, p.Column = line, column
		if _, rest, ok := strings.Cut(err.Error(), "column "+strconv.Itoa(column)+": "); ok {
			p.Message = rest
		}
	}
	r.problems = append(r.problems, p)
}

func (r *Reader) at(offset int, field, message, remedy string) {
	line, column := position(r.text, offset)
	r.problems = append(r.problems, Problem{line, column, field, message, remedy})
}

func position(text []byte, offset int) (line, column int) {
	offset = min(offset, len(text))
	line, column = 1, 1
	for _, c := range text[:offset] {
		column++
		if c == '\n' {
			line, column = line+1, 1
		}
	}
	return line, column
}

func invalidUTF8(text []byte) int {
	for i := 0; i < len(text); {
		r, size := utf8.DecodeRune(text[i:])
		if r == utf8.RuneError && size == 1 {
			return i
		}
		i += size
	}
	return len(text)
}

// tooDeep scans brackets outside strings and comments.
func tooDeep(text []byte) (offset int, deep bool) {
	depth := 0
	for i := 0; i < len(text); i++ {
		switch c := text[i]; {
		case c == '"':
			i = skipString(text, i)
		case c == '/' && i+1 < len(text):
			i = skipComment(text, i)
		case c == '{' || c == '[':
			if depth++; depth > maxDepth {
				return i, true
			}
		case c == '}' || c == ']':
			depth--
		}
	}
	return 0, false
}

func skipString(text []byte, i int) int {
	for i++; i < len(text) && text[i] != '"'; i++ {
		if text[i] == '\\' {
			i++
		}
	}
	return i
}

func skipComment(text []byte, i int) int {
	rest := text[i:]
	switch {
	case bytes.HasPrefix(rest, []byte("//")):
		if n := bytes.IndexByte(rest, '\n'); n >= 0 {
			return i + n
		}
		return len(text)
	case bytes.HasPrefix(rest, []byte("/*")):
		if n := bytes.Index(rest[2:], []byte("*/")); n >= 0 {
			return i + n + 3
		}
		return len(text)
	}
	return i
}

// Fail reports a fault at the node.
func (n Node) Fail(message, remedy string) {
	offset := 0
	if n.value != nil {
		offset = n.value.StartOffset
	}
	n.reader.at(offset, n.path, message, remedy)
}

// Path returns the field's path, such as "services.snag-list.slots".
func (n Node) Path() string { return n.path }

// Member is one name and value of an object, in the text's order.
type Member struct {
	Name  string
	Key   Node
	Value Node
}

// Members returns an object's members; a name that stands twice is a fault.
func (n Node) Members() []Member {
	if n.value == nil {
		return nil
	}
	object, ok := n.value.Value.(*hujson.Object)
	if !ok {
		n.Fail("expected an object", "write { … }")
		return nil
	}
	seen := map[string]bool{}
	members := make([]Member, 0, len(object.Members))
	for i := range object.Members {
		m := &object.Members[i]
		name := literal(m.Name).String()
		path := name
		if n.path != "" {
			path = n.path + "." + name
		}
		key := Node{n.reader, &m.Name, path}
		if seen[name] {
			key.Fail(fmt.Sprintf("%q stands twice", name), "keep one of the two")
			continue
		}
		seen[name] = true
		members = append(members, Member{name, key, Node{n.reader, &m.Value, path}})
	}
	return members
}

func literal(v hujson.Value) hujson.Literal {
	l, _ := v.Value.(hujson.Literal)
	return l
}

// Object reads an object whose fields are known; any other name is a fault.
// A name in required that is missing is a fault too.
func (n Node) Object(fields map[string]func(Node), required ...string) {
	present := map[string]bool{}
	for _, m := range n.Members() {
		read, known := fields[m.Name]
		if !known {
			m.Key.Fail(fmt.Sprintf("unknown field %q", m.Name), "known fields here: "+strings.Join(slices.Sorted(maps.Keys(fields)), ", "))
			continue
		}
		present[m.Name] = true
		read(m.Value)
	}
	if n.value == nil {
		return
	}
	for _, name := range required {
		if !present[name] {
			n.Fail(fmt.Sprintf("field %q is missing", name), "add it")
		}
	}
}

// Elements returns an array's elements.
func (n Node) Elements() []Node {
	if n.value == nil {
		return nil
	}
	array, ok := n.value.Value.(*hujson.Array)
	if !ok {
		n.Fail("expected a list", "write [ … ]")
		return nil
	}
	nodes := make([]Node, len(array.Elements))
	for i := range array.Elements {
		nodes[i] = Node{n.reader, &array.Elements[i], fmt.Sprintf("%s[%d]", n.path, i)}
	}
	return nodes
}

// String reads a string.
func (n Node) String() string {
	if n.value == nil {
		return ""
	}
	l, ok := n.value.Value.(hujson.Literal)
	if !ok || l.Kind() != '"' {
		n.Fail("expected a string", `write "…"`)
		return ""
	}
	return l.String()
}

// Strings reads a list of strings.
func (n Node) Strings() []string { return List(n, Node.String) }

// List reads a list whose elements are read one by one.
func List[T any](n Node, read func(Node) T) []T {
	var list []T
	for _, e := range n.Elements() {
		list = append(list, read(e))
	}
	return list
}

// Bool reads true or false.
func (n Node) Bool() bool {
	if n.value == nil {
		return false
	}
	l, ok := n.value.Value.(hujson.Literal)
	if !ok || (l.Kind() != 't' && l.Kind() != 'f') {
		n.Fail("expected true or false", "write true or false")
		return false
	}
	return l.Bool()
}

// Uint reads a whole number between low and high.
func (n Node) Uint(low, high uint64) uint64 {
	if n.value == nil {
		return low
	}
	l, ok := n.value.Value.(hujson.Literal)
	remedy := fmt.Sprintf("write a whole number from %d to %d", low, high)
	if !ok || l.Kind() != '0' {
		n.Fail("expected a number", remedy)
		return low
	}
	v, err := strconv.ParseUint(string(l), 10, 64)
	if err != nil || v < low || v > high {
		n.Fail(fmt.Sprintf("%s is out of range", string(l)), remedy)
		return low
	}
	return v
}

// Duration reads a duration such as "250ms" between low and high.
func (n Node) Duration(low, high time.Duration) time.Duration {
	if n.value == nil {
		return low
	}
	d, err := time.ParseDuration(n.String())
	if err != nil || d < low || d > high {
		n.Fail("not a duration in range", fmt.Sprintf("write a duration from %q to %q", low, high))
		return low
	}
	return d
}

// OneOf reads a string that must be one of the allowed words.
func (n Node) OneOf(allowed ...string) string {
	s := n.String()
	for _, a := range allowed {
		if s == a {
			return s
		}
	}
	if n.value != nil {
		n.Fail(fmt.Sprintf("%q is not allowed here", s), "write one of: "+strings.Join(allowed, ", "))
	}
	return allowed[0]
}
