package main

import (
	"context"

	"github.com/spf13/cobra"

	apiv1 "cactuspath/api/cactuspath/v1"
	"cactuspath/internal/operator"
)

func drainCommand(f *flags) *cobra.Command {
	return newChangeCommand(f, changeSpec{
		use: "drain HOST", short: "Announce a planned stop of a host and wait until it is safe to stop",
		send: setDraining(true),
		wait: func(ctx context.Context, c *operator.Client, host string, _ *apiv1.AuditRecord) error {
			return c.WaitDrained(ctx, host)
		},
		done:  func(host string) string { return host + " is safe to stop" },
		until: "it is safe to stop",
	})
}

func undrainCommand(f *flags) *cobra.Command {
	return newChangeCommand(f, changeSpec{use: "undrain HOST", short: "Cancel a planned stop: the host accepts new requests again", send: setDraining(false)})
}

func setDraining(draining bool) func(context.Context, *operator.Client, string, string) (*apiv1.AuditRecord, error) {
	return func(ctx context.Context, c *operator.Client, host, changeID string) (*apiv1.AuditRecord, error) {
		return c.Drain(ctx, host, draining, changeID)
	}
}
