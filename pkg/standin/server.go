// Package standin holds small fakes of the platform for tests and for the standalone mode: the store, workers,
// runners and the host list. Their behaviour can be changed at run time to imitate faults. The fakes that run
// tasks or answer requests record what they did in a History.
package standin

import (
	"bytes"
	"compress/gzip"
	"encoding/json"
	"io"
	"net"
	"net/http"
	"sync"
	"time"

	"github.com/juju/errors"
)

// loopbackAddress is the address on which the fakes listen.
const loopbackAddress = "127.0.0.1:0"

// readHeaderTimeout ends connections that send no request.
const readHeaderTimeout = time.Minute

// Server serves a handler on a loopback address.
type Server struct {
	http     *http.Server
	listener net.Listener
	done     chan struct{}
}

// NewServer starts to serve handler on 127.0.0.1 at a free port.
func NewServer(handler http.Handler) (*Server, error) {
	return newServer(handler, nil)
}

// newServer is NewServer with a hook for every state change of a connection; connState may be nil.
func newServer(handler http.Handler, connState func(net.Conn, http.ConnState)) (*Server, error) {
	listener, err := net.Listen("tcp", loopbackAddress)
	if err != nil {
		return nil, errors.Annotate(err, "listen")
	}
	s := &Server{
		http:     &http.Server{Handler: handler, ConnState: connState, ReadHeaderTimeout: readHeaderTimeout},
		listener: listener,
		done:     make(chan struct{}),
	}
	go func() {
		defer close(s.done)
		_ = s.http.Serve(listener) // returns when Close is called
	}()
	return s, nil
}

// Addr returns "127.0.0.1:port".
func (s *Server) Addr() string { return s.listener.Addr().String() }

// URL returns "http://127.0.0.1:port".
func (s *Server) URL() string { return "http://" + s.Addr() }

// Close closes the listener and all connections. Later connections are refused.
func (s *Server) Close() {
	_ = s.http.Close()
	<-s.done
}

// abort closes the connection of the current request without a response.
func abort() { panic(http.ErrAbortHandler) }

// WriteJSON answers with a status and a JSON body.
func WriteJSON(w http.ResponseWriter, status int, body any) {
	data, err := json.Marshal(body)
	if err != nil {
		http.Error(w, err.Error(), http.StatusInternalServerError)
		return
	}
	w.Header().Set("Content-Type", "application/json")
	w.WriteHeader(status)
	_, _ = w.Write(data) // the caller may have closed the connection
}

// minCompressBytes is the size of the smallest body that is compressed.
const minCompressBytes = 512

// gzipWriters pools gzip writers, because a new one allocates hundreds of kilobytes.
var gzipWriters = sync.Pool{New: func() any {
	encoder, _ := gzip.NewWriterLevel(io.Discard, gzip.BestSpeed) // fails only for unknown levels
	return encoder
}}

// writeCompressed is WriteJSON with status 200, and with compression for callers that accept it.
func writeCompressed(w http.ResponseWriter, r *http.Request, body any) {
	data, err := json.Marshal(body)
	if err != nil {
		http.Error(w, err.Error(), http.StatusInternalServerError)
		return
	}
	w.Header().Set("Content-Type", "application/json")
	if len(data) < minCompressBytes || r.Header.Get("Accept-Encoding") != "gzip" {
		_, _ = w.Write(data) // the caller may have closed the connection
		return
	}
	var packed bytes.Buffer
	encoder := gzipWriters.Get().(*gzip.Writer)
	defer gzipWriters.Put(encoder)
	encoder.Reset(&packed)
	_, _ = encoder.Write(data) // writes to memory do not fail
	_ = encoder.Close()
	w.Header().Set("Content-Encoding", "gzip")
	_, _ = w.Write(packed.Bytes())
}
