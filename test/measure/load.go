package measure

import (
	"context"
	"fmt"
	"io"
	"math/rand/v2"
	"net/http"
	"strings"
	"sync"
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"

	"fulmarcourse.example/core/structs"
	"fulmarcourse.example/fulmarcourse/pkg/httpapi"
)

// Range and precision of recorded latencies.
const (
	maxLatency        = time.Minute
	significantDigits = 3
)

// RequestStats counts the requests of a load by the outcome that callers received.
type RequestStats struct {
	Answered int
	NotRun   int
	Unknown  int
	Lost     int                     // no reply
	Latency  *hdrhistogram.Histogram // of answered requests, in microseconds
}

// NewRequestStats returns statistics without requests.
func NewRequestStats() *RequestStats {
	return &RequestStats{Latency: hdrhistogram.New(1, maxLatency.Microseconds(), significantDigits)}
}

// Total returns the number of requests.
func (r *RequestStats) Total() int { return r.Answered + r.NotRun + r.Unknown + r.Lost }

// Merge adds the requests of other.
func (r *RequestStats) Merge(other *RequestStats) {
	r.Answered += other.Answered
	r.NotRun += other.NotRun
	r.Unknown += other.Unknown
	r.Lost += other.Lost
	r.Latency.Merge(other.Latency)
}

// record counts a request by its outcome, and records its latency if it was answered.
func (r *RequestStats) record(outcome structs.Outcome, took time.Duration) {
	switch outcome {
	case structs.Answered:
		r.Answered++
		_ = r.Latency.RecordValue(took.Microseconds()) // fails only for values above maxLatency; calls time out earlier
	case structs.NotRun:
		r.NotRun++
	case structs.OutcomeUnknown:
		r.Unknown++
	default:
		r.Lost++
	}
}

// Load is an open-loop load: requests arrive at random times, whether or not earlier ones have completed, so that a
// slow system cannot reduce the rate at which it is measured (coordinated omission; Tene, "How NOT to measure
// latency").
type Load struct {
	Rate     float64 // arrivals per second
	Deadline time.Duration
	Kind     structs.KindName
	Bases    []string // URLs of entry hosts, chosen at random with equal shares
	Label    string   // prefix of the body of each request
	Seed     uint64
}

// callerConns is the number of idle connections that callers keep to each entry host.
const callerConns = 4096

var callers = &http.Client{
	Timeout:   maxLatency / 2,
	Transport: &http.Transport{MaxIdleConnsPerHost: callerConns},
}

// Run sends requests until ctx ends and returns the statistics of those that arrived after warmUp.
func (l Load) Run(ctx context.Context, warmUp time.Duration) *RequestStats {
	random := rand.New(rand.NewPCG(l.Seed, 0))
	result := NewRequestStats()
	var mu sync.Mutex
	var wait sync.WaitGroup
	start := time.Now()
	next := start
	for n := 0; ; n++ {
		next = next.Add(time.Duration(random.ExpFloat64() / l.Rate * float64(time.Second)))
		if !sleepUntil(ctx, next) {
			break
		}
		base := l.Bases[random.IntN(len(l.Bases))]
		counted, arrived := next.Sub(start) >= warmUp, next
		wait.Go(func() {
			outcome := l.send(base, n, counted)
			took := time.Since(arrived)
			mu.Lock()
			defer mu.Unlock()
			if counted {
				result.record(outcome, took)
			}
		})
	}
	wait.Wait()
	return result
}

// pause waits for d. The phases of a measurement have fixed lengths; no test result depends on them.
func pause(d time.Duration) { <-time.After(d) }

// sleepUntil waits until at and reports whether ctx has not ended by then.
func sleepUntil(ctx context.Context, at time.Time) bool {
	if wait := time.Until(at); wait > 0 {
		timer := time.NewTimer(wait)
		defer timer.Stop()
		select {
		case <-timer.C:
		case <-ctx.Done():
		}
	}
	return ctx.Err() == nil
}

// Body returns the body of the nth request: the label, whether the request is counted, and n, which makes it unique.
func (l Load) Body(n int, counted bool) string { return fmt.Sprintf("%s %t %d", l.Label, counted, n) }

func (l Load) send(base string, n int, counted bool) structs.Outcome {
	url := fmt.Sprintf("%s/v1/services/quotes/%s", base, l.Kind)
	req, err := http.NewRequest(http.MethodPost, url, strings.NewReader(l.Body(n, counted)))
	if err != nil {
		return ""
	}
	req.Header.Set(httpapi.TimeoutHeader, fmt.Sprint(l.Deadline.Milliseconds()))
	resp, err := callers.Do(req)
	if err != nil {
		return ""
	}
	defer func() { _ = resp.Body.Close() }()
	if _, err := io.Copy(io.Discard, resp.Body); err != nil {
		return ""
	}
	return structs.Outcome(resp.Header.Get(httpapi.OutcomeHeader))
}
