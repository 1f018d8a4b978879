package eventlog

import "github.com/phuslu/log"

// Events of go-zero's own logger, 1900 to 1999.
var (
	LibraryInfo  = define(1900, "library_info", log.DebugLevel, "go-zero logged an informational message.")
	CallPanicked = define(1902, "call_panicked", log.ErrorLevel, "The handler of a call from another entry host panicked; the call failed. `method` and `cause` state where and why, `stack` the place.")
	LibraryError = define(1901, "library_error", log.WarnLevel, "go-zero logged an error.")
)
