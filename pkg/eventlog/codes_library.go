package eventlog

import "github.com/phuslu/log"

// Events of go-zero's own logger, 1900 to 1999.
var (
	LibraryInfo  = define(1900, "library_info", log.DebugLevel, "go-zero wrote an informational line.")
	LibraryError = define(1901, "library_error", log.WarnLevel, "go-zero reported an error.")
)
