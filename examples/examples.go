// Package examples contains the estates used by the documentation and by the tour of
// `cactuspath dev`.
package examples

import _ "embed"

// Dev is the estate that `cactuspath dev` submits.
//
//go:embed dev.jsonc
var Dev []byte
