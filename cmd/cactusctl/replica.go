package main

import (
	"context"
	"fmt"
	"io"

	"github.com/spf13/cobra"

	apiv1 "cactuspath/api/cactuspath/v1"
	"cactuspath/internal/operator"
)

func replicaCommand(f *flags) *cobra.Command {
	cmd := &cobra.Command{Use: "replica", GroupID: commandGroup, Short: "Add, replace or remove a control replica"}
	cmd.AddCommand(membershipCommand(f, "add ADDRESS", "Add the waiting replica at ADDRESS: first as a learner, then as a voter once it has caught up", 1,
		func(ctx context.Context, c *operator.Client, args []string) (*apiv1.Membership, error) {
			return c.AddReplica(ctx, args[0])
		}))
	cmd.AddCommand(membershipCommand(f, "replace NAME ADDRESS", "Replace the lost replica NAME by the waiting replica at ADDRESS", 2,
		func(ctx context.Context, c *operator.Client, args []string) (*apiv1.Membership, error) {
			return c.ReplaceReplica(ctx, args[0], args[1])
		}))
	cmd.AddCommand(membershipCommand(f, "remove NAME", "Remove the replica NAME", 1,
		func(ctx context.Context, c *operator.Client, args []string) (*apiv1.Membership, error) {
			return c.RemoveReplica(ctx, args[0])
		}))
	return cmd
}

func membershipCommand(f *flags, use, short string, args int, change func(context.Context, *operator.Client, []string) (*apiv1.Membership, error)) *cobra.Command {
	return &cobra.Command{
		Use: use, Short: short, Args: exactArgs(args),
		RunE: func(cmd *cobra.Command, args []string) error {
			return f.withClient(cmd, func(ctx context.Context, c *operator.Client) error {
				members, err := change(ctx, c, args)
				if err != nil {
					return err
				}
				return f.print(cmd.OutOrStdout(), members, func(out io.Writer) { printMembers(out, members) })
			})
		},
	}
}

func printMembers(out io.Writer, members *apiv1.Membership) {
	for _, m := range members.GetMembers() {
		role := "voter"
		if m.Learner {
			role = "learner"
		}
		fmt.Fprintf(out, "%s at %s: %s\n", m.Name, m.Address, role)
	}
}
