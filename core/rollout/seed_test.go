package rollout

import "flag"

// Property tests use a fixed seed so that runs are reproducible; -rapid.seed on
// the command line overrides it.
func init() { _ = flag.Set("rapid.seed", "1") }
