package main

import (
	"os/signal"
	"syscall"

	"github.com/spf13/cobra"
	"k8s.io/klog/v2"

	"cactuspath/internal/adapter"
	"cactuspath/internal/process"
	"cactuspath/internal/settings"
	"cactuspath/platform"
)

func runCommand() *cobra.Command {
	var file string
	cmd := &cobra.Command{
		Use:   "run --settings FILE",
		Short: "Run a node, a control replica, or both, as the settings say",
		Long: "Run a node, a control replica, or both, as the settings say.\n\n" +
			"SIGTERM and SIGINT are a planned stop: new work is refused as not run, work in flight ends, then the process exits 0.",
		Args: cobra.NoArgs,
		RunE: func(cmd *cobra.Command, _ []string) error {
			s, err := settings.Load(file)
			if err != nil {
				return err
			}
			setLogLevel(s.LogLevel)
			defer klog.Flush()
			ctx, cancel := signal.NotifyContext(cmd.Context(), syscall.SIGTERM, syscall.SIGINT)
			defer cancel()
			p, err := process.Open(s, adapters())
			if err != nil {
				return err
			}
			return p.Run(ctx)
		},
	}
	settingsFlag(cmd, &file)
	return cmd
}

// adapters are the platforms that this program can run on.
func adapters() map[string]adapter.Adapter {
	return map[string]adapter.Adapter{platform.Name: platform.New()}
}

func settingsFlag(cmd *cobra.Command, file *string) {
	cmd.Flags().StringVar(file, "settings", "", "settings file (JSON with comments)")
	_ = cmd.MarkFlagRequired("settings")
}
