package main

import (
	"fmt"
	"io"
	"os"

	"github.com/cockroachdb/errors"
	"github.com/spf13/cobra"
)

// player is a command that plays a file with several policies, in virtual time.
type player struct {
	use, short, long string
	// unnamed says which policies are played if none is named.
	unnamed string
	names   func() []string
	play    func(cmd *cobra.Command, f *flags, file string, policies []string, seed uint64) error
}

func (p player) command(f *flags) *cobra.Command {
	var policies []string
	var seed uint64
	var list bool
	cmd := &cobra.Command{
		Use: p.use, GroupID: toolGroup, Short: p.short, Long: p.long,
		Args: func(cmd *cobra.Command, args []string) error {
			if list {
				return nil
			}
			return exactly(1)(cmd, args)
		},
		RunE: func(cmd *cobra.Command, args []string) error {
			if !list {
				return p.play(cmd, f, args[0], policies, seed)
			}
			for _, name := range p.names() {
				fmt.Fprintln(cmd.OutOrStdout(), name)
			}
			return nil
		},
	}
	cmd.Flags().StringSliceVar(&policies, "policy", nil, "policies to play with; "+p.unnamed+" if empty")
	cmd.Flags().Uint64Var(&seed, "seed", 1, "seed of every random draw")
	cmd.Flags().BoolVar(&list, "list", false, "list the policies")
	return cmd
}

// readFile reads what a player plays; kind names it in errors.
func readFile[T any](file, kind string, read func(io.Reader) (T, error)) (played T, err error) {
	in, err := os.Open(file)
	if err != nil {
		return played, errors.Wrap(err, "open the "+kind)
	}
	defer in.Close()
	played, err = read(in)
	return played, errors.Wrap(err, file)
}
