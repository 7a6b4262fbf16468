// Command pairs compares checkouts of the source with a benchmark that replays days of traffic of a
// site. For each day and seed it runs the baseline and every candidate. It prints the mean
// difference in worth (field G of the benchmark report), its standard error, and the share of pairs
// in which the candidate is better. A single pair is not conclusive: the worth of the same code
// varies by 0.02 to 0.1 between runs.
//
//	go run ./deploy/pairs -bench PATH -a DIR -b DIR -site FILE -days d1,d2 -seeds 1-8 -why "..."
package main

import (
	"context"
	"encoding/json"
	"flag"
	"fmt"
	"math"
	"os"
	"os/exec"
	"path/filepath"
	"strconv"
	"strings"
	"sync"

	"github.com/cockroachdb/errors"
)

// options contains the command-line flags.
type options struct {
	bench, baseline, candidateFlag, site, days, seeds, journalNote string
	// candidates contains the directories of the checkouts listed in candidateFlag.
	candidates []string
	jobs       int
	noCPU      bool
	small      bool
}

// dayRun identifies one run of a day on a checkout.
type dayRun struct {
	checkout, day string
	seed          int
}

// result contains the fields of the benchmark report that are compared or printed.
type result struct {
	Worth       float64        `json:"G"`
	Served      float64        `json:"served"`
	BrokenRules map[string]any `json:"breaks"`
	Classes     []struct {
		Name  string  `json:"name"`
		Worth float64 `json:"worth"`
	} `json:"classes"`
	BelowFloor []any `json:"short"`
	Fault      any   `json:"fault"`
}

func main() {
	var o options
	flag.StringVar(&o.bench, "bench", "", "path of the benchmark program")
	flag.StringVar(&o.baseline, "a", "", "baseline checkout")
	flag.StringVar(&o.candidateFlag, "b", "", "candidate checkouts, separated by commas; all are compared with the same baseline runs")
	flag.StringVar(&o.site, "site", "", "site file")
	flag.StringVar(&o.days, "days", "", "days, separated by commas")
	flag.StringVar(&o.seeds, "seeds", "1-4", "first and last seed")
	flag.StringVar(&o.journalNote, "why", "", "reason recorded in the journal")
	flag.IntVar(&o.jobs, "jobs", 4, "number of concurrent runs")
	flag.BoolVar(&o.noCPU, "no-cpu", true, "do not charge processor time, which varies between runs")
	flag.BoolVar(&o.small, "small", false, "run the small variants of the days of large sites")
	flag.Parse()
	if err := run(o); err != nil {
		fmt.Fprintln(os.Stderr, "pairs:", err)
		os.Exit(1)
	}
}

func run(o options) error {
	first, last, err := parseSeedRange(o.seeds)
	if err != nil {
		return err
	}
	if o.bench == "" || o.baseline == "" || o.candidateFlag == "" || o.site == "" || o.days == "" || o.journalNote == "" {
		return errors.New("-bench, -a, -b, -site, -days and -why are required")
	}
	o.candidates = strings.Split(o.candidateFlag, ",")
	for _, checkout := range append([]string{o.baseline}, o.candidates...) {
		if out, err := benchCommand(o, checkout, "build").CombinedOutput(); err != nil {
			return errors.Wrapf(err, "build %s: %s", checkout, out)
		}
	}
	var runs []dayRun
	for seed := first; seed <= last; seed++ {
		for _, day := range strings.Split(o.days, ",") {
			runs = append(runs, dayRun{o.baseline, day, seed})
			for _, b := range o.candidates {
				runs = append(runs, dayRun{b, day, seed})
			}
		}
	}
	results, err := runAll(o, runs)
	if err != nil {
		return err
	}
	for _, b := range o.candidates {
		fmt.Println("== " + b)
		printComparison(o, b, first, last, results)
	}
	return nil
}

func parseSeedRange(s string) (first, last int, err error) {
	from, to, ranged := strings.Cut(s, "-")
	if !ranged {
		to = from
	}
	first, err = strconv.Atoi(from)
	if err == nil {
		last, err = strconv.Atoi(to)
	}
	return first, last, errors.Wrap(err, "-seeds must be a range such as 1-8")
}

func benchCommand(o options, checkout string, args ...string) *exec.Cmd {
	c := exec.CommandContext(context.Background(), o.bench, args...)
	c.Dir = checkout
	return c
}

// runAll executes the runs, at most o.jobs at a time. Failed runs are printed and have no result.
func runAll(o options, runs []dayRun) (map[dayRun]result, error) {
	dir, err := os.MkdirTemp("", "pairs")
	if err != nil {
		return nil, err
	}
	defer os.RemoveAll(dir)
	var (
		mu       sync.Mutex
		group    sync.WaitGroup
		results  = map[dayRun]result{}
		failures []error
		slots    = make(chan struct{}, o.jobs)
	)
	for i, p := range runs {
		slots <- struct{}{}
		group.Go(func() {
			defer func() { <-slots }()
			out, err := runDay(o, p, filepath.Join(dir, strconv.Itoa(i)))
			mu.Lock()
			defer mu.Unlock()
			if err != nil {
				failures = append(failures, err)
				return
			}
			results[p] = out
		})
	}
	group.Wait()
	for _, err := range failures {
		fmt.Println("run failed:", err)
	}
	return results, nil
}

func runDay(o options, r dayRun, file string) (result, error) {
	args := []string{"run", o.site, r.day, "--seed", strconv.Itoa(r.seed), "--jobs", "1", "--report", file, "--why", o.journalNote}
	if o.noCPU {
		args = append(args, "--no-cpu")
	}
	if o.small {
		args = append(args, "--small")
	}
	text, runErr := benchCommand(o, r.checkout, args...).CombinedOutput()
	data, err := os.ReadFile(file)
	if err != nil {
		return result{}, errors.Wrapf(errors.CombineErrors(runErr, err), "%s %s seed %d: %s", r.checkout, r.day, r.seed, text)
	}
	var out result
	return out, json.Unmarshal(data, &out)
}

// differences collects the differences, candidate minus baseline, between results of the same day
// and seed.
type differences struct {
	values      []float64
	baselineSum float64
}

func (s *differences) add(a, b float64) {
	s.values = append(s.values, b-a)
	s.baselineSum += a
}

func (s *differences) String() string {
	n := float64(len(s.values))
	if n == 0 {
		return "no pairs"
	}
	mean, improved := 0.0, 0
	for _, v := range s.values {
		mean += v / n
		if v > 0 {
			improved++
		}
	}
	square := 0.0
	for _, v := range s.values {
		square += (v - mean) * (v - mean)
	}
	stdErr := math.NaN()
	if n > 1 {
		stdErr = math.Sqrt(square / (n - 1) / n)
	}
	return fmt.Sprintf("%3.0f pairs  baseline %.3f  difference %+.4f ± %.4f  improved %.0f %%", n, s.baselineSum/n, mean, stdErr, 100*float64(improved)/n)
}

// printFailures prints the rules that a run broke, its fault, and the floors (minimum values) that
// it did not reach, if any.
func printFailures(checkout, day string, seed int, out result) {
	if len(out.BrokenRules) > 0 || out.Fault != nil || len(out.BelowFloor) > 0 {
		fmt.Printf("%s %s seed %d: broken rules %v, fault %v, floors not reached %v\n", checkout, day, seed, out.BrokenRules, out.Fault, out.BelowFloor)
	}
}

func printComparison(o options, candidate string, first, last int, results map[dayRun]result) {
	all, served := &differences{}, &differences{}
	classes, order := map[string]*differences{}, []string{}
	for _, day := range strings.Split(o.days, ",") {
		dayDifferences := &differences{}
		for seed := first; seed <= last; seed++ {
			a, okA := results[dayRun{o.baseline, day, seed}]
			b, okB := results[dayRun{candidate, day, seed}]
			printFailures(o.baseline, day, seed, a)
			printFailures(candidate, day, seed, b)
			if !okA || !okB {
				continue
			}
			dayDifferences.add(a.Worth, b.Worth)
			all.add(a.Worth, b.Worth)
			served.add(a.Served, b.Served)
			for i, c := range a.Classes {
				if classes[c.Name] == nil {
					classes[c.Name] = &differences{}
					order = append(order, c.Name)
				}
				classes[c.Name].add(c.Worth, b.Classes[i].Worth)
			}
		}
		fmt.Printf("%-24s %s\n", day, dayDifferences)
	}
	fmt.Printf("%-24s %s\n", "all days, worth", all)
	fmt.Printf("%-24s %s\n", "all days, credit", served)
	for _, name := range order {
		fmt.Printf("  %-22s %s\n", name, classes[name])
	}
}
