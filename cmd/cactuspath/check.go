package main

import (
	"fmt"

	"github.com/spf13/cobra"

	"cactuspath/internal/settings"
)

func checkCommand() *cobra.Command {
	var file string
	cmd := &cobra.Command{
		Use:   "check --settings FILE",
		Short: "Check a settings file and report every fault at once",
		Args:  cobra.NoArgs,
		RunE: func(cmd *cobra.Command, _ []string) error {
			if _, err := settings.Load(file); err != nil {
				return err
			}
			fmt.Fprintf(cmd.OutOrStdout(), "%s: ok\n", file)
			return nil
		},
	}
	settingsFlag(cmd, &file)
	return cmd
}
