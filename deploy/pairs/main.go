// Command pairs plays days of a site on two checkouts side by side and tells whether
// they differ: for each day and seed it plays both, and prints the mean difference in
// worth, its standard error and the share of pairs that the second one won. A single
// play says little: the same code differs by 0.02 to 0.1 from play to play.
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

// options are the command's flags.
type options struct {
	bench, a, b, site, days, seeds, why string
	// changed are the checkouts that b names.
	changed []string
	jobs    int
	noCPU   bool
	small   bool
}

// play is one day on one checkout.
type play struct {
	checkout, day string
	seed          int
}

// outcome is the part of the bench's report that is compared.
type outcome struct {
	Worth   float64        `json:"G"`
	Served  float64        `json:"served"`
	Breaks  map[string]any `json:"breaks"`
	Classes []struct {
		Name  string  `json:"name"`
		Worth float64 `json:"worth"`
	} `json:"classes"`
	Short []any `json:"short"`
	Fault any   `json:"fault"`
}

func main() {
	var o options
	flag.StringVar(&o.bench, "bench", "", "the bench's program")
	flag.StringVar(&o.a, "a", "", "checkout with the code as it was")
	flag.StringVar(&o.b, "b", "", "checkouts with a change each, separated by commas; they share the plays of the first one")
	flag.StringVar(&o.site, "site", "", "site file")
	flag.StringVar(&o.days, "days", "", "days, separated by commas")
	flag.StringVar(&o.seeds, "seeds", "1-4", "first and last seed")
	flag.StringVar(&o.why, "why", "", "a line for the journal")
	flag.IntVar(&o.jobs, "jobs", 4, "plays at a time")
	flag.BoolVar(&o.noCPU, "no-cpu", true, "do not charge processor time, which differs from play to play")
	flag.BoolVar(&o.small, "small", false, "play the small twins of days of large sites")
	flag.Parse()
	if err := run(o); err != nil {
		fmt.Fprintln(os.Stderr, "pairs:", err)
		os.Exit(1)
	}
}

func run(o options) error {
	first, last, err := seedRange(o.seeds)
	if err != nil {
		return err
	}
	if o.bench == "" || o.a == "" || o.b == "" || o.site == "" || o.days == "" || o.why == "" {
		return errors.New("-bench, -a, -b, -site, -days and -why are needed")
	}
	o.changed = strings.Split(o.b, ",")
	for _, checkout := range append([]string{o.a}, o.changed...) {
		if out, err := command(o, checkout, "build").CombinedOutput(); err != nil {
			return errors.Wrapf(err, "%s does not build: %s", checkout, out)
		}
	}
	var plays []play
	for seed := first; seed <= last; seed++ {
		for _, day := range strings.Split(o.days, ",") {
			plays = append(plays, play{o.a, day, seed})
			for _, b := range o.changed {
				plays = append(plays, play{b, day, seed})
			}
		}
	}
	outcomes, err := playAll(o, plays)
	if err != nil {
		return err
	}
	for _, b := range o.changed {
		fmt.Println("== " + b)
		report(o, b, first, last, outcomes)
	}
	return nil
}

func seedRange(s string) (first, last int, err error) {
	from, to, ranged := strings.Cut(s, "-")
	if !ranged {
		to = from
	}
	first, err = strconv.Atoi(from)
	if err == nil {
		last, err = strconv.Atoi(to)
	}
	return first, last, errors.Wrap(err, "-seeds: write a range such as 1-8")
}

func command(o options, checkout string, args ...string) *exec.Cmd {
	c := exec.CommandContext(context.Background(), o.bench, args...)
	c.Dir = checkout
	return c
}

// playAll plays all, some at a time.
func playAll(o options, plays []play) (map[play]outcome, error) {
	dir, err := os.MkdirTemp("", "pairs")
	if err != nil {
		return nil, err
	}
	defer os.RemoveAll(dir)
	var (
		mu       sync.Mutex
		group    sync.WaitGroup
		outcomes = map[play]outcome{}
		failures []error
		turns    = make(chan struct{}, o.jobs)
	)
	for i, p := range plays {
		turns <- struct{}{}
		group.Go(func() {
			defer func() { <-turns }()
			out, err := playOne(o, p, filepath.Join(dir, strconv.Itoa(i)))
			mu.Lock()
			defer mu.Unlock()
			if err != nil {
				failures = append(failures, err)
				return
			}
			outcomes[p] = out
		})
	}
	group.Wait()
	for _, err := range failures {
		fmt.Println("not played:", err)
	}
	return outcomes, nil
}

func playOne(o options, p play, file string) (outcome, error) {
	args := []string{"run", o.site, p.day, "--seed", strconv.Itoa(p.seed), "--jobs", "1", "--report", file, "--why", o.why}
	if o.noCPU {
		args = append(args, "--no-cpu")
	}
	if o.small {
		args = append(args, "--small")
	}
	text, runErr := command(o, p.checkout, args...).CombinedOutput()
	data, err := os.ReadFile(file)
	if err != nil {
		return outcome{}, errors.Wrapf(errors.CombineErrors(runErr, err), "%s %s seed %d: %s", p.checkout, p.day, p.seed, text)
	}
	var out outcome
	return out, json.Unmarshal(data, &out)
}

// sample is a set of differences between pairs.
type sample struct {
	values []float64
	before float64
}

func (s *sample) add(a, b float64) {
	s.values = append(s.values, b-a)
	s.before += a
}

func (s *sample) String() string {
	n := float64(len(s.values))
	if n == 0 {
		return "no pairs"
	}
	mean, won := 0.0, 0
	for _, v := range s.values {
		mean += v / n
		if v > 0 {
			won++
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
	return fmt.Sprintf("%3.0f pairs  before %.3f  difference %+.4f ± %.4f  won %.0f %%", n, s.before/n, mean, stdErr, 100*float64(won)/n)
}

// tellFailed prints a play that broke a rule or fell below its floors.
func tellFailed(checkout, day string, seed int, out outcome) {
	if len(out.Breaks) > 0 || out.Fault != nil || len(out.Short) > 0 {
		fmt.Printf("%s %s seed %d: rules %v, fault %v, below its floors %v\n", checkout, day, seed, out.Breaks, out.Fault, out.Short)
	}
}

func report(o options, changed string, first, last int, outcomes map[play]outcome) {
	all, served := &sample{}, &sample{}
	classes, order := map[string]*sample{}, []string{}
	for _, day := range strings.Split(o.days, ",") {
		one := &sample{}
		for seed := first; seed <= last; seed++ {
			a, okA := outcomes[play{o.a, day, seed}]
			b, okB := outcomes[play{changed, day, seed}]
			tellFailed(o.a, day, seed, a)
			tellFailed(changed, day, seed, b)
			if !okA || !okB {
				continue
			}
			one.add(a.Worth, b.Worth)
			all.add(a.Worth, b.Worth)
			served.add(a.Served, b.Served)
			for i, c := range a.Classes {
				if classes[c.Name] == nil {
					classes[c.Name] = &sample{}
					order = append(order, c.Name)
				}
				classes[c.Name].add(c.Worth, b.Classes[i].Worth)
			}
		}
		fmt.Printf("%-24s %s\n", day, one)
	}
	fmt.Printf("%-24s %s\n", "all days, worth", all)
	fmt.Printf("%-24s %s\n", "all days, credit", served)
	for _, name := range order {
		fmt.Printf("  %-22s %s\n", name, classes[name])
	}
}
