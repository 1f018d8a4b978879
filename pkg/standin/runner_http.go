package standin

import (
	"io"
	"net/http"
	"strconv"
	"time"

	"fulmarcourse.example/core/structs"
	"fulmarcourse.example/fulmarcourse/pkg/runner"
)

// ServeHTTP serves requests and the runner's history.
func (r *Runner) ServeHTTP(w http.ResponseWriter, req *http.Request) { r.mux.ServeHTTP(w, req) }

func (r *Runner) routes() *http.ServeMux {
	mux := http.NewServeMux()
	mux.Handle("GET "+HistoryPath, r.cfg.History)
	mux.HandleFunc("POST "+runner.PathPattern, r.serve)
	return mux
}

// serve runs one request. Like most servers, it finishes the request even when the caller has disconnected.
func (r *Runner) serve(w http.ResponseWriter, req *http.Request) {
	id := req.Header.Get(runner.AttemptHeader)
	kind := structs.KindName(req.PathValue("kind"))
	body, err := io.ReadAll(req.Body)
	if err != nil {
		abort() // the request is incomplete, so it does not run
	}
	event := Event{Host: r.cfg.ID, Kind: kind, Request: id, Body: string(body)}
	service, ok := r.acquire(kind)
	if !ok {
		r.record(RequestRefused, event)
		w.Header().Set(runner.OutcomeHeader, runner.OutcomeNotRun)
		writeResponse(w, id, http.StatusServiceUnavailable, []byte("all slots are busy"))
		return
	}
	r.record(RequestStarted, event)
	r.run(kind, service)
	fault, delay := r.nextFault()
	r.wait(delay)
	// The slot is free before the answer is sent, because the caller counts it as free once it has the answer.
	sent := r.release(answer{id: id, body: r.cfg.Answer(kind, body)}, fault)
	event.Detail = string(fault)
	r.record(RequestAnswered, event)
	sendAnswer(w, sent, fault)
}

// run waits for the service time, which co-located tasks lengthen.
func (r *Runner) run(kind structs.KindName, service time.Duration) {
	if w := r.cfg.Colocated; w != nil {
		service = time.Duration(float64(service) * w.RequestSlowdown(kind))
		w.AddRequests(kind, 1, r.cfg.MilliCPU)
		defer w.AddRequests(kind, -1, r.cfg.MilliCPU)
	}
	r.wait(service)
}

func (r *Runner) record(event EventType, e Event) {
	e.Type = event
	r.cfg.History.add(r.cfg.Clock(), e)
}

// sendAnswer sends an answer with a fault, if any.
func sendAnswer(w http.ResponseWriter, a answer, fault AnswerFault) {
	switch fault {
	case AnswerLost:
		abort()
	case AnswerTruncated:
		writeHeader(w, a.id, http.StatusOK, len(a.body))
		_, _ = w.Write(a.body[:len(a.body)/2])
		_ = http.NewResponseController(w).Flush()
		abort()
	case AnswerWithoutID:
		writeResponse(w, "", http.StatusOK, a.body)
	default:
		writeResponse(w, a.id, http.StatusOK, a.body)
	}
}

func writeResponse(w http.ResponseWriter, id string, status int, body []byte) {
	writeHeader(w, id, status, len(body))
	_, _ = w.Write(body) // the caller may have closed the connection
}

func writeHeader(w http.ResponseWriter, id string, status, length int) {
	if id != "" {
		w.Header().Set(runner.AttemptHeader, id)
	}
	w.Header().Set("Content-Type", "application/octet-stream")
	w.Header().Set("Content-Length", strconv.Itoa(length))
	w.WriteHeader(status)
}
