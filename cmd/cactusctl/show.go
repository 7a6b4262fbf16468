package main

import (
	"context"
	"fmt"
	"io"
	"strings"

	"github.com/spf13/cobra"

	"cactuspath/internal/diff"
	"cactuspath/internal/operator"
)

func showCommand(f *flags) *cobra.Command {
	return &cobra.Command{
		Use: "show INSTITUTION", GroupID: queryGroup, Short: "Print an institution's newest accepted estate text", Args: exactArgs(1),
		RunE: func(cmd *cobra.Command, args []string) error {
			return f.withClient(cmd, func(ctx context.Context, c *operator.Client) error {
				s, err := c.Show(ctx, args[0])
				if err != nil {
					return err
				}
				if s.Revision == 0 {
					return &operator.OutcomeError{Code: operator.ExitFailed, Message: fmt.Sprintf("no text of institution %q was accepted; there are: %s",
						args[0], strings.Join(s.Institutions, ", "))}
				}
				return f.print(cmd.OutOrStdout(), s, func(out io.Writer) {
					fmt.Fprintf(out, "// revision %d\n%s", s.Revision, s.Text)
				})
			})
		},
	}
}

func diffCommand(f *flags) *cobra.Command {
	return &cobra.Command{
		Use: "diff FILE", GroupID: queryGroup, Short: "Compare the newest accepted estate text with a file", Args: exactArgs(1),
		RunE: func(cmd *cobra.Command, args []string) error {
			text, doc, err := readEstate(cmd, args[0])
			if err != nil {
				return err
			}
			return f.withClient(cmd, func(ctx context.Context, c *operator.Client) error {
				s, err := c.Show(ctx, doc.Institution)
				if err != nil {
					return err
				}
				lines := diff.Lines(string(s.Text), string(text))
				return f.print(cmd.OutOrStdout(), lines, func(out io.Writer) {
					fmt.Fprintf(out, "revision %d against %s\n", s.Revision, args[0])
					for _, l := range lines {
						fmt.Fprintln(out, l)
					}
				})
			})
		},
	}
}
