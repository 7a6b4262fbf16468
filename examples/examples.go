// Package examples holds the estates that the documentation and the tour use.
package examples

import _ "embed"

// Dev is the estate of `cactuspath dev`.
//
//go:embed dev.jsonc
var Dev []byte
