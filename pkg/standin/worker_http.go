package standin

import (
	"encoding/json"
	"net/http"
	"time"

	"fulmarcourse.example/core/structs"
	"fulmarcourse.example/fulmarcourse/pkg/problem"
	"fulmarcourse.example/fulmarcourse/pkg/worker"
)

// ServeHTTP serves the worker's commands and its history.
func (w *Worker) ServeHTTP(rw http.ResponseWriter, r *http.Request) { w.mux.ServeHTTP(rw, r) }

func (w *Worker) routes() *http.ServeMux {
	mux := http.NewServeMux()
	mux.Handle("GET "+HistoryPath, w.history)
	handleCommand(mux, w, worker.RenewPath, func(req worker.RenewRequest) (any, *refusal) { return result(w.renew(req)) })
	handleCommand(mux, w, worker.StartPath, func(cmd structs.StartCommand) (any, *refusal) { return doneReply(w.start(cmd)) })
	handleCommand(mux, w, worker.CheckpointPath, func(ref worker.AttemptRef) (any, *refusal) {
		name, r := w.takeCheckpoint(ref)
		return worker.CheckpointReply{Checkpoint: name}, r
	})
	handleCommand(mux, w, worker.ThrottlePath, func(req worker.ThrottleRequest) (any, *refusal) { return doneReply(w.setThrottle(req)) })
	handleCommand(mux, w, worker.StopPath, func(ref worker.AttemptRef) (any, *refusal) { return doneReply(w.stop(ref)) })
	return mux
}

func result[T any](body T, r *refusal) (any, *refusal) { return body, r }

func doneReply(r *refusal) (any, *refusal) { return worker.Done{Done: true}, r }

// handleCommand registers a command. apply is called with w.mu held, after advance.
func handleCommand[T any](mux *http.ServeMux, w *Worker, path string, apply func(T) (any, *refusal)) {
	mux.HandleFunc("POST "+path, func(rw http.ResponseWriter, r *http.Request) {
		var req T
		if err := json.NewDecoder(r.Body).Decode(&req); err != nil {
			problem.Write(rw, problem.Problem{
				Type: worker.ProblemRefused, Title: "Invalid command", Status: http.StatusBadRequest, Detail: err.Error(),
			})
			return
		}
		time.Sleep(w.currentDelay())
		body, refused, delivered := applyCommand(w, req, apply)
		switch {
		case !delivered:
			abort()
		case refused != nil:
			w.reject(rw, path, refused)
		default:
			writeCompressed(rw, r, body)
		}
	})
}

func (w *Worker) currentDelay() time.Duration {
	w.mu.Lock()
	defer w.mu.Unlock()
	return w.delay
}

// applyCommand returns the result and whether the caller is to receive it.
func applyCommand[T any](w *Worker, req T, apply func(T) (any, *refusal)) (any, *refusal, bool) {
	w.mu.Lock()
	defer w.mu.Unlock()
	if w.down {
		return nil, nil, false
	}
	w.advance(w.clock())
	body, refused := apply(req)
	if w.responsesToLose > 0 {
		w.responsesToLose--
		return nil, nil, false
	}
	return body, refused, true
}

func (w *Worker) reject(rw http.ResponseWriter, path string, r *refusal) {
	w.history.add(w.clock(), Event{Type: CommandRefused, Host: w.id, Detail: path + ": " + r.reason})
	p := problem.Problem{Type: worker.ProblemRefused, Title: "Command refused", Status: http.StatusConflict, Detail: r.reason}
	if r.stale {
		p.Type, p.Title = worker.ProblemStaleEpoch, "Stale epoch"
	}
	problem.Write(rw, p)
}
