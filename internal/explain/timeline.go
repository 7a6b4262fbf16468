package explain

import (
	"bufio"
	"cmp"
	"io"
	"os"
	"path/filepath"
	"slices"
	"strings"

	"github.com/cockroachdb/errors"
)

// Timeline holds the log entries of a request and of the calls that backend servers made while
// running it, ordered by time.
type Timeline struct {
	Request string
	Entries []Entry
}

// maxLineBytes bounds the length of a log line. Read fails on longer lines.
const maxLineBytes = 1 << 20

// Read collects the entries of a request from log files. Some entries contain only the ID of an
// attempt instead of that of the request. Read collects these in a second pass, when the IDs of all
// attempts are known.
func Read(request string, files []string) (*Timeline, error) {
	t := &Timeline{Request: request}
	attempts := map[string]bool{}
	for _, file := range files {
		err := scanFile(file, func(e Entry) {
			if !t.includes(e) {
				return
			}
			t.Entries = append(t.Entries, e)
			if id := e.Value("attempt"); id != "" {
				attempts[id] = true
			}
		})
		if err != nil {
			return nil, err
		}
	}
	for _, file := range files {
		err := scanFile(file, func(e Entry) {
			if !t.includes(e) && namesAttempt(e, attempts) {
				t.Entries = append(t.Entries, e)
			}
		})
		if err != nil {
			return nil, err
		}
	}
	slices.SortStableFunc(t.Entries, func(a, b Entry) int { return cmp.Compare(a.Time, b.Time) })
	return t, nil
}

// includes reports whether an entry carries the ID of the request or of a call nested in it. The ID
// of a call is the ID of its parent, a dot and a suffix.
func (t *Timeline) includes(e Entry) bool {
	id := e.Value("request")
	return id == t.Request || strings.HasPrefix(id, t.Request+".")
}

// namesAttempt reports whether an entry names one of the attempts, either in its own field or in the
// list of attempts that a backend server was running.
func namesAttempt(e Entry, attempts map[string]bool) bool {
	if attempts[e.Value("attempt")] {
		return true
	}
	for _, item := range strings.FieldsFunc(e.Value("attempts"), func(r rune) bool { return strings.ContainsRune(`[]", `, r) }) {
		id, _, _ := strings.Cut(item, "=")
		if attempts[id] {
			return true
		}
	}
	return false
}

func scanFile(file string, visit func(Entry)) error {
	f, err := os.Open(file)
	if err != nil {
		return errors.Wrap(err, "open the log; each FILE must hold the output of a process")
	}
	defer f.Close()
	return scanLines(f, filepath.Base(file), visit)
}

func scanLines(in io.Reader, source string, visit func(Entry)) error {
	lines := bufio.NewScanner(in)
	lines.Buffer(nil, maxLineBytes)
	for lines.Scan() {
		if e, ok := Parse(source, lines.Text()); ok {
			visit(e)
		}
	}
	return errors.Wrapf(lines.Err(), "%s", source)
}
