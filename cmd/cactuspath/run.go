package main

import (
	"os"
	"os/signal"
	"runtime/debug"
	"syscall"

	"github.com/spf13/cobra"

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
			"SIGTERM and SIGINT are a planned stop: new work is refused as not run, work in flight ends, then the process exits 0.\n" +
			"SIGHUP has the settings file read again; a change of the file is noticed without it, too.",
		Args: cobra.NoArgs,
		RunE: func(cmd *cobra.Command, _ []string) error {
			s, err := settings.Load(file)
			if err != nil {
				return err
			}
			defer startLogs(s.LogLevel)()
			debug.SetGCPercent(s.GCPercent)
			ctx, cancel := signal.NotifyContext(cmd.Context(), syscall.SIGTERM, syscall.SIGINT)
			defer cancel()
			p, err := process.Open(s, adapters())
			if err != nil {
				return err
			}
			hangups := make(chan os.Signal, 1)
			signal.Notify(hangups, syscall.SIGHUP)
			go p.WatchSettings(ctx, file, hangups)
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
