// Package explain reconstructs the course and outcome of one request from the logs of many processes.
package explain

import (
	"regexp"
	"strconv"
	"strings"
)

// Entry is a parsed log line that consists of a message and fields.
type Entry struct {
	// Source is the base name of the log file.
	Source string
	// Time is the month, day and time of day as logged. Within a year, the order of these strings
	// is the order in time.
	Time    string
	Message string
	Fields  []Field
}

// Field is a key and its unquoted value.
type Field struct{ Key, Value string }

// linePattern matches a structured klog line, which may have a prefix.
var linePattern = regexp.MustCompile(`[IWEF](\d{4} \d\d:\d\d:\d\d\.\d+)\s+\d+ \S+\] ("(?:[^"\\]|\\.)*")(.*)$`)

// fieldPattern matches one field. A value is a quoted string, a bracketed list or a run of non-space
// characters.
var fieldPattern = regexp.MustCompile(` (\w+)=("(?:[^"\\]|\\.)*"|\[[^\]]*\]|\S*)`)

// Parse parses a log line. ok is false if the line is not a structured klog line.
func Parse(source, line string) (e Entry, ok bool) {
	parts := linePattern.FindStringSubmatch(line)
	if parts == nil {
		return Entry{}, false
	}
	e = Entry{Source: source, Time: parts[1], Message: unquoted(parts[2])}
	for _, field := range fieldPattern.FindAllStringSubmatch(parts[3], -1) {
		e.Fields = append(e.Fields, Field{Key: field[1], Value: unquoted(field[2])})
	}
	return e, true
}

func unquoted(text string) string {
	if plain, err := strconv.Unquote(text); err == nil {
		return plain
	}
	return text
}

// Value returns the value of the first field with the given key, or "" if there is none.
func (e Entry) Value(key string) string {
	for _, f := range e.Fields {
		if f.Key == key {
			return f.Value
		}
	}
	return ""
}

// depth returns the nesting depth of the entry's request: 0 for the request of a caller, 1 for a
// call that a backend server made while running it, and so on.
func (e Entry) depth() int { return strings.Count(e.Value("request"), ".") }
