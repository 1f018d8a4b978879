package main

import (
	"bufio"
	"bytes"
	"cmp"
	"context"
	"encoding/json"
	"fmt"
	"io"
	"os"
	"slices"
	"strings"
	"time"

	"github.com/juju/errors"
)

const (
	// logContext is the time before the first and after the last line of a job within which lines of other events are
	// included. It exceeds the two seconds in which an owner is replaced.
	logContext = 3 * time.Second
	// maxLogLine is the maximum length of a log line, in bytes.
	maxLogLine = 1 << 20
)

// logLine is one event in the logs of entry hosts.
type logLine struct {
	Time   time.Time `json:"time"`
	Host   string    `json:"host"`
	Name   string    `json:"name"`
	Job    string    `json:"job"`
	Path   string    `json:"path"`
	Worker string    `json:"worker"`
	text   []byte
}

// contextEvents are the events that affect all jobs of a host or partition.
var contextEvents = []string{
	"term_acquired", "term_lost", "term_released", "term_unconfirmed", "term_confirmed", "partition_loaded",
	"partition_not_loaded", "takeover_complete", "progress_not_stored", "progress_stored_again", "mirror_lost",
	"mirror_recovered", "readiness_changed", "datacentres_out", "relay_lost", "scheduler_start", "scheduler_stop",
	"owner_resumed",
}

// workerEvents are the events of a worker that affect the jobs on it.
var workerEvents = []string{
	"worker_draining", "worker_reborn", "worker_held_back", "worker_unreachable", "worker_reachable",
	"worker_not_used", "worker_used_again",
}

// runJobLog prints the log lines about a job from the logs of entry hosts, ordered by time, together with the events of
// owners, the store and the job's workers in the same period.
func runJobLog(_ context.Context, a *app, args []string) error {
	flags := a.flagSet("job-log")
	if err := flags.Parse(args); err != nil {
		return usageError(err)
	}
	if flags.NArg() < 1 {
		flags.Usage()
		return usageError(errors.New("job-log needs the id of a job"))
	}
	lines, err := readLogs(flags.Args()[1:])
	if err != nil {
		return errors.Trace(err)
	}
	found := selectJobLines(lines, flags.Arg(0))
	if len(found) == 0 {
		return errors.NotFoundf("job %s in these logs", flags.Arg(0))
	}
	for _, line := range found {
		fmt.Fprintf(a.out, "%s %-22s %-22s %s\n", line.Time.Format("15:04:05.000"), line.Host, line.Name, details(line.text))
	}
	return nil
}

// readLogs reads the named files, or standard input if there are no names.
func readLogs(names []string) ([]logLine, error) {
	if len(names) == 0 {
		return parseLog(os.Stdin)
	}
	var lines []logLine
	for _, name := range names {
		file, err := os.Open(name)
		if err != nil {
			return nil, errors.Trace(err)
		}
		part, err := parseLog(file)
		_ = file.Close() // the file was only read
		if err != nil {
			return nil, errors.Annotatef(err, "reading %s", name)
		}
		lines = append(lines, part...)
	}
	return lines, nil
}

// parseLog returns the events in a log and skips lines without one. Text before the event is ignored, since log
// collectors may add a prefix to each line.
func parseLog(r io.Reader) ([]logLine, error) {
	var lines []logLine
	scanner := bufio.NewScanner(r)
	scanner.Buffer(make([]byte, 0, maxLogLine), maxLogLine)
	for scanner.Scan() {
		start := bytes.IndexByte(scanner.Bytes(), '{')
		if start < 0 {
			continue
		}
		var line logLine
		text := scanner.Bytes()[start:]
		if err := json.Unmarshal(text, &line); err != nil || line.Name == "" {
			continue
		}
		line.text = bytes.Clone(text)
		lines = append(lines, line)
	}
	return lines, errors.Trace(scanner.Err())
}

// details formats the fields of an event except for those that all events have.
func details(text []byte) string {
	var fields map[string]any
	if err := json.Unmarshal(text, &fields); err != nil {
		return err.Error()
	}
	for _, common := range []string{"time", "level", "host", "event", "name"} {
		delete(fields, common)
	}
	names := make([]string, 0, len(fields))
	for name := range fields {
		names = append(names, name)
	}
	slices.Sort(names)
	parts := make([]string, len(names))
	for i, name := range names {
		parts[i] = fmt.Sprintf("%s=%v", name, fields[name])
	}
	return strings.Join(parts, " ")
}

// selectJobLines returns the lines about a job and the context events within logContext of them, ordered by time.
func selectJobLines(lines []logLine, id string) []logLine {
	workers := map[string]bool{}
	var first, last time.Time
	for _, line := range lines {
		if !line.concernsJob(id) {
			continue
		}
		if first.IsZero() || line.Time.Before(first) {
			first = line.Time
		}
		if line.Time.After(last) {
			last = line.Time
		}
		if line.Worker != "" {
			workers[line.Worker] = true
		}
	}
	if first.IsZero() {
		return nil
	}
	from, to := first.Add(-logContext), last.Add(logContext)
	found := slices.DeleteFunc(slices.Clone(lines), func(line logLine) bool {
		if line.concernsJob(id) {
			return false
		}
		near := line.Time.After(from) && line.Time.Before(to)
		return !near || !(slices.Contains(contextEvents, line.Name) ||
			slices.Contains(workerEvents, line.Name) && workers[line.Worker])
	})
	slices.SortStableFunc(found, func(a, b logLine) int {
		return cmp.Or(a.Time.Compare(b.Time), cmp.Compare(a.Host, b.Host))
	})
	return found
}

// concernsJob reports whether the line is about a job.
func (l logLine) concernsJob(id string) bool { return l.Job == id || strings.HasSuffix(l.Path, "/"+id) }
