package main

import (
	"fmt"
	"io"
	"os"

	"github.com/cockroachdb/errors"
	"github.com/spf13/cobra"
)

// simulation is a command that runs a trace or scenario file with several policies, in
// virtual time.
type simulation struct {
	use, short, long string
	// defaultPolicies is the description, for the help, of the policies that run if
	// --policy is not set.
	defaultPolicies string
	policyNames     func() []string
	run             func(cmd *cobra.Command, f *flags, file string, policies []string, seed uint64) error
}

func (s simulation) command(f *flags) *cobra.Command {
	var policies []string
	var seed uint64
	var list bool
	cmd := &cobra.Command{
		Use: s.use, GroupID: toolGroup, Short: s.short, Long: s.long,
		Args: func(cmd *cobra.Command, args []string) error {
			if list {
				return nil
			}
			return exactArgs(1)(cmd, args)
		},
		RunE: func(cmd *cobra.Command, args []string) error {
			if !list {
				return s.run(cmd, f, args[0], policies, seed)
			}
			for _, name := range s.policyNames() {
				fmt.Fprintln(cmd.OutOrStdout(), name)
			}
			return nil
		},
	}
	cmd.Flags().StringSliceVar(&policies, "policy", nil, "policies to run; "+s.defaultPolicies+" if empty")
	cmd.Flags().Uint64Var(&seed, "seed", 1, "seed of the random number generator")
	cmd.Flags().BoolVar(&list, "list", false, "list the policies and exit")
	return cmd
}

// readFile opens a file and decodes it with read; kind describes the file in errors.
func readFile[T any](file, kind string, read func(io.Reader) (T, error)) (content T, err error) {
	in, err := os.Open(file)
	if err != nil {
		return content, errors.Wrap(err, "open the "+kind)
	}
	defer in.Close()
	content, err = read(in)
	return content, errors.Wrap(err, file)
}
