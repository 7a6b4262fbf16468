package main

import (
	"context"
	"fmt"
	"io"

	"github.com/spf13/cobra"

	"cactuspath/core/estate"
	"cactuspath/internal/operator"
)

func submitCommand(f *flags) *cobra.Command {
	var base int64
	var changeID string
	var wait bool
	cmd := &cobra.Command{
		Use:     "submit FILE",
		GroupID: commandGroup,
		Short:   "Submit an institution's estate text",
		Long: "Submit an institution's estate text (a file, or - for standard input).\n\n" +
			"The text replaces the one at revision --base; if another change was accepted first, the command reports a conflict and nothing changes.\n" +
			"Without --base, the newest revision is used as the base, and changes that you have not seen may be overwritten: prefer --base.\n" +
			"If a response is lost, run the same command with the same --change-id: it returns the first outcome.",
		Args: exactArgs(1),
		RunE: func(cmd *cobra.Command, args []string) error {
			text, err := readText(cmd, args[0])
			if err != nil {
				return err
			}
			if changeID == "" {
				changeID = operator.NewChangeID()
			}
			return f.withClient(cmd, func(ctx context.Context, c *operator.Client) error {
				if base < 0 {
					if base, err = newestRevision(ctx, c, text); err != nil {
						return err
					}
				}
				return submit(ctx, cmd, f, c, text, uint64(base), changeID, wait)
			})
		},
	}
	cmd.Flags().Int64Var(&base, "base", -1, "revision that the change is based on; 0 for an institution's first text")
	cmd.Flags().StringVar(&changeID, "change-id", "", "id of the change; generated if empty")
	cmd.Flags().BoolVar(&wait, "wait", false, "wait until it is in force on every node")
	return cmd
}

// newestRevision returns the newest revision of the text's institution.
func newestRevision(ctx context.Context, c *operator.Client, text []byte) (int64, error) {
	doc, problems := estate.Parse(text)
	if len(problems) > 0 {
		return 0, &operator.OutcomeError{Code: operator.ExitRefused, Message: "refused, nothing was changed:\n" + operator.FormatProblems(estate.ProblemsToProto(problems))}
	}
	shown, err := c.Show(ctx, doc.Institution)
	if err != nil {
		return 0, err
	}
	return int64(shown.Revision), nil
}

func submit(ctx context.Context, cmd *cobra.Command, f *flags, c *operator.Client, text []byte, base uint64, changeID string, wait bool) error {
	record, err := c.Submit(ctx, text, base, changeID)
	if err != nil {
		return err
	}
	if wait {
		if _, err := c.WaitInForce(ctx, record.Revision, 0); err != nil {
			return err
		}
	}
	return f.print(cmd.OutOrStdout(), record, func(out io.Writer) {
		fmt.Fprintf(out, "accepted at revision %d (change %s)\n", record.Revision, record.Id)
		if wait {
			fmt.Fprintln(out, "in force on every node")
		}
	})
}
