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
		Short: "Check a settings file and report all problems",
		Args:  cobra.NoArgs,
		RunE: func(cmd *cobra.Command, _ []string) error {
			if _, err := settings.Load(file); err != nil {
				return err
			}
			fmt.Fprintf(cmd.OutOrStdout(), "%s: ok\n", file)
			return nil
		},
	}
	addSettingsFlag(cmd, &file)
	return cmd
}
