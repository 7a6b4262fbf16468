package main

import (
	"fmt"

	"github.com/spf13/cobra"

	"cactuspath/core/estate"
	"cactuspath/internal/operator"
	"cactuspath/internal/version"
)

func checkCommand(_ *flags) *cobra.Command {
	return &cobra.Command{
		Use: "check FILE", GroupID: queryGroup, Short: "Report every fault of an estate text, without a cluster", Args: exactly(1),
		RunE: func(cmd *cobra.Command, args []string) error {
			text, err := readText(cmd, args[0])
			if err != nil {
				return err
			}
			doc, problems := estate.Parse(text)
			if len(problems) > 0 {
				return &operator.OutcomeError{Code: operator.ExitRefused, Message: args[0] + " has faults:\n" + operator.Problems(estate.Problems(problems))}
			}
			fmt.Fprintf(cmd.OutOrStdout(), "%s: ok, institution %s with %d services\n", args[0], doc.Institution, len(doc.Services))
			return nil
		},
	}
}

func versionCommand() *cobra.Command {
	return &cobra.Command{
		Use: "version", GroupID: toolGroup, Short: "Print the release", Args: exactly(0),
		Run: func(cmd *cobra.Command, _ []string) { fmt.Fprintln(cmd.OutOrStdout(), version.Version) },
	}
}
