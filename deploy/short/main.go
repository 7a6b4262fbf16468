// Command short lists the benchmark days in journal entries that did not pass: those that
// broke a rule, stayed below a floor (a minimum value), ended in a fault or failed the
// benchmark's gate. It is needed because the summary of a hunt (a search over many days)
// counts only days that broke a rule.
//
// It exits with status 1 if any day did not pass and with status 2 on error.
//
//	go run ./deploy/short journal/20261203T11*.json
package main

import (
	"encoding/json"
	"fmt"
	"io"
	"os"
	"path/filepath"
	"slices"
	"strings"

	"github.com/cockroachdb/errors"
)

// entry contains the fields of a journal entry that are needed for the list.
type entry struct {
	Site string `json:"site"`
	Head string `json:"head"`
	Days []day  `json:"days"`
}

// day contains the fields of a single benchmark day that are needed for the list.
type day struct {
	Name string `json:"name"`
	Seed int64  `json:"seed"`
	// Passed reports whether the day passed the benchmark's gate.
	Passed bool `json:"gate"`
	// BrokenRules maps each broken rule to its number of violations.
	BrokenRules map[string]int `json:"rules"`
	// BelowFloor describes each floor that was not reached.
	BelowFloor []string `json:"short"`
	Fault      string   `json:"fault"`
}

// failureReasons returns the reasons why the day did not pass, or nil if it passed.
func (d day) failureReasons() []string {
	var reasons []string
	for rule, count := range d.BrokenRules {
		reasons = append(reasons, fmt.Sprintf("%s broken %d times", rule, count))
	}
	slices.Sort(reasons)
	reasons = append(reasons, d.BelowFloor...)
	if d.Fault != "" {
		reasons = append(reasons, d.Fault)
	}
	if len(reasons) == 0 && !d.Passed {
		reasons = append(reasons, "the gate failed")
	}
	return reasons
}

func main() {
	failed, err := listFailedDays(os.Stdout, os.Args[1:])
	if err != nil {
		fmt.Fprintln(os.Stderr, "short:", err)
		os.Exit(2)
	}
	if failed > 0 {
		os.Exit(1)
	}
}

// listFailedDays writes the days in files that did not pass to out, followed by a summary
// line, and returns the number of days that did not pass.
func listFailedDays(out io.Writer, files []string) (failed int, err error) {
	total := 0
	for _, file := range files {
		data, err := os.ReadFile(file)
		if err != nil {
			return failed, errors.Wrap(err, "read journal entry (pass files from the journal/ directory)")
		}
		var e entry
		if err := json.Unmarshal(data, &e); err != nil {
			return failed, errors.Wrapf(err, "parse journal entry %s", file)
		}
		for _, d := range e.Days {
			total++
			if reasons := d.failureReasons(); len(reasons) > 0 {
				failed++
				fmt.Fprintf(out, "%s %s %s seed %d at %.7s: %s\n", filepath.Base(file), e.Site, d.Name, d.Seed, e.Head, strings.Join(reasons, "; "))
			}
		}
	}
	fmt.Fprintf(out, "%d days, %d did not pass\n", total, failed)
	return failed, nil
}
