// Command cactusctl is the operators' command-line tool. Its commands change state; its
// queries are read-only.
package main

import (
	"context"
	"encoding/json"
	"fmt"
	"io"
	"os"
	"strings"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/spf13/cobra"

	"cactuspath/core/estate"
	"cactuspath/internal/controlclient"
	"cactuspath/internal/operator"
	"cactuspath/internal/transport"
	"cactuspath/internal/version"
)

const (
	commandGroup   = "commands"
	queryGroup     = "queries"
	toolGroup      = "tools"
	defaultTimeout = 15 * time.Second
	controlEnv     = "CACTUSPATH_CONTROL"
)

// flags holds the persistent flags of all commands.
type flags struct {
	control   []string
	output    string
	timeout   time.Duration
	name      string
	tokenFile string
	tls       transport.TLSFiles
}

func main() {
	root := newRoot()
	err := root.Execute()
	if err != nil {
		fmt.Fprintln(os.Stderr, "cactusctl:", err)
	}
	os.Exit(exitCode(err))
}

// exitCode returns ExitUsage for errors in the command line, which cobra does not
// distinguish from other errors, and otherwise the exit code for the error of the
// command.
func exitCode(err error) int {
	var usage *usageError
	if errors.As(err, &usage) {
		return operator.ExitUsage
	}
	return operator.ExitCode(err)
}

// usageError is an error in the command line.
type usageError struct{ error }

func newRoot() *cobra.Command {
	f := &flags{}
	root := &cobra.Command{
		Use:   "cactusctl",
		Short: "Operate cactuspath",
		Long: "Operate cactuspath.\n\nExit codes: 0 done, 1 failed, 2 wrong usage, 3 refused (nothing changed), 4 conflict (nothing changed),\n" +
			"5 outcome unknown, 6 cannot reach the control replicas.",
		Version:       version.Version,
		SilenceUsage:  true,
		SilenceErrors: true,
	}
	root.SetFlagErrorFunc(func(_ *cobra.Command, err error) error { return &usageError{err} })
	root.AddGroup(&cobra.Group{ID: commandGroup, Title: "Commands:"}, &cobra.Group{ID: queryGroup, Title: "Queries:"}, &cobra.Group{ID: toolGroup, Title: "Tools:"})
	p := root.PersistentFlags()
	p.StringSliceVar(&f.control, "control", envList(), "addresses of the control replicas (environment "+controlEnv+")")
	p.StringVarP(&f.output, "output", "o", "text", "output format, text or json")
	p.DurationVar(&f.timeout, "timeout", defaultTimeout, "time limit, including retries")
	p.StringVar(&f.name, "as", os.Getenv("USER"), "operator's name, used if the control replicas have no list of operators")
	p.StringVar(&f.tokenFile, "token-file", "", "file with the operator's token")
	p.StringVar(&f.tls.Certificate, "tls-certificate", "", "client certificate file, if the control replicas use TLS")
	p.StringVar(&f.tls.Key, "tls-key", "", "private key file of the certificate")
	p.StringVar(&f.tls.Authority, "tls-authority", "", "CA certificate file for the control replicas' certificates")
	root.AddCommand(submitCommand(f), drainCommand(f), undrainCommand(f), evacuateCommand(f), unevacuateCommand(f), replicaCommand(f))
	root.AddCommand(checkCommand(f), statusCommand(f), showCommand(f), diffCommand(f), auditCommand(f))
	root.AddCommand(replayCommand(f), emulateCommand(f), explainCommand(), keyDigestCommand(), versionCommand())
	return root
}

func envList() []string {
	if v := os.Getenv(controlEnv); v != "" {
		return strings.Split(v, ",")
	}
	return nil
}

// client returns a client for the control replicas given by the flags.
func (f *flags) client() (*operator.Client, error) {
	if len(f.control) == 0 {
		return nil, &usageError{errors.New("no control replica given; use --control ADDRESS or set " + controlEnv)}
	}
	if f.output != "text" && f.output != "json" {
		return nil, &usageError{errors.Newf("unknown output format %q; use --output text or --output json", f.output)}
	}
	token := ""
	if f.tokenFile != "" {
		text, err := os.ReadFile(f.tokenFile)
		if err != nil {
			return nil, errors.Wrap(err, "read the token file")
		}
		token = strings.TrimSpace(string(text))
	}
	security, err := transport.NewSecurity(f.tls)
	if err != nil {
		return nil, err
	}
	return &operator.Client{Control: controlclient.New(security, f.control, token), Name: f.name}, nil
}

// withClient calls run with a client and a context that is limited by --timeout.
func (f *flags) withClient(cmd *cobra.Command, run func(context.Context, *operator.Client) error) error {
	client, err := f.client()
	if err != nil {
		return err
	}
	ctx, cancel := context.WithTimeout(cmd.Context(), f.timeout)
	defer cancel()
	return run(ctx, client)
}

// print calls text to write the output, or writes v as JSON with --output json.
func (f *flags) print(out io.Writer, v any, text func(io.Writer)) error {
	if f.output != "json" {
		text(out)
		return nil
	}
	e := json.NewEncoder(out)
	e.SetIndent("", "  ")
	return e.Encode(v)
}

// readText reads a file, or standard input if the name is "-".
func readText(cmd *cobra.Command, file string) ([]byte, error) {
	if file == "-" {
		return io.ReadAll(cmd.InOrStdin())
	}
	text, err := os.ReadFile(file)
	return text, errors.Wrap(err, "read the estate text")
}

// readEstate reads and validates an estate text.
func readEstate(cmd *cobra.Command, file string) ([]byte, *estate.Document, error) {
	text, err := readText(cmd, file)
	if err != nil {
		return nil, nil, err
	}
	doc, problems := estate.Parse(text)
	if len(problems) > 0 {
		return nil, nil, &operator.OutcomeError{Code: operator.ExitRefused, Message: file + " has faults:\n" + operator.FormatProblems(estate.ProblemsToProto(problems))}
	}
	return text, doc, nil
}

// exactArgs is like cobra.ExactArgs, but returns a usageError.
func exactArgs(n int) cobra.PositionalArgs {
	return func(cmd *cobra.Command, args []string) error {
		if err := cobra.ExactArgs(n)(cmd, args); err != nil {
			return &usageError{err}
		}
		return nil
	}
}
