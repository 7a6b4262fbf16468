package main

import (
	"fmt"
	"io"
	"strings"

	"github.com/spf13/cobra"

	"cactuspath/internal/operator"
	"cactuspath/internal/replay"
)

func replayCommand(f *flags) *cobra.Command {
	return simulation{
		use: "replay TRACE", short: "Replay a recorded trace through the decision code and check its expected outcomes",
		long: "Replay a recorded trace through the decision code that runs in the nodes, in virtual time.\n\n" +
			"Exits with 1 if an expected outcome of the trace is not met. The same seed gives byte-identical output. docs/traces.md describes traces.",
		defaultPolicies: "those in the trace's expected outcomes",
		policyNames:     replayPolicies, run: runReplay,
	}.command(f)
}

func replayPolicies() []string {
	var names []string
	for _, v := range replay.Variants() {
		names = append(names, v.Name)
	}
	return names
}

func runReplay(cmd *cobra.Command, f *flags, file string, policies []string, seed uint64) error {
	trace, err := readFile(file, "trace", func(in io.Reader) (*replay.Trace, error) { return replay.Read(in, seed) })
	if err != nil {
		return err
	}
	if len(policies) == 0 {
		policies = replay.PoliciesNeeded(trace)
	}
	var results []*replay.Result
	for _, name := range policies {
		variant, err := replay.Find(name)
		if err != nil {
			return &usageError{err}
		}
		results = append(results, replay.Run(trace, variant, seed))
	}
	misses, unchecked := replay.Check(trace, results)
	if err := f.print(cmd.OutOrStdout(), results, func(out io.Writer) { printResults(out, trace, results, unchecked) }); err != nil {
		return err
	}
	if len(misses) == 0 {
		return nil
	}
	lines := make([]string, len(misses))
	for i, m := range misses {
		lines[i] = "  " + m.String()
	}
	return &operator.OutcomeError{Code: operator.ExitFailed, Message: "expected outcomes were not met:\n" + strings.Join(lines, "\n")}
}

func printResults(out io.Writer, trace *replay.Trace, results []*replay.Result, unchecked int) {
	fmt.Fprintf(out, "%s: %d requests, %d callers, %d servers\n", trace.Header.Name, len(trace.Arrivals), trace.Header.Callers, trace.Header.Service.Servers)
	fmt.Fprintf(out, "%-24s %8s %8s %8s %8s %9s %7s %7s %7s %5s %6s %9s %7s %8s %8s\n", "policy", "p50 ms", "p99 ms", "p99.9", "max",
		"answered", "failed", "not run", "unknown", "lost", "twice", "attempts", "moves", "reports", "worst/s")
	for _, r := range results {
		fmt.Fprintf(out, "%-24s %8.1f %8.1f %8.1f %8.1f %9d %7d %7d %7d %5d %6d %9.3f %7.3f %8.3f %8d\n", r.Policy, r.P50, r.P99, r.P999, r.Max,
			r.Answered, r.Failed, r.NotRun, r.Unknown, r.Lost, r.RunTwice, r.Attempts, r.Moves, r.Reports, r.WorstReports)
	}
	if unchecked > 0 {
		fmt.Fprintf(out, "%d expected outcomes were not checked: their policies were not replayed\n", unchecked)
	}
}
