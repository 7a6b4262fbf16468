package main

import (
	"fmt"

	"github.com/spf13/cobra"

	"cactuspath/internal/version"
)

func checkCommand(_ *flags) *cobra.Command {
	return &cobra.Command{
		Use: "check FILE", GroupID: queryGroup, Short: "Check an estate text offline and report every problem", Args: exactArgs(1),
		RunE: func(cmd *cobra.Command, args []string) error {
			_, doc, err := readEstate(cmd, args[0])
			if err != nil {
				return err
			}
			fmt.Fprintf(cmd.OutOrStdout(), "%s: ok, institution %s with %d services\n", args[0], doc.Institution, len(doc.Services))
			return nil
		},
	}
}

func versionCommand() *cobra.Command {
	return &cobra.Command{
		Use: "version", GroupID: toolGroup, Short: "Print the version", Args: exactArgs(0),
		Run: func(cmd *cobra.Command, _ []string) { fmt.Fprintln(cmd.OutOrStdout(), version.Version) },
	}
}
