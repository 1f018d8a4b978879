package fleet

import (
	"io"
	"net/http"
	"sync"

	"github.com/juju/errors"

	"fulmarcourse.example/fulmarcourse/pkg/standin"
)

// Endpoint is an address at which one worker after another may listen. It keeps its port for as long as the platform runs, so that
// no server of another test gets calls that are meant for it. It is an http.Handler.
type Endpoint struct {
	Address string // at which callers reach it
	server  *standin.Server

	mu     sync.Mutex // guards the fields below; locked after Worker.mu
	worker *Worker    // that listens; nil for none
	silent bool       // calls get no response while no worker listens; otherwise their connections are closed
}

// newEndpoint opens an endpoint at which no worker listens yet.
func (p *Platform) newEndpoint() (*Endpoint, error) {
	e := &Endpoint{}
	server, err := standin.NewServer(e)
	if err != nil {
		return nil, errors.Annotate(err, "endpoint of a worker")
	}
	e.server, e.Address = server, p.cfg.ProxyAddress(server.Addr())
	p.mu.Lock()
	p.endpoints = append(p.endpoints, e)
	p.mu.Unlock()
	return e, nil
}

// attach makes a worker listen at the endpoint.
func (e *Endpoint) attach(w *Worker) {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.worker = w
}

// detach ends the listening of a worker, unless another one listens there by now.
func (e *Endpoint) detach(w *Worker, silent bool) {
	e.mu.Lock()
	defer e.mu.Unlock()
	if e.worker == w {
		e.worker, e.silent = nil, silent
	}
}

// ServeHTTP implements http.Handler.
func (e *Endpoint) ServeHTTP(rw http.ResponseWriter, r *http.Request) {
	e.mu.Lock()
	worker, silent := e.worker, e.silent
	e.mu.Unlock()
	if worker != nil {
		worker.ServeHTTP(rw, r)
		return
	}
	if silent {
		_, _ = io.Copy(io.Discard, r.Body) // the end of the connection is noticed only after the body was read
		<-r.Context().Done()
	}
	panic(http.ErrAbortHandler)
}
