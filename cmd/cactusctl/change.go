package main

import (
	"context"
	"fmt"
	"io"

	"github.com/spf13/cobra"

	apiv1 "cactuspath/api/cactuspath/v1"
	"cactuspath/internal/operator"
)

// changeSpec describes a command that submits a change of one object, such as a host,
// which its argument names.
type changeSpec struct {
	use, short string
	// send submits the change.
	send func(ctx context.Context, c *operator.Client, name, changeID string) (*apiv1.AuditRecord, error)
	// wait, if not nil, waits until the change has taken effect. It is skipped with
	// --announce-only.
	wait func(ctx context.Context, c *operator.Client, name string, record *apiv1.AuditRecord) error
	// done returns the message that is printed after wait has returned. until describes
	// in the help the state that wait waits for.
	done  func(name string) string
	until string
}

// newChangeCommand returns the cobra command for s.
func newChangeCommand(f *flags, s changeSpec) *cobra.Command {
	var changeID string
	var announceOnly bool
	cmd := &cobra.Command{
		Use: s.use, GroupID: commandGroup, Short: s.short, Args: exactArgs(1),
		RunE: func(cmd *cobra.Command, args []string) error {
			if changeID == "" {
				changeID = operator.NewChangeID()
			}
			return f.withClient(cmd, func(ctx context.Context, c *operator.Client) error {
				record, err := s.send(ctx, c, args[0], changeID)
				if err != nil {
					return err
				}
				shouldWait := s.wait != nil && !announceOnly
				if shouldWait {
					if err := s.wait(ctx, c, args[0], record); err != nil {
						return err
					}
				}
				return f.print(cmd.OutOrStdout(), record, func(out io.Writer) {
					fmt.Fprintf(out, "%s: accepted at revision %d\n", record.What, record.Revision)
					if shouldWait {
						fmt.Fprintln(out, s.done(args[0]))
					}
				})
			})
		},
	}
	cmd.Flags().StringVar(&changeID, "change-id", "", "id of the change; generated if empty")
	if s.wait != nil {
		cmd.Flags().BoolVar(&announceOnly, "announce-only", false, "do not wait until "+s.until)
	}
	return cmd
}
