// Package eventlog writes structured log events, each with a stable number and name. docs/EVENTS.md lists them.
package eventlog

import (
	"fmt"
	"io"
	"runtime/debug"

	"github.com/phuslu/log"
)

// Code is the number of an event. Numbers are never reused.
type Code int

// Definition describes one event in the catalogue.
type Definition struct {
	Code        Code
	Name        string
	Level       log.Level
	Description string // meaning of the event and action for the operator, if any
}

// catalogue holds the definitions of all events by number.
var catalogue = map[Code]Definition{}

// define adds an event to the catalogue. It is called only in the initialisation of package-level variables.
func define(code Code, name string, level log.Level, description string) Code {
	if _, exists := catalogue[code]; exists {
		panic("eventlog: event number defined twice: " + name)
	}
	catalogue[code] = Definition{code, name, level, description}
	return code
}

// essentialEvents are the events below the level of warnings that are needed to follow a process as a whole. They are
// rare.
var essentialEvents = map[Code]bool{
	SchedulerStart: true, SchedulerStop: true, SchedulerReload: true, ReadinessChanged: true, PartitionStatus: true,
	ServicesNeedPlaces: true, OwnerCaughtUp: true, WorkerUsedAgain: true,
	TermAcquired: true, TermReleased: true, TermConfirmed: true, PartitionLoaded: true, TakeoverComplete: true,
	ProgressStored: true, MirrorRecovered: true, RelayOpened: true, RelayReplaced: true, OwnerHandedOver: true,
	OwnerStopped: true, ConfigurationInUse: true, DatacentresOutOfService: true,
}

// essential reports whether lines of the event are kept when others are dropped.
func (d Definition) essential() bool { return d.Level >= log.WarnLevel || essentialEvents[d.Code] }

// essentialWriter is implemented by writers that may drop lines, and then drop essential lines last.
type essentialWriter interface {
	WriteEssential(line []byte) (int, error)
}

// writeEssential adapts an essentialWriter to io.Writer.
type writeEssential struct{ essentialWriter }

func (w writeEssential) Write(line []byte) (int, error) { return w.WriteEssential(line) }

// Logger writes the events of one process.
type Logger struct {
	ordinary  log.Logger
	essential log.Logger
}

// NewLogger returns a logger that writes JSON lines to w and drops events below level.
func NewLogger(w io.Writer, level log.Level, host string) *Logger {
	l := &Logger{ordinary: log.Logger{
		Level:   level,
		Writer:  log.IOWriter{Writer: w},
		Context: log.NewContext(nil).Str("host", host).Value(),
	}}
	l.essential = l.ordinary
	if w, ok := w.(essentialWriter); ok {
		l.essential.Writer = log.IOWriter{Writer: writeEssential{w}}
	}
	return l
}

// Discard returns a logger that writes nothing.
func Discard() *Logger { return NewLogger(io.Discard, log.PanicLevel, "") }

// Event starts a log entry for code. The caller adds fields and writes the entry with Msg.
func (l *Logger) Event(code Code) *log.Entry {
	def := catalogue[code]
	logger := &l.ordinary
	if def.essential() {
		logger = &l.essential
	}
	return logger.WithLevel(def.Level).Int("event", int(code)).Str("name", def.Name)
}

// CallPanicked logs that the handler of a call from another entry host has panicked. It is called while the panic is
// recovered, so that the stack shows its place.
func (l *Logger) CallPanicked(method string, cause any) {
	l.Event(CallPanicked).Str("method", method).Str("cause", fmt.Sprint(cause)).Str("stack", string(debug.Stack())).Msg("")
}

// ConnectionReplaced logs that a silent connection to an entry host was replaced by a new one.
func (l *Logger) ConnectionReplaced(addr string) {
	l.Event(PeerConnReplaced).Str("address", addr).Msg("")
}
