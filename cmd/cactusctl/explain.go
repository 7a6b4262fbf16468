package main

import (
	"github.com/spf13/cobra"

	"cactuspath/internal/explain"
)

func explainCommand() *cobra.Command {
	var request string
	cmd := &cobra.Command{
		Use: "explain --request ID FILE...", GroupID: toolGroup, Short: "Show the timeline and outcome of a request from the logs of several processes",
		Long: "Show the timeline and outcome of a request from the logs of several processes: its log lines and those of its downstream calls, ordered by time, and the cause of the outcome.\n" +
			"Pass one log file per process. Lines are ordered by their timestamps.",
		Args: func(cmd *cobra.Command, args []string) error {
			if err := cobra.MinimumNArgs(1)(cmd, args); err != nil {
				return &usageError{err}
			}
			return nil
		},
		RunE: func(cmd *cobra.Command, files []string) error {
			timeline, err := explain.Read(request, files)
			if err != nil {
				return err
			}
			return timeline.Write(cmd.OutOrStdout())
		},
	}
	cmd.Flags().StringVar(&request, "request", "", "request ID that the caller sent or received")
	_ = cmd.MarkFlagRequired("request")
	return cmd
}
