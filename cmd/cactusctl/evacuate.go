package main

import (
	"context"
	"fmt"
	"io"

	"github.com/spf13/cobra"

	"cactuspath/internal/operator"
)

func evacuateCommand(f *flags, evacuated bool) *cobra.Command {
	var changeID string
	var announceOnly bool
	use, short := "evacuate DATA-CENTRE", "Send no more requests to a data centre's backend servers; answers once all nodes know"
	if !evacuated {
		use, short = "unevacuate DATA-CENTRE", "End an evacuation: the data centre's backend servers get requests again"
	}
	cmd := &cobra.Command{
		Use: use, GroupID: commandGroup, Short: short, Args: exactly(1),
		RunE: func(cmd *cobra.Command, args []string) error {
			if changeID == "" {
				changeID = operator.NewChangeID()
			}
			return f.with(cmd, func(ctx context.Context, c *operator.Client) error {
				record, err := c.Evacuate(ctx, args[0], evacuated, changeID)
				if err != nil {
					return err
				}
				if !announceOnly {
					if _, err := c.WaitInForce(ctx, record.Revision, 0); err != nil {
						return err
					}
				}
				return f.print(cmd.OutOrStdout(), record, func(out io.Writer) {
					fmt.Fprintf(out, "%s: accepted at revision %d\n", record.What, record.Revision)
					if !announceOnly {
						fmt.Fprintln(out, "in force on all nodes")
					}
				})
			})
		},
	}
	cmd.Flags().StringVar(&changeID, "change-id", "", "id of the change; made up if empty")
	cmd.Flags().BoolVar(&announceOnly, "announce-only", false, "do not wait until all nodes know")
	return cmd
}
