// Package measure measures entry hosts that run as separate processes. The measurements are tests that print tables and
// do not check the values; they do nothing unless the flag -measure is given. docs/CAPACITY.md and docs/MEASUREMENTS.md
// hold the results.
package measure

import (
	"os"
	"strconv"
	"strings"
	"time"

	"github.com/juju/errors"
)

// clockTick is the unit of processor times in /proc, which Linux reports in hundredths of a second.
const clockTick = 10 * time.Millisecond

// Fields of /proc/<pid>/stat after the command name, counted from 0 (proc(5)).
const (
	fieldUserTime   = 11
	fieldSystemTime = 12
	fieldResident   = 21 // in pages
)

// Process is the resource use of a process.
type Process struct {
	CPU      time.Duration // processor time since it started, user and system
	Resident int64         // resident memory in bytes
}

// ReadProcess reads the resource use of a process. It fails if the process has exited.
func ReadProcess(pid int) (Process, error) {
	text, err := os.ReadFile("/proc/" + strconv.Itoa(pid) + "/stat")
	if err != nil {
		return Process{}, errors.Trace(err)
	}
	return parseStat(string(text))
}

// parseStat parses /proc/<pid>/stat. The command name is in parentheses and may contain spaces.
func parseStat(text string) (Process, error) {
	end := strings.LastIndexByte(text, ')')
	fields := strings.Fields(text[end+1:])
	if end < 0 || len(fields) <= fieldResident {
		return Process{}, errors.Errorf("unexpected process status %q", text)
	}
	var values [3]int64
	for i, field := range []int{fieldUserTime, fieldSystemTime, fieldResident} {
		value, err := strconv.ParseInt(fields[field], 10, 64)
		if err != nil {
			return Process{}, errors.Annotate(err, "process status")
		}
		values[i] = value
	}
	return Process{
		CPU:      time.Duration(values[0]+values[1]) * clockTick,
		Resident: values[2] * int64(os.Getpagesize()),
	}, nil
}
