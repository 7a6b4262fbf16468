package main

import (
	"context"
	"fmt"
	"os"
	"os/signal"
	"syscall"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/spf13/cobra"

	"cactuspath/examples"
	"cactuspath/internal/dev"
	"cactuspath/internal/operator"
)

const (
	devNodes      = 3
	devService    = "hello"
	submitTimeout = 20 * time.Second
)

func devCommand() *cobra.Command {
	var estateFile string
	var tour, verbose bool
	cmd := &cobra.Command{
		Use:   "dev [--estate FILE] [--tour]",
		Short: "Run everything in one process on loopback: a control replica, nodes, stand-in backend servers",
		Args:  cobra.NoArgs,
		RunE: func(cmd *cobra.Command, _ []string) error {
			configureLogs(verbose)
			text := examples.Dev
			if estateFile != "" {
				var err error
				if text, err = os.ReadFile(estateFile); err != nil {
					return errors.Wrap(err, "read the estate text")
				}
			}
			folder, err := os.MkdirTemp("", "cactuspath-dev-")
			if err != nil {
				return err
			}
			defer os.RemoveAll(folder)
			if tour {
				return dev.Tour(cmd.OutOrStdout(), folder, text)
			}
			return runDev(cmd, folder, text)
		},
	}
	cmd.Flags().StringVar(&estateFile, "estate", "", "estate text to submit instead of the built-in one; it must contain a service named hello")
	cmd.Flags().BoolVar(&tour, "tour", false, "demonstrate each part in turn, print the outcome of each step, and exit")
	cmd.Flags().BoolVar(&verbose, "verbose", false, "log state changes to standard error")
	return cmd
}

// configureLogs discards the logs of this process, which runs about a dozen components,
// unless verbose is set.
func configureLogs(verbose bool) {
	if verbose {
		setLogOutput(os.Stderr, 0)
		return
	}
	discardLogs()
}

func runDev(cmd *cobra.Command, folder string, text []byte) error {
	c, err := dev.Start(folder, devNodes, devService)
	if err != nil {
		return err
	}
	ctx, cancel := signal.NotifyContext(cmd.Context(), syscall.SIGTERM, syscall.SIGINT)
	defer cancel()
	submitContext, cancelSubmit := context.WithTimeout(ctx, submitTimeout)
	defer cancelSubmit()
	record, err := c.Operator.Submit(submitContext, text, 0, operator.NewChangeID())
	if err != nil {
		return errors.CombineErrors(err, c.Stop())
	}
	out := cmd.OutOrStdout()
	fmt.Fprintf(out, "estate accepted at revision %d\ncontrol replica: %s\n", record.Revision, c.Control)
	for i, n := range c.Nodes {
		fmt.Fprintf(out, "host-%d: callers %s, admin %s\n", i+1, n.Address(), n.AdminAddress())
	}
	fmt.Fprintf(out, "try: curl -H 'Host: hello.example' http://%s/\n     cactusctl --control %s status\nstop with Ctrl-C\n", c.Nodes[0].Address(), c.Control)
	<-ctx.Done()
	return c.Stop()
}
