package main

import (
	"fmt"
	"io"
	"strings"

	"github.com/spf13/cobra"

	"cactuspath/core/mechanism"
	"cactuspath/internal/emulator"
	"cactuspath/internal/operator"
)

func emulateCommand(f *flags) *cobra.Command {
	cmd := player{
		use: "emulate SCENARIO", short: "Run services that call each other on noisy hosts through the decision code, against stated outcomes",
		long: "Run a scenario of several services through the decision code that runs in the nodes, in virtual time: requests that call other services, hosts with noisy\n" +
			"neighbours, servers that slow down in a crowd, bursts, callers that come back once.\n\n" +
			"Exits 1 where an outcome that the scenario states is missed. The same seed gives the same figures. docs/emulator.md describes scenarios.",
		unnamed: "all",
		names:   emulatorPolicies, play: runEmulation,
	}.command(f)
	cmd.Flags().StringSlice(withoutFlag, nil, "play also what the nodes run without these mechanisms, one at a time; join two by + to switch both off: "+strings.Join(mechanism.All().Names(), ", "))
	return cmd
}

const withoutFlag = "without"

// withouts are the variants that --without asks for.
func withouts(cmd *cobra.Command) ([]emulator.Variant, error) {
	asked, err := cmd.Flags().GetStringSlice(withoutFlag)
	if err != nil {
		return nil, err
	}
	var list []emulator.Variant
	for _, names := range asked {
		off, err := mechanism.Parse(strings.Split(names, "+"))
		if err != nil {
			return nil, &usageError{err}
		}
		list = append(list, emulator.Without(off))
	}
	return list, nil
}

func emulatorPolicies() []string {
	var names []string
	for _, v := range emulator.Variants() {
		names = append(names, v.Name)
	}
	return names
}

func runEmulation(cmd *cobra.Command, f *flags, file string, policies []string, seed uint64) error {
	scenario, err := readFile(file, "scenario", emulator.Read)
	if err != nil {
		return err
	}
	reduced, err := withouts(cmd)
	if err != nil {
		return err
	}
	if len(policies) == 0 {
		policies = emulatorPolicies()
		if len(reduced) > 0 {
			policies = []string{emulator.Chosen}
		}
	}
	var results []*emulator.Result
	for _, name := range policies {
		variant, err := emulator.Find(name)
		if err != nil {
			return &usageError{err}
		}
		results = append(results, emulator.Run(scenario, variant, seed))
	}
	for _, variant := range reduced {
		results = append(results, emulator.Run(scenario, variant, seed))
	}
	if err := f.print(cmd.OutOrStdout(), results, func(out io.Writer) { printEmulation(out, scenario, results) }); err != nil {
		return err
	}
	if misses := emulator.Check(scenario, results); len(misses) > 0 {
		return &operator.OutcomeError{Code: operator.ExitFailed, Message: "stated outcomes were missed:\n  " + strings.Join(misses, "\n  ")}
	}
	return nil
}

func printEmulation(out io.Writer, scenario *emulator.Scenario, results []*emulator.Result) {
	fmt.Fprintf(out, "%s: %d requests\n", scenario.Name, results[0].Asked)
	fmt.Fprintf(out, "%-20s %7s %7s %7s %7s %7s %8s %8s %8s %7s %7s %7s\n", "policy", "in aim", "value", "worst s", "worst c", "served", "refused2", "p50 ms", "p99 ms", "moves", "retries", "second")
	for _, r := range results {
		fmt.Fprintf(out, "%-20s %7.3f %7.3f %7.3f %7.3f %7.3f %8.3f %8.1f %8.1f %7.3f %7.3f %7.3f\n", r.Policy, r.InAim, r.Value, r.WorstSeconds, r.WorstClass, r.Served,
			r.RefusedTwice, r.P50, r.P99, r.Moves, r.Retries, r.Hedges)
	}
}
