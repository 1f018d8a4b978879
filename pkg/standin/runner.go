package standin

import (
	"math/rand/v2"
	"net"
	"net/http"
	"sync"
	"time"

	"fulmarcourse.example/core/structs"
)

// RunnerConfig configures a Runner.
type RunnerConfig struct {
	ID          structs.HostID
	Slots       int                                // requests run at once; 8 when zero
	MaxConns    int                                // open connections; 64 when zero
	ServiceTime map[structs.KindName]time.Duration // mean at full speed
	MilliCPU    int64                              // used by each running request; 1000 when zero
	Seed        uint64                             // of the service times
	Colocated   *Worker                            // slows requests and is slowed by them; may be nil
	// Answer returns the body of the answer to a request. Answers repeat the kind and the request body when it is nil.
	Answer  func(kind structs.KindName, body []byte) []byte
	Clock   func() time.Time // time.Now when nil
	History *History         // a new one when nil
}

// Defaults of RunnerConfig. Slots and connections are limited as on production runners.
const (
	defaultSlots    = 8
	defaultMaxConns = 64
	defaultMilliCPU = 1000
)

// AnswerFault is a fault of a runner's answer.
type AnswerFault string

// Faults of answers. The request runs in every case.
const (
	AnswerTruncated  AnswerFault = "truncated" // the connection closes halfway through the body
	AnswerMismatched AnswerFault = "crossed"   // the answer to an earlier request is sent
	AnswerWithoutID  AnswerFault = "foreign"   // the answer carries no attempt id
	AnswerLost       AnswerFault = "lost"      // the connection closes without an answer
	AnswerLate       AnswerFault = "late"      // the answer is sent after the time set with SetAnswerDelay
)

// Runner is a fake of a runner. It is an http.Handler; Listen also limits its connections.
type Runner struct {
	cfg     RunnerConfig
	mux     *http.ServeMux
	closing chan struct{}

	mu          sync.Mutex
	random      *rand.Rand
	busy        int
	conns       map[net.Conn]bool
	maxBusy     int
	maxConns    int
	slowdown    float64       // factor of service times
	answerDelay time.Duration // delay of late answers
	frozen      chan struct{} // closed when the runner resumes; nil when it is not frozen
	faults      []AnswerFault // of the next answers
	previous    answer        // the answer that AnswerMismatched sends
}

// answer is a response that a runner has computed.
type answer struct {
	id   string
	body []byte
}

// NewRunner returns an idle runner.
func NewRunner(cfg RunnerConfig) *Runner {
	if cfg.Slots == 0 {
		cfg.Slots = defaultSlots
	}
	if cfg.MaxConns == 0 {
		cfg.MaxConns = defaultMaxConns
	}
	if cfg.MilliCPU == 0 {
		cfg.MilliCPU = defaultMilliCPU
	}
	if cfg.Clock == nil {
		cfg.Clock = time.Now
	}
	if cfg.History == nil {
		cfg.History = NewHistory(cfg.Clock)
	}
	if cfg.Answer == nil {
		cfg.Answer = echo
	}
	r := &Runner{
		cfg: cfg, closing: make(chan struct{}), random: rand.New(rand.NewPCG(cfg.Seed, 0)),
		conns: map[net.Conn]bool{}, slowdown: 1,
		previous: answer{id: "another-attempt", body: []byte("answer to another request")},
	}
	r.mux = r.routes()
	return r
}

// echo returns the kind and the request body, so that a test can match an answer to its request.
func echo(kind structs.KindName, body []byte) []byte {
	return append([]byte(string(kind)+" answer to "), body...)
}

// Listen serves the runner on 127.0.0.1 at a free port and enforces its connection limit.
func (r *Runner) Listen() (*Server, error) { return newServer(r, r.limitConns) }

// Close ends the simulated service time of all running requests.
func (r *Runner) Close() { close(r.closing) }

// SetSlowdown multiplies service times by factor.
func (r *Runner) SetSlowdown(factor float64) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.slowdown = factor
}

// SetFrozen stops or resumes all running requests. New requests still take slots.
func (r *Runner) SetFrozen(frozen bool) {
	r.mu.Lock()
	defer r.mu.Unlock()
	switch {
	case frozen && r.frozen == nil:
		r.frozen = make(chan struct{})
	case !frozen && r.frozen != nil:
		close(r.frozen)
		r.frozen = nil
	}
}

// SetAnswerDelay sets the delay of answers with the fault AnswerLate.
func (r *Runner) SetAnswerDelay(d time.Duration) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.answerDelay = d
}

// FailAnswers queues faults for the next answers, one each.
func (r *Runner) FailAnswers(faults ...AnswerFault) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.faults = append(r.faults, faults...)
}

// Load is the current and the highest use of a runner.
type Load struct {
	Busy     int `json:"busy"`      // requests running
	MaxBusy  int `json:"max_busy"`  // most requests running at once so far
	Conns    int `json:"conns"`     // open connections
	MaxConns int `json:"max_conns"` // most open connections at once so far
}

// Load returns the current load. Connections are counted only when the runner was started with Listen.
func (r *Runner) Load() Load {
	r.mu.Lock()
	defer r.mu.Unlock()
	return Load{Busy: r.busy, MaxBusy: r.maxBusy, Conns: len(r.conns), MaxConns: r.maxConns}
}

// limitConns closes connections above the limit. net/http calls it for every state change of a connection.
func (r *Runner) limitConns(c net.Conn, state http.ConnState) {
	r.mu.Lock()
	defer r.mu.Unlock()
	switch state {
	case http.StateNew:
		if len(r.conns) >= r.cfg.MaxConns {
			_ = c.Close()
			r.cfg.History.add(r.cfg.Clock(), Event{Type: ConnRefused, Host: r.cfg.ID})
			return
		}
		r.conns[c] = true
		r.maxConns = max(r.maxConns, len(r.conns))
	case http.StateClosed, http.StateHijacked:
		delete(r.conns, c)
	}
}

// acquire takes a slot and draws a service time. The second result is false when all slots are busy.
func (r *Runner) acquire(kind structs.KindName) (time.Duration, bool) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.busy >= r.cfg.Slots {
		return 0, false
	}
	r.busy++
	r.maxBusy = max(r.maxBusy, r.busy)
	return r.drawServiceTime(kind), true
}

// drawServiceTime returns a service time: half of the mean is fixed and half is exponential. r.mu is held.
func (r *Runner) drawServiceTime(kind structs.KindName) time.Duration {
	mean := float64(r.cfg.ServiceTime[kind])
	return time.Duration(r.slowdown * mean * (0.5 + 0.5*r.random.ExpFloat64()))
}

// release frees a slot and returns the answer to send: own or, if the fault is AnswerMismatched, the answer to the
// previous request.
func (r *Runner) release(own answer, fault AnswerFault) answer {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.busy--
	sent := own
	if fault == AnswerMismatched {
		sent = r.previous
	}
	r.previous = own
	return sent
}

// nextFault returns the fault of the next answer and its delay.
func (r *Runner) nextFault() (AnswerFault, time.Duration) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if len(r.faults) == 0 {
		return "", 0
	}
	fault := r.faults[0]
	r.faults = r.faults[1:]
	if fault == AnswerLate {
		return fault, r.answerDelay
	}
	return fault, 0
}

// wait sleeps for d, and then until the runner is not frozen. It returns early when the runner is closed.
func (r *Runner) wait(d time.Duration) {
	if d > 0 {
		timer := time.NewTimer(d)
		defer timer.Stop()
		select {
		case <-timer.C:
		case <-r.closing:
			return
		}
	}
	r.mu.Lock()
	frozen := r.frozen
	r.mu.Unlock()
	if frozen != nil {
		select {
		case <-frozen:
		case <-r.closing:
		}
	}
}
