package main

import (
	"context"
	"fmt"
	"os/signal"
	"syscall"
	"time"

	"github.com/spf13/cobra"

	"cactuspath/internal/standin"
)

func backendCommand() *cobra.Command {
	var service, address, admin, limit string
	var delay time.Duration
	var slots int
	cmd := &cobra.Command{
		Use:   "backend --service NAME --admin ADDRESS",
		Short: "Run a stand-in backend server for trials",
		Long: "Run a stand-in backend server for trials. It announces itself to the node at the given admin address.\n\n" +
			"Query parameters of a request control its response: sleep=DURATION, status=CODE, bytes=N, reset=N. " +
			"limit=N and leaving=BOOL set what all responses say of the server from then on.",
		Args: cobra.NoArgs,
		RunE: func(cmd *cobra.Command, _ []string) error {
			s := &standin.Server{Service: service, Node: admin, Slots: slots}
			s.SetDelay(delay)
			s.SetLimit(limit)
			if err := s.Listen(address); err != nil {
				return err
			}
			fmt.Fprintf(cmd.OutOrStdout(), "stand-in of %s on %s\n", service, s.Address())
			ctx, cancel := signal.NotifyContext(context.Background(), syscall.SIGTERM, syscall.SIGINT)
			defer cancel()
			return s.Run(ctx)
		},
	}
	cmd.Flags().StringVar(&service, "service", "", "service that the server belongs to")
	cmd.Flags().StringVar(&address, "address", "127.0.0.1:0", "address to listen on")
	cmd.Flags().StringVar(&admin, "admin", "", "admin address of the node on the same host; not announced if empty")
	cmd.Flags().DurationVar(&delay, "delay", 0, "processing time of each request")
	cmd.Flags().IntVar(&slots, "slots", 0, "number of slots to announce; the number in the estate if 0")
	cmd.Flags().StringVar(&limit, "limit", "", "limit that the responses name, in requests per second; none if empty")
	_ = cmd.MarkFlagRequired("service")
	return cmd
}
