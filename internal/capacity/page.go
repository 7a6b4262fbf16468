package capacity

import (
	"strings"

	"github.com/cockroachdb/errors"
)

// Update returns the page with its generated sections replaced by the given texts, which
// are indexed by section name. A section is enclosed by the markers <!-- begin NAME --> and
// <!-- end NAME -->.
func Update(page string, sections map[string]string) (string, error) {
	for name, text := range sections {
		begin, end := "<!-- begin "+name+" -->\n", "<!-- end "+name+" -->"
		before, rest, ok := strings.Cut(page, begin)
		if !ok {
			return "", errors.Newf("the page has no section %s; add its begin and end markers", name)
		}
		_, after, ok := strings.Cut(rest, end)
		if !ok {
			return "", errors.Newf("section %s has no end marker; add it", name)
		}
		page = before + begin + text + end + after
	}
	return page, nil
}
