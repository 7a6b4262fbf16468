// Command cactuspath is the process on each host: a node beside a backend
// server, a control replica, or both.
package main

import (
	"flag"
	"fmt"
	"os"
	"strconv"

	"github.com/spf13/cobra"
	"k8s.io/klog/v2"

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

// setLogLevel sets klog's verbosity; logs go to standard error.
func setLogLevel(level int) {
	flags := flag.NewFlagSet("klog", flag.ContinueOnError)
	klog.InitFlags(flags)
	_ = flags.Set("v", strconv.Itoa(level))
	_ = flags.Set("logtostderr", "true")
}
