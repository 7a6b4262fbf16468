// Package jsonc decodes JSON with comments strictly: unknown, duplicate and missing fields
// are errors. It reports all errors of a text together, each with its line, column, field
// and remedy. It decodes both the estate text and the process settings, so that errors in
// either have the same form.
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
	// MaxBytes is the maximum size of a text, in bytes.
	MaxBytes = 4 << 20
	// maxDepth is the maximum nesting depth. The hujson parser is recursive:
	// without a limit, a text of opening brackets overflows the stack and
	// terminates the process.
	maxDepth = 32
	// MaxProblems is the maximum number of problems reported for a text. Further
	// problems are not reported.
	MaxProblems = 50
)

// Problem is one error in a text. Line and Column start at 1; Column counts bytes. Field
// is the path of the field, and Remedy says how to correct the error. The problems of a
// refused estate text are stored in the replicated audit trail, so every build must
// produce the same Message and Remedy for the same input.
type Problem struct {
	Line, Column int
	Field        string
	Message      string
	Remedy       string
}

// String formats the problem on one line.
func (p Problem) String() string {
	location := fmt.Sprintf("line %d, column %d", p.Line, p.Column)
	if p.Field != "" {
		location += ", field " + p.Field
	}
	return fmt.Sprintf("%s: %s; %s", location, p.Message, p.Remedy)
}

// Reader collects the problems found while the values of one text are decoded.
type Reader struct {
	text     []byte
	problems []Problem
}

// Node is a value in the text with its field path. The root node of an invalid text has no
// value; its decoding methods return a default and report no further problem.
type Node struct {
	reader *Reader
	value  *hujson.Value
	path   string
}

// Parse parses text and returns its root node. The reader collects the problems found now
// and while the nodes are decoded. If it has problems after Parse, the node has no value.
func Parse(text []byte) (*Reader, Node) {
	r := &Reader{text: text}
	if !r.checkLimits() {
		return r, Node{reader: r}
	}
	value, err := hujson.Parse(text)
	if err != nil {
		r.addSyntaxError(err)
		return r, Node{reader: r}
	}
	return r, Node{reader: r, value: &value}
}

// Problems returns up to MaxProblems problems found so far, ordered by line and
// column.
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

// checkLimits reports whether the text is within MaxBytes and maxDepth and is
// valid UTF-8. It adds a problem for the first check that fails.
func (r *Reader) checkLimits() bool {
	if len(r.text) > MaxBytes {
		r.addProblem(0, "", fmt.Sprintf("the text has %d bytes, more than the %d allowed", len(r.text), MaxBytes), "split it into one text per institution")
		return false
	}
	if !utf8.Valid(r.text) {
		r.addProblem(invalidUTF8(r.text), "", "the text is not valid UTF-8", "save the file as UTF-8")
		return false
	}
	if offset, exceeded := findExcessDepth(r.text); exceeded {
		r.addProblem(offset, "", fmt.Sprintf("values are nested more than %d deep", maxDepth), "flatten the text; no field needs this depth")
		return false
	}
	return true
}

// addSyntaxError adds a hujson parse error, with the position taken from its
// message.
func (r *Reader) addSyntaxError(err error) {
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

// addProblem adds a problem at a byte offset of the text.
func (r *Reader) addProblem(offset int, field, message, remedy string) {
	line, column := lineAndColumn(r.text, offset)
	r.problems = append(r.problems, Problem{line, column, field, message, remedy})
}

// lineAndColumn converts a byte offset to a line and column, both starting at 1.
func lineAndColumn(text []byte, offset int) (line, column int) {
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

// invalidUTF8 returns the offset of the first byte that is not valid UTF-8.
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

// findExcessDepth returns the offset of the first bracket nested deeper than
// maxDepth. Brackets in strings and comments do not count.
func findExcessDepth(text []byte) (offset int, exceeded bool) {
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

// skipString returns the offset of the quote that closes the string starting at i.
func skipString(text []byte, i int) int {
	for i++; i < len(text) && text[i] != '"'; i++ {
		if text[i] == '\\' {
			i++
		}
	}
	return i
}

// skipComment returns the offset of the last byte of the comment starting at i, or
// i if no comment starts there. A line comment ends at its newline.
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

// Fail adds a problem at the node's position.
func (n Node) Fail(message, remedy string) {
	offset := 0
	if n.value != nil {
		offset = n.value.StartOffset
	}
	n.reader.addProblem(offset, n.path, message, remedy)
}

// Path returns the node's field path, for example "services.snag-list.slots".
func (n Node) Path() string { return n.path }

// Member is a key-value pair of an object.
type Member struct {
	Name  string
	Key   Node
	Value Node
}

// Members returns the members of an object in the order of the text. It reports members
// with duplicate names and returns only the first of them.
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
		name := literalOf(m.Name).String()
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

// literalOf returns v as a literal (a string, number, boolean or null), or an empty
// literal if v is an object or an array.
func literalOf(v hujson.Value) hujson.Literal {
	l, _ := v.Value.(hujson.Literal)
	return l
}

// Object decodes an object by calling the function in fields for each member. It
// reports members that are not in fields and required names that are missing.
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

// Elements returns the elements of an array. Like the other decoding methods below, it
// reports a problem if the value has another type.
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

// String decodes a string.
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

// Strings decodes a list of strings.
func (n Node) Strings() []string { return List(n, Node.String) }

// List decodes a list by calling read for each element.
func List[T any](n Node, read func(Node) T) []T {
	var list []T
	for _, e := range n.Elements() {
		list = append(list, read(e))
	}
	return list
}

// Bool decodes a boolean.
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

// Uint decodes an integer between low and high. It returns low if the value is
// invalid.
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

// Float decodes a number between low and high. It returns low if the value is invalid.
func (n Node) Float(low, high float64) float64 {
	if n.value == nil {
		return low
	}
	l, ok := n.value.Value.(hujson.Literal)
	remedy := fmt.Sprintf("write a number from %g to %g", low, high)
	if !ok || l.Kind() != '0' {
		n.Fail("expected a number", remedy)
		return low
	}
	v := l.Float()
	if !(v >= low && v <= high) {
		n.Fail(fmt.Sprintf("%s is out of range", string(l)), remedy)
		return low
	}
	return v
}

// Duration decodes a duration string such as "250ms" between low and high. It
// returns low if the value is invalid.
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

// OneOf decodes a string that must be one of the allowed values. It returns the
// first of them if the value is invalid.
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
