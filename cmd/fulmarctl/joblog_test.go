package main

import (
	"strings"
	"testing"
)

const sampleLog = `noise before
  12.1 entry-1 {"time":"2026-01-01T10:00:05.000Z","host":"entry-1","event":7021,"name":"task_end","job":"aa","worker":"w1","how":"failed"}
{"time":"2026-01-01T10:00:01.000Z","host":"entry-2","event":7100,"name":"job_stored","job":"aa"}
{"time":"2026-01-01T10:00:03.000Z","host":"entry-1","event":7000,"name":"term_acquired","term":2}
{"time":"2026-01-01T10:00:04.000Z","host":"entry-1","event":7033,"name":"worker_unreachable","worker":"w1"}
{"time":"2026-01-01T10:00:04.000Z","host":"entry-1","event":7033,"name":"worker_unreachable","worker":"w2"}
{"time":"2026-01-01T10:00:04.500Z","host":"entry-1","event":7100,"name":"job_stored","job":"bb"}
{"time":"2026-01-01T10:01:04.000Z","host":"entry-1","event":7000,"name":"term_acquired","term":3}
{"time":"2026-01-01T10:00:06.000Z","host":"entry-3","event":7108,"name":"request_refused","path":"/queue/aa","reason":"store unreachable"}
{"time":"2026-01-01T10:00:04.100Z","host":"entry-1","event":7039,"name":"task_waits","job":"aa","reason":"takeover","worker":"w3"}
{"time":"2026-01-01T10:00:04.200Z","host":"entry-1","event":7039,"name":"task_waits","job":"bb","reason":"no_capacity","worker":"w2"}
{"time":"2026-01-01T10:00:04.300Z","host":"entry-1","event":7033,"name":"worker_unreachable","worker":"w3"}
{"broken
`

// Guards against a job log that misses lines of the job, its workers, the worker that it waits for or its owner, or that includes unrelated lines.
func TestJobLogSelectsLinesOfTheJobAndItsContext(t *testing.T) {
	lines, err := parseLog(strings.NewReader(sampleLog))
	if err != nil {
		t.Fatal(err)
	}
	var names []string
	for _, line := range selectJobLines(lines, "aa") {
		names = append(names, line.Name)
	}
	want := "job_stored term_acquired worker_unreachable task_waits worker_unreachable task_end request_refused"
	if got := strings.Join(names, " "); got != want {
		t.Fatalf("got %s, want %s", got, want)
	}
	if selectJobLines(lines, "cc") != nil {
		t.Fatal("lines were selected for an unknown job")
	}
}
