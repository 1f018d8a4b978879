package eventlog

import (
	"fmt"

	"github.com/phuslu/log"
	"github.com/zeromicro/go-zero/core/logx"
)

// Events of go-zero's own logger, 1900 to 1999.
var (
	LibraryInfo  = define(1900, "library_info", log.DebugLevel, "go-zero wrote an informational line.")
	LibraryError = define(1901, "library_error", log.WarnLevel, "go-zero reported an error.")
)

// goZeroWriter sends the lines of go-zero's logger to a Logger.
type goZeroWriter struct {
	logger *Logger
}

// CaptureGoZero makes go-zero's package-level logger write its errors through logger. Its informational lines are
// off: the HTTP client writes one per call, which on an idle host is most of the log.
func CaptureGoZero(logger *Logger) {
	// go-zero's server runs its own set-up once and would replace a writer that was set before it.
	logx.MustSetup(logx.LogConf{ServiceName: "fulmard", Mode: "console", Level: "error"})
	logx.SetWriter(goZeroWriter{logger})
	logx.SetLevel(logx.ErrorLevel)
	logx.DisableStat()
}

func (w goZeroWriter) write(code Code, v any, fields []logx.LogField) {
	entry := w.logger.Event(code)
	for _, field := range fields {
		entry = entry.Any(field.Key, field.Value)
	}
	entry.Msg(fmt.Sprint(v))
}

func (w goZeroWriter) Alert(v any)                          { w.write(LibraryError, v, nil) }
func (w goZeroWriter) Close() error                         { return nil }
func (w goZeroWriter) Debug(v any, fields ...logx.LogField) { w.write(LibraryInfo, v, fields) }
func (w goZeroWriter) Error(v any, fields ...logx.LogField) { w.write(LibraryError, v, fields) }
func (w goZeroWriter) Info(v any, fields ...logx.LogField)  { w.write(LibraryInfo, v, fields) }
func (w goZeroWriter) Severe(v any)                         { w.write(LibraryError, v, nil) }
func (w goZeroWriter) Slow(v any, fields ...logx.LogField)  { w.write(LibraryInfo, v, fields) }
func (w goZeroWriter) Stack(v any)                          { w.write(LibraryError, v, nil) }
func (w goZeroWriter) Stat(v any, fields ...logx.LogField)  { w.write(LibraryInfo, v, fields) }
