package kv

// PageAttempts is pageAttempts for tests.
const PageAttempts = pageAttempts
