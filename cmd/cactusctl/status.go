package main

import (
	"context"
	"fmt"
	"io"
	"maps"
	"slices"

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
	printRelays(out, s.Relays)
	printAccounts(out, s.Accounts)
}

// maxListed is the number of relays, and of client accounts, up to which each one is printed.
const maxListed = 20

// printRelays prints the relays, or only their number and their nodes in each data centre if
// there are many.
func printRelays(out io.Writer, relays []*apiv1.RelayInfo) {
	fmt.Fprintln(out, "relays:")
	if len(relays) <= maxListed {
		for _, r := range relays {
			fmt.Fprintf(out, "  %s in %s: %d nodes\n", r.Host, r.DataCenter, r.Nodes)
		}
		return
	}
	count, nodes := map[string]int{}, map[string]uint32{}
	for _, r := range relays {
		count[r.DataCenter]++
		nodes[r.DataCenter] += r.Nodes
	}
	for _, dataCenter := range slices.Sorted(maps.Keys(count)) {
		fmt.Fprintf(out, "  %d in %s: %d nodes\n", count[dataCenter], dataCenter, nodes[dataCenter])
	}
}

// printAccounts prints the client accounts with their usage caps.
func printAccounts(out io.Writer, accounts []*apiv1.AccountStatus) {
	if len(accounts) == 0 {
		return
	}
	fmt.Fprintf(out, "client accounts: %d\n", len(accounts))
	for _, a := range accounts[:min(len(accounts), maxListed)] {
		limit := "no usage cap"
		if a.RequestsPerSecond > 0 {
			limit = fmt.Sprintf("%g requests/s, burst %g", a.RequestsPerSecond, a.Burst)
		}
		fmt.Fprintf(out, "  %s/%s: %s, %d keys, since revision %d\n", a.Institution, a.Name, limit, a.Keys, a.ChangedAt)
	}
	if more := len(accounts) - maxListed; more > 0 {
		fmt.Fprintf(out, "  %d more; --output json lists all\n", more)
	}
}
