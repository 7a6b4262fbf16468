package main

import (
	"context"
	"fmt"
	"io"

	"github.com/spf13/cobra"

	apiv1 "cactuspath/api/cactuspath/v1"
	"cactuspath/internal/operator"
)

func statusCommand(f *flags) *cobra.Command {
	return &cobra.Command{
		Use: "status", GroupID: queryGroup, Short: "Show on how many nodes the newest revision is in force, and which are behind", Args: exactArgs(0),
		RunE: func(cmd *cobra.Command, _ []string) error {
			return f.withClient(cmd, func(ctx context.Context, c *operator.Client) error {
				s, err := c.Status(ctx)
				if err != nil {
					return err
				}
				return f.print(cmd.OutOrStdout(), s, func(out io.Writer) { printStatus(out, s) })
			})
		},
	}
}

func printStatus(out io.Writer, s *apiv1.StatusResponse) {
	fmt.Fprintf(out, "revision %d: in force on %d of %d nodes\n", s.Revision, s.InForce, s.Nodes)
	for _, n := range s.Behind {
		fmt.Fprintf(out, "  behind: %s at revision %d\n", n.Host, n.Revision)
	}
	for _, d := range s.DataCenters {
		if d.Evacuated {
			fmt.Fprintf(out, "  evacuated since revision %d: %s\n", d.ChangedAt, d.DataCenter)
		}
	}
	for _, n := range s.Draining {
		state := fmt.Sprintf("draining, %d in flight", n.InFlight)
		if n.Drained {
			state = "drained, safe to stop"
		}
		fmt.Fprintf(out, "  %s: %s\n", n.Host, state)
	}
	fmt.Fprintf(out, "control replicas (leader %s, term %d, log %d):\n", s.Log.Name, s.Log.Term, s.Log.Commit)
	for _, m := range s.Log.Membership.GetMembers() {
		role := "voter"
		if m.Learner {
			role = "learner"
		}
		if m.Id == s.Log.LeaderId {
			role = "leader"
		}
		fmt.Fprintf(out, "  %s at %s: %s\n", m.Name, m.Address, role)
	}
	fmt.Fprintln(out, "relays:")
	for _, r := range s.Relays {
		fmt.Fprintf(out, "  %s in %s: %d nodes\n", r.Host, r.DataCenter, r.Nodes)
	}
}
