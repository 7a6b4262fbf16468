package main

import (
	"fmt"

	"github.com/spf13/cobra"

	"cactuspath/internal/process"
	"cactuspath/internal/settings"
)

func initCommand() *cobra.Command {
	var file string
	cmd := &cobra.Command{
		Use:   "init --settings FILE",
		Short: "Initialize the data folder of a founding control replica, once, before its first start",
		Long: "Initialize the data folder of a founding control replica, once, before its first start.\n\n" +
			"A replica whose disk was lost must not be initialized again: start it with an empty folder and run `cactusctl replica replace`,\n" +
			"so that it returns as a new member. The command fails if another founding replica already has changes.",
		Args: cobra.NoArgs,
		RunE: func(cmd *cobra.Command, _ []string) error {
			s, err := settings.Load(file)
			if err != nil {
				return err
			}
			if err := process.Init(cmd.Context(), s); err != nil {
				return err
			}
			fmt.Fprintf(cmd.OutOrStdout(), "%s belongs to founding replica %s\n", s.Control.DataFolder, s.Control.Name)
			return nil
		},
	}
	addSettingsFlag(cmd, &file)
	return cmd
}
