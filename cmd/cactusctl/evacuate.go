package main

import (
	"context"

	"github.com/spf13/cobra"

	apiv1 "cactuspath/api/cactuspath/v1"
	"cactuspath/internal/operator"
)

func evacuateCommand(f *flags) *cobra.Command {
	return orderCommand(f, evacuation("evacuate DATA-CENTRE", "Send no more requests to a data centre's backend servers; answers once all nodes know", true))
}

func unevacuateCommand(f *flags) *cobra.Command {
	return orderCommand(f, evacuation("unevacuate DATA-CENTRE", "End an evacuation: the data centre's backend servers get requests again", false))
}

func evacuation(use, short string, evacuated bool) order {
	return order{
		use: use, short: short,
		send: func(ctx context.Context, c *operator.Client, dataCenter, changeID string) (*apiv1.AuditRecord, error) {
			return c.Evacuate(ctx, dataCenter, evacuated, changeID)
		},
		wait: func(ctx context.Context, c *operator.Client, _ string, record *apiv1.AuditRecord) error {
			_, err := c.WaitInForce(ctx, record.Revision, 0)
			return err
		},
		done:  func(string) string { return "in force on all nodes" },
		until: "all nodes know",
	}
}
