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
	// logContext is how much before the first and after the last line of a job other lines count as context: an owner
	// is replaced within two seconds.
	logContext = 3 * time.Second
	// maxLogLine is the longest log line that is read, in bytes.
	maxLogLine = 1 << 20
)

// logLine is one line of the logs of entry hosts.
type logLine struct {
	Time   time.Time `json:"time"`
	Host   string    `json:"host"`
	Name   string    `json:"name"`
	Job    string    `json:"job"`
	Path   string    `json:"path"`
	Worker string    `json:"worker"`
	text   []byte
}

// contextEvents are the events that concern all jobs of a host or partition.
var contextEvents = []string{
	"term_acquired", "term_lost", "term_released", "term_unconfirmed", "term_confirmed", "partition_loaded",
	"partition_not_loaded", "takeover_complete", "progress_not_stored", "progress_stored_again", "mirror_lost",
	"mirror_recovered", "readiness_changed", "datacentres_out", "relay_lost", "scheduler_start", "scheduler_stop",
}

// workerEvents are the events of a worker that matter to the jobs on it.
var workerEvents = []string{
	"worker_draining", "worker_reborn", "worker_held_back", "worker_unreachable", "worker_reachable",
}

// runJobLog prints what the logs of entry hosts say about a job, in the order of time, with the changes of owners, the
// store and the job's workers around it.
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
	found := aboutJob(lines, flags.Arg(0))
	if len(found) == 0 {
		return errors.NotFoundf("job %s in these logs", flags.Arg(0))
	}
	for _, line := range found {
		fmt.Fprintf(a.out, "%s %-22s %-22s %s\n", line.Time.Format("15:04:05.000"), line.Host, line.Name, details(line.text))
	}
	return nil
}

// readLogs reads the files, or standard input when there are none.
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
		_ = file.Close() // it was only read
		if err != nil {
			return nil, errors.Annotatef(err, "reading %s", name)
		}
		lines = append(lines, part...)
	}
	return lines, nil
}

// parseLog leaves out lines that are no events; a collector of logs may have put text before the event.
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

// details returns the fields of an event that every event does not have.
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

// aboutJob returns the lines of a job and those around it, ordered by time.
func aboutJob(lines []logLine, id string) []logLine {
	workers := map[string]bool{}
	var first, last time.Time
	for _, line := range lines {
		if !line.names(id) {
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
		if line.names(id) {
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

// names reports whether the line is about a job.
func (l logLine) names(id string) bool { return l.Job == id || strings.HasSuffix(l.Path, "/"+id) }
