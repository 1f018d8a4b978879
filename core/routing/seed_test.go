package routing

import "flag"

// A fixed seed gives property tests the same verdict on every run; -rapid.seed overrides it.
func init() { _ = flag.Set("rapid.seed", "1") }
