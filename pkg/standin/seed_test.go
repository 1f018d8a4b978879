package standin_test

import "flag"

// A fixed seed makes property tests reproducible; -rapid.seed overrides it.
func init() { _ = flag.Set("rapid.seed", "1") }
