// Command cactuspath runs on each host: as a node next to a backend server, as a control
// replica, or as both.
package main

import (
	"fmt"
	"os"

	"github.com/spf13/cobra"

	"cactuspath/internal/version"
)

func main() {
	root := &cobra.Command{
		Use:           "cactuspath",
		Short:         "Load balancer for servers whose load shifts in milliseconds",
		Version:       version.Version,
		SilenceUsage:  true,
		SilenceErrors: true,
	}
	root.AddCommand(runCommand(), checkCommand(), initCommand(), devCommand(), backendCommand())
	if err := root.Execute(); err != nil {
		fmt.Fprintln(os.Stderr, "cactuspath:", err)
		os.Exit(1)
	}
}
