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
	cmd := simulation{
		use: "emulate SCENARIO", short: "Simulate services that call each other on noisy hosts, and check the expected outcomes",
		long: "Run a scenario of several services through the decision code that runs in the nodes, in virtual time: requests that call other services, hosts with noisy\n" +
			"neighbours, servers that slow down under concurrency, bursts, callers that retry once.\n\n" +
			"Exits with 1 if an expected outcome of the scenario is not met. The same seed gives the same figures. docs/emulator.md describes scenarios.",
		defaultPolicies: "all",
		policyNames:     emulatorPolicies, run: runEmulation,
	}.command(f)
	cmd.Flags().StringSlice(withoutFlag, nil, "also run the nodes' policy with one of these mechanisms disabled at a time; join several with + to disable them together: "+strings.Join(mechanism.All().Names(), ", "))
	return cmd
}

const withoutFlag = "without"

// reducedVariants returns the variants of the emulation that --without requests, each
// with some mechanisms disabled.
func reducedVariants(cmd *cobra.Command) ([]emulator.Variant, error) {
	specs, err := cmd.Flags().GetStringSlice(withoutFlag)
	if err != nil {
		return nil, err
	}
	var variants []emulator.Variant
	for _, names := range specs {
		disabled, err := mechanism.Parse(strings.Split(names, "+"))
		if err != nil {
			return nil, &usageError{err}
		}
		variants = append(variants, emulator.Without(disabled))
	}
	return variants, nil
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
	reduced, err := reducedVariants(cmd)
	if err != nil {
		return err
	}
	if len(policies) == 0 {
		policies = emulatorPolicies()
		if len(reduced) > 0 {
			policies = []string{emulator.ProductionVariant}
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
		return &operator.OutcomeError{Code: operator.ExitFailed, Message: "expected outcomes were not met:\n  " + strings.Join(misses, "\n  ")}
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
