package standin

import (
	"cmp"
	"context"
	"encoding/json"
	"fmt"
	"net/http"
	"slices"
	"strconv"
	"sync"
	"time"

	"github.com/juju/errors"

	"fulmarcourse.example/core/structs"
	"fulmarcourse.example/fulmarcourse/pkg/httpsend"
	"fulmarcourse.example/fulmarcourse/pkg/problem"
)

// HistoryPath is the resource that returns the history as JSON.
const HistoryPath = "/v1/history"

// EventType is the type of an Event.
type EventType string

// Types of events.
const (
	TaskStarted      EventType = "task-started"
	TaskStopped      EventType = "task-stopped"
	TaskFinished     EventType = "task-finished"
	TaskFailed       EventType = "task-failed"
	TaskExpired      EventType = "task-expired" // the task's lease expired and the worker stopped the task
	TaskCheckpointed EventType = "task-checkpointed"
	TaskThrottled    EventType = "task-throttled"
	CommandRefused   EventType = "command-refused"
	RequestStarted   EventType = "request-started"
	RequestAnswered  EventType = "request-answered"
	RequestRefused   EventType = "request-refused"
	ConnRefused      EventType = "connection-refused" // the runner was at its connection limit
	HostChanged      EventType = "host-changed"       // a host was changed or removed; the list shows this after its lag
)

// Event is one entry of a History. Fields that do not apply are zero.
type Event struct {
	Sequence   int64             `json:"sequence"` // order of recording, from 1, over all fakes that share a History
	At         time.Duration     `json:"at_ns"`    // monotonic time since the History was created; it orders events
	Type       EventType         `json:"type"`
	Host       structs.HostID    `json:"host"`
	Task       structs.TaskID    `json:"task,omitzero"`
	Attempt    int               `json:"attempt,omitempty"`
	Kind       structs.KindName  `json:"kind,omitempty"`
	Epoch      structs.Epoch     `json:"epoch,omitempty"`
	Reserved   structs.Resources `json:"reserved,omitzero"`
	Checkpoint string            `json:"checkpoint,omitempty"`
	Request    string            `json:"request,omitempty"` // attempt id of a request
	Body       string            `json:"body,omitempty"`    // request body
	Detail     string            `json:"detail,omitempty"`
}

// History records the events of one or more fakes. It is safe for concurrent use. A fake may record an event some
// time after it happened, so compare At and not Sequence between hosts.
type History struct {
	start time.Time

	mu     sync.Mutex
	events []Event
}

// NewHistory returns an empty history whose time starts at the current time of clock, which is time.Now when nil.
func NewHistory(clock func() time.Time) *History {
	if clock == nil {
		clock = time.Now
	}
	return &History{start: clock()}
}

// Elapsed returns the time from the start of the history to now, for comparison with Event.At.
func (h *History) Elapsed(now time.Time) time.Duration { return now.Sub(h.start) }

// add records e as having happened at the given time.
func (h *History) add(at time.Time, e Event) {
	h.mu.Lock()
	defer h.mu.Unlock()
	e.Sequence = int64(len(h.events)) + 1
	e.At = at.Sub(h.start)
	h.events = append(h.events, e)
}

// Events returns a copy of all events in order of recording.
func (h *History) Events() []Event {
	h.mu.Lock()
	defer h.mu.Unlock()
	return append([]Event(nil), h.events...)
}

// OfType returns a copy of the events of one type in order of recording.
func (h *History) OfType(event EventType) []Event {
	return slices.DeleteFunc(h.Events(), func(e Event) bool { return e.Type != event })
}

// HistoryBody is the JSON form of a history.
type HistoryBody struct {
	Events []Event `json:"events"`
}

// FetchHistory reads the events after a sequence number from the fake at endpoint ("http://IP:port").
func FetchHistory(ctx context.Context, endpoint string, after int64) ([]Event, error) {
	client := httpsend.NewClient(httpsend.Config{Name: "history"})
	defer client.CloseIdle()
	resp, err := client.Get(ctx, fmt.Sprintf("%s%s?after=%d", endpoint, HistoryPath, after))
	if err != nil {
		return nil, errors.Annotate(err, "fetch history")
	}
	var body HistoryBody
	if err := json.Unmarshal(resp.Body, &body); err != nil || resp.Status != http.StatusOK {
		return nil, errors.Errorf("fetch history: status %d: %v", resp.Status, err)
	}
	return body.Events, nil
}

// ServeHTTP returns the events as a HistoryBody. The query parameter "after" leaves out the events up to that
// sequence number.
func (h *History) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	after, err := strconv.Atoi(cmp.Or(r.URL.Query().Get("after"), "0"))
	if err != nil {
		problem.Write(w, problem.Problem{Title: "Invalid query", Status: http.StatusBadRequest, Detail: "after is not a number"})
		return
	}
	events := h.Events()
	WriteJSON(w, http.StatusOK, HistoryBody{Events: events[min(max(after, 0), len(events)):]})
}
