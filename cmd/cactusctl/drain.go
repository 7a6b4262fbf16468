package main

import (
	"context"
	"fmt"
	"io"

	"github.com/spf13/cobra"

	"cactuspath/internal/operator"
)

func drainCommand(f *flags, draining bool) *cobra.Command {
	var changeID string
	var announceOnly bool
	use, short := "drain HOST", "Announce a planned stop of a host and answer when it is safe to stop"
	if !draining {
		use, short = "undrain HOST", "End a planned stop: the host takes new work again"
	}
	cmd := &cobra.Command{
		Use: use, GroupID: commandGroup, Short: short, Args: exactly(1),
		RunE: func(cmd *cobra.Command, args []string) error {
			if changeID == "" {
				changeID = operator.NewChangeID()
			}
			return f.with(cmd, func(ctx context.Context, c *operator.Client) error {
				record, err := c.Drain(ctx, args[0], draining, changeID)
				if err != nil {
					return err
				}
				wait := draining && !announceOnly
				if wait {
					if err := c.WaitDrained(ctx, args[0]); err != nil {
						return err
					}
				}
				return f.print(cmd.OutOrStdout(), record, func(out io.Writer) {
					fmt.Fprintf(out, "%s: accepted at revision %d\n", record.What, record.Revision)
					if wait {
						fmt.Fprintf(out, "%s is safe to stop\n", args[0])
					}
				})
			})
		},
	}
	cmd.Flags().StringVar(&changeID, "change-id", "", "id of the change; made up if empty")
	if draining {
		cmd.Flags().BoolVar(&announceOnly, "announce-only", false, "do not wait until it is safe to stop")
	}
	return cmd
}
