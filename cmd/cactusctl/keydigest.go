package main

import (
	"encoding/hex"
	"fmt"
	"io"
	"strings"

	"github.com/cockroachdb/errors"
	"github.com/spf13/cobra"

	"cactuspath/core/estate"
)

func keyDigestCommand() *cobra.Command {
	return &cobra.Command{
		Use: "key-digest", GroupID: toolGroup, Short: "Print the digest of a client account's key, for keyDigests in an estate text", Args: exactArgs(0),
		Long: "Print the digest of a client account's key, for keyDigests in an estate text.\n\n" +
			"The key is read from standard input, so that it appears in no shell history or list of processes.",
		RunE: func(cmd *cobra.Command, _ []string) error {
			text, err := io.ReadAll(cmd.InOrStdin())
			if err != nil {
				return errors.Wrap(err, "read the key")
			}
			key := strings.TrimSpace(string(text))
			if key == "" || strings.ContainsAny(key, " \t\r\n") {
				return &usageError{errors.New("the key is empty or contains spaces; write one key to standard input")}
			}
			digest := estate.KeyDigest(key)
			fmt.Fprintln(cmd.OutOrStdout(), hex.EncodeToString(digest[:]))
			return nil
		},
	}
}
