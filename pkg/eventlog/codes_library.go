package eventlog

import "github.com/phuslu/log"

// Events of go-zero's own logger, 1900 to 1999.
var (
	LibraryInfo  = define(1900, "library_info", log.DebugLevel, "go-zero logged an informational message.")
	LibraryError = define(1901, "library_error", log.WarnLevel, "go-zero logged an error.")
)
