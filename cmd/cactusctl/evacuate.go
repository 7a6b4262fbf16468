package main

import (
	"context"

	"github.com/spf13/cobra"

	apiv1 "cactuspath/api/cactuspath/v1"
	"cactuspath/internal/operator"
)

func evacuateCommand(f *flags) *cobra.Command {
	return newChangeCommand(f, evacuationChange("evacuate DATA-CENTRE", "Stop sending requests to a data centre's backend servers, and wait until all nodes apply it", true))
}

func unevacuateCommand(f *flags) *cobra.Command {
	return newChangeCommand(f, evacuationChange("unevacuate DATA-CENTRE", "Cancel an evacuation: the data centre's backend servers get requests again", false))
}

func evacuationChange(use, short string, evacuated bool) changeSpec {
	return changeSpec{
		use: use, short: short,
		send: func(ctx context.Context, c *operator.Client, dataCenter, changeID string) (*apiv1.AuditRecord, error) {
			return c.Evacuate(ctx, dataCenter, evacuated, changeID)
		},
		wait: func(ctx context.Context, c *operator.Client, _ string, record *apiv1.AuditRecord) error {
			_, err := c.WaitInForce(ctx, record.Revision, 0)
			return err
		},
		done:  func(string) string { return "in force on all nodes" },
		until: "all nodes apply it",
	}
}
