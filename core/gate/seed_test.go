package gate

import "flag"

// Property tests use a fixed seed, so that a run can be repeated; -rapid.seed on the
// command line overrides it.
func init() { _ = flag.Set("rapid.seed", "1") }
