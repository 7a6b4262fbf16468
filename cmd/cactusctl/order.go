package main

import (
	"context"
	"fmt"
	"io"

	"github.com/spf13/cobra"

	apiv1 "cactuspath/api/cactuspath/v1"
	"cactuspath/internal/operator"
)

// order is a command that asks for one change of what its argument names.
type order struct {
	use, short string
	// send has the change agreed on.
	send func(ctx context.Context, c *operator.Client, name, changeID string) (*apiv1.AuditRecord, error)
	// wait, if not nil, waits until the change is carried out. With --announce-only it
	// is left out.
	wait func(ctx context.Context, c *operator.Client, name string, record *apiv1.AuditRecord) error
	// done is printed once wait has ended, and until describes it in the help.
	done  func(name string) string
	until string
}

// orderCommand is the command of an order.
func orderCommand(f *flags, o order) *cobra.Command {
	var changeID string
	var announceOnly bool
	cmd := &cobra.Command{
		Use: o.use, GroupID: commandGroup, Short: o.short, Args: exactly(1),
		RunE: func(cmd *cobra.Command, args []string) error {
			if changeID == "" {
				changeID = operator.NewChangeID()
			}
			return f.with(cmd, func(ctx context.Context, c *operator.Client) error {
				record, err := o.send(ctx, c, args[0], changeID)
				if err != nil {
					return err
				}
				waits := o.wait != nil && !announceOnly
				if waits {
					if err := o.wait(ctx, c, args[0], record); err != nil {
						return err
					}
				}
				return f.print(cmd.OutOrStdout(), record, func(out io.Writer) {
					fmt.Fprintf(out, "%s: accepted at revision %d\n", record.What, record.Revision)
					if waits {
						fmt.Fprintln(out, o.done(args[0]))
					}
				})
			})
		},
	}
	cmd.Flags().StringVar(&changeID, "change-id", "", "id of the change; made up if empty")
	if o.wait != nil {
		cmd.Flags().BoolVar(&announceOnly, "announce-only", false, "do not wait until "+o.until)
	}
	return cmd
}
