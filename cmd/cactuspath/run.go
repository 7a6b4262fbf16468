package main

import (
	"os"
	"os/signal"
	"runtime/debug"
	"syscall"

	"github.com/spf13/cobra"

	"cactuspath/internal/adapter"
	"cactuspath/internal/process"
	"cactuspath/internal/resources"
	"cactuspath/internal/settings"
	"cactuspath/platform"
)

func runCommand() *cobra.Command {
	var file string
	cmd := &cobra.Command{
		Use:   "run --settings FILE",
		Short: "Run a node, a control replica, or both, according to the settings",
		Long: "Run a node, a control replica, or both, according to the settings.\n\n" +
			"SIGTERM and SIGINT start a planned stop: new requests are rejected without being run, requests in flight complete, then the process exits with 0.\n" +
			"SIGHUP reloads the settings file. Changes of the file are also detected without it.",
		Args: cobra.NoArgs,
		RunE: func(cmd *cobra.Command, _ []string) error {
			s, err := settings.Load(file)
			if err != nil {
				return err
			}
			defer startLogging(s.LogLevel)()
			debug.SetGCPercent(s.GCPercent)
			resources.LimitHeap(s.MemoryMB)
			ctx, cancel := signal.NotifyContext(cmd.Context(), syscall.SIGTERM, syscall.SIGINT)
			defer cancel()
			p, err := process.Open(s, adapters())
			if err != nil {
				return err
			}
			reloadSignals := make(chan os.Signal, 1)
			signal.Notify(reloadSignals, syscall.SIGHUP)
			go p.WatchSettings(ctx, file, reloadSignals)
			return p.Run(ctx)
		},
	}
	addSettingsFlag(cmd, &file)
	return cmd
}

// adapters returns the available platform adapters by name.
func adapters() map[string]adapter.Adapter {
	return map[string]adapter.Adapter{platform.Name: platform.New()}
}

// addSettingsFlag adds the required --settings flag.
func addSettingsFlag(cmd *cobra.Command, file *string) {
	cmd.Flags().StringVar(file, "settings", "", "settings file (JSON with comments)")
	_ = cmd.MarkFlagRequired("settings")
}
