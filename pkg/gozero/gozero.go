// Package gozero configures the parts of go-zero that act on the whole process: its logger and its signal handling.
package gozero

import (
	"fmt"
	"time"

	"github.com/zeromicro/go-zero/core/logx"
	"github.com/zeromicro/go-zero/core/proc"

	"fulmarcourse.example/fulmarcourse/pkg/eventlog"
)

// forceQuit is longer than any accepted shutdown timeout.
const forceQuit = 24 * time.Hour

// writer sends the lines of go-zero's logger to a Logger.
type writer struct {
	logger *eventlog.Logger
}

// Configure makes go-zero's package-level logger write its errors through logger. Its informational lines are
// off: the HTTP client writes one per call, which on an idle host is most of the log.
//
// go-zero also handles SIGTERM by itself and by default kills the process 5.5 s later, which would cut requests in
// progress. The daemon bounds its shutdown, so go-zero's limit is moved out of the way.
func Configure(logger *eventlog.Logger) {
	proc.SetTimeToForceQuit(forceQuit)
	// go-zero's server runs its own set-up once and would replace a writer that was set before it.
	logx.MustSetup(logx.LogConf{ServiceName: "fulmard", Mode: "console", Level: "error"})
	logx.SetWriter(writer{logger})
	logx.SetLevel(logx.ErrorLevel)
	logx.DisableStat()
}

func (w writer) write(code eventlog.Code, v any, fields []logx.LogField) {
	entry := w.logger.Event(code)
	for _, field := range fields {
		entry = entry.Any(field.Key, field.Value)
	}
	entry.Msg(fmt.Sprint(v))
}

func (w writer) Alert(v any)                          { w.write(eventlog.LibraryError, v, nil) }
func (w writer) Close() error                         { return nil }
func (w writer) Debug(v any, fields ...logx.LogField) { w.write(eventlog.LibraryInfo, v, fields) }
func (w writer) Error(v any, fields ...logx.LogField) { w.write(eventlog.LibraryError, v, fields) }
func (w writer) Info(v any, fields ...logx.LogField)  { w.write(eventlog.LibraryInfo, v, fields) }
func (w writer) Severe(v any)                         { w.write(eventlog.LibraryError, v, nil) }
func (w writer) Slow(v any, fields ...logx.LogField)  { w.write(eventlog.LibraryInfo, v, fields) }
func (w writer) Stack(v any)                          { w.write(eventlog.LibraryError, v, nil) }
func (w writer) Stat(v any, fields ...logx.LogField)  { w.write(eventlog.LibraryInfo, v, fields) }
