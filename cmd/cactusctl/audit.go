package main

import (
	"context"
	"fmt"
	"io"
	"time"

	"github.com/spf13/cobra"

	apiv1 "cactuspath/api/cactuspath/v1"
	"cactuspath/internal/operator"
)

// followInterval is the polling interval of audit --follow.
const followInterval = time.Second

func auditCommand(f *flags) *cobra.Command {
	var changeID string
	var follow bool
	var after uint64
	cmd := &cobra.Command{
		Use: "audit", GroupID: queryGroup, Short: "List changes with their time, operator and outcome", Args: exactArgs(0),
		RunE: func(cmd *cobra.Command, _ []string) error {
			if follow {
				return followAudit(cmd, f, after)
			}
			return f.withClient(cmd, func(ctx context.Context, c *operator.Client) error {
				records, err := c.Audit(ctx, after, changeID, 0)
				if err != nil {
					return err
				}
				if changeID != "" && len(records) == 0 {
					return &operator.OutcomeError{Code: operator.ExitFailed, Message: fmt.Sprintf(
						"change %s was not decided: it was not accepted, and can be sent again under the same id", changeID)}
				}
				return f.print(cmd.OutOrStdout(), records, func(out io.Writer) { printRecords(out, records) })
			})
		},
	}
	cmd.Flags().StringVar(&changeID, "change", "", "print only the change with this id")
	cmd.Flags().Uint64Var(&after, "after", 0, "print only records after this log index")
	cmd.Flags().BoolVar(&follow, "follow", false, "keep polling and print new records")
	return cmd
}

func followAudit(cmd *cobra.Command, f *flags, after uint64) error {
	c, err := f.client()
	if err != nil {
		return err
	}
	for {
		ctx, cancel := context.WithTimeout(cmd.Context(), f.timeout)
		records, err := c.Audit(ctx, after, "", 0)
		cancel()
		if err != nil {
			return err
		}
		if len(records) > 0 {
			after = records[len(records)-1].Index
			if err := f.print(cmd.OutOrStdout(), records, func(out io.Writer) { printRecords(out, records) }); err != nil {
				return err
			}
		}
		select {
		case <-cmd.Context().Done():
			return nil
		case <-time.After(followInterval):
		}
	}
}

func printRecords(out io.Writer, records []*apiv1.AuditRecord) {
	for _, r := range records {
		when := time.UnixMilli(r.UnixMs).UTC().Format(time.RFC3339)
		fmt.Fprintf(out, "%d  %s  %s  %s: %s, revision %d  (change %s)\n", r.Index, when, r.Operator, r.What, operator.OutcomeText(r.Outcome), r.Revision, r.Id)
	}
}
