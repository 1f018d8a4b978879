package standin

import (
	"encoding/json"
	"net/http"
	"time"

	"github.com/juju/errors"

	"fulmarcourse.example/core/structs"
	"fulmarcourse.example/fulmarcourse/pkg/problem"
)

// ControlPath is the resource on the host list's server that accepts a Control, for tests that run the platform in
// another process.
const ControlPath = "/v1/control"

// StatusPath is the resource on the host list's server that returns a Status.
const StatusPath = "/v1/status"

// Status holds the store calls and the runner loads of a platform.
type Status struct {
	Store   StoreCalls              `json:"store"`
	Runners map[structs.HostID]Load `json:"runners"`
}

// Status returns the calls to the store and the load of the runners.
func (p *Platform) Status() Status {
	status := Status{Store: p.Store.Calls(), Runners: map[structs.HostID]Load{}}
	for id, r := range p.Runners {
		status.Runners[id] = r.Load()
	}
	return status
}

// serveStatus returns the Status as JSON.
func (p *Platform) serveStatus(w http.ResponseWriter, _ *http.Request) {
	WriteJSON(w, http.StatusOK, p.Status())
}

// ErrUnknownHost means that a Control names a host that the platform does not have. No part of it was applied.
const ErrUnknownHost = errors.ConstError("unknown host")

// Control changes settings and injects faults in a platform. Fields that are nil or empty change nothing.
type Control struct {
	Store    *StoreControl                        `json:"store,omitempty"`
	HostList *HostListControl                     `json:"host_list,omitempty"`
	Workers  map[structs.HostID]WorkerControl     `json:"workers,omitempty"`
	Runners  map[structs.HostID]RunnerControl     `json:"runners,omitempty"`
	States   map[structs.HostID]structs.HostState `json:"states,omitempty"` // in the host list, after its lag
	Kill     []structs.HostID                     `json:"kill,omitempty"`
}

// StoreControl changes settings of the store.
type StoreControl struct {
	Down          *bool          `json:"down,omitempty"`
	Delay         *time.Duration `json:"delay_ns,omitempty"`
	LoseResponses *int           `json:"lose_responses,omitempty"`
}

// HostListControl changes settings of the host list.
type HostListControl struct {
	Down *bool          `json:"down,omitempty"`
	Lag  *time.Duration `json:"lag_ns,omitempty"`
}

// WorkerControl changes settings of a worker.
type WorkerControl struct {
	Down          *bool          `json:"down,omitempty"`
	Failing       *bool          `json:"failing,omitempty"`
	Delay         *time.Duration `json:"delay_ns,omitempty"`
	LoseResponses *int           `json:"lose_responses,omitempty"`
}

// RunnerControl changes settings of a runner.
type RunnerControl struct {
	Slowdown    *float64       `json:"slow,omitempty"`
	Frozen      *bool          `json:"frozen,omitempty"`
	AnswerDelay *time.Duration `json:"late_by_ns,omitempty"`
	FailAnswers []AnswerFault  `json:"fail_answers,omitempty"`
}

// Apply makes the changes that c requests. Errors match ErrUnknownHost.
func (p *Platform) Apply(c Control) error {
	if err := p.checkHosts(c); err != nil {
		return err
	}
	if s := c.Store; s != nil {
		setIfGiven(s.Down, p.Store.SetDown)
		setIfGiven(s.Delay, p.Store.SetDelay)
		setIfGiven(s.LoseResponses, p.Store.LoseResponses)
	}
	if l := c.HostList; l != nil {
		setIfGiven(l.Down, p.HostList.SetDown)
		setIfGiven(l.Lag, p.HostList.SetLag)
	}
	for id, w := range c.Workers {
		setIfGiven(w.Down, p.Workers[id].SetDown)
		setIfGiven(w.Failing, p.Workers[id].SetFailing)
		setIfGiven(w.Delay, p.Workers[id].SetDelay)
		setIfGiven(w.LoseResponses, p.Workers[id].LoseResponses)
	}
	for id, r := range c.Runners {
		setIfGiven(r.Slowdown, p.Runners[id].SetSlowdown)
		setIfGiven(r.Frozen, p.Runners[id].SetFrozen)
		setIfGiven(r.AnswerDelay, p.Runners[id].SetAnswerDelay)
		p.Runners[id].FailAnswers(r.FailAnswers...)
	}
	for id, state := range c.States {
		p.HostList.SetState(id, state)
	}
	for _, id := range c.Kill {
		p.Kill(id)
	}
	return nil
}

func setIfGiven[T any](value *T, set func(T)) {
	if value != nil {
		set(*value)
	}
}

// checkHosts returns an error if c names a host that the platform does not have.
func (p *Platform) checkHosts(c Control) error {
	for id := range c.Workers {
		if p.Workers[id] == nil {
			return errors.Annotatef(ErrUnknownHost, "worker %q", id)
		}
	}
	for id := range c.Runners {
		if p.Runners[id] == nil {
			return errors.Annotatef(ErrUnknownHost, "runner %q", id)
		}
	}
	for id := range c.States {
		if p.servers[id] == nil {
			return errors.Annotatef(ErrUnknownHost, "state of %q", id)
		}
	}
	for _, id := range c.Kill {
		if p.servers[id] == nil {
			return errors.Annotatef(ErrUnknownHost, "kill %q", id)
		}
	}
	return nil
}

// serveControl applies the Control in the request body.
func (p *Platform) serveControl(w http.ResponseWriter, r *http.Request) {
	var c Control
	decoder := json.NewDecoder(r.Body)
	decoder.DisallowUnknownFields()
	err := decoder.Decode(&c)
	if err == nil {
		err = p.Apply(c)
	}
	if err != nil {
		problem.Write(w, problem.Problem{Title: "Control rejected", Status: http.StatusBadRequest, Detail: err.Error()})
		return
	}
	w.WriteHeader(http.StatusNoContent)
}
