// Package inifile parses INI files that are edited by hand. It reports every fault with its file and line instead of
// stopping at the first. gopkg.in/ini.v1 parses the values; a locator records the line numbers.
package inifile

import (
	"fmt"
	"sort"
	"strings"
)

// Finding is one fault in a file.
type Finding struct {
	File     string `json:"file"`
	Line     int    `json:"line"` // from 1; 0 if the fault belongs to no line, for example an unreadable file
	Section  string `json:"section,omitempty"`
	Key      string `json:"key,omitempty"`
	Message  string `json:"message"`
	Accepted string `json:"accepted,omitempty"` // description of the accepted values
}

// Place returns "file:line", the form that editors and compilers use.
func (f Finding) Place() string { return fmt.Sprintf("%s:%d", f.File, f.Line) }

// String returns the finding as one line of text.
func (f Finding) String() string {
	var b strings.Builder
	fmt.Fprintf(&b, "%s: ", f.Place())
	if f.Section != "" {
		fmt.Fprintf(&b, "[%s] ", f.Section)
	}
	if f.Key != "" {
		fmt.Fprintf(&b, "%s: ", f.Key)
	}
	b.WriteString(f.Message)
	if f.Accepted != "" {
		fmt.Fprintf(&b, "; accepted: %s", f.Accepted)
	}
	return b.String()
}

// Findings are all faults of one file, ordered by line.
type Findings []Finding

// Error returns the findings, one per line. Findings are returned as an error only if there is at least one.
func (f Findings) Error() string {
	lines := make([]string, len(f))
	for i := range f {
		lines[i] = f[i].String()
	}
	return strings.Join(lines, "\n")
}

// Sort orders the findings by line. The sort is stable.
func (f Findings) Sort() {
	sort.SliceStable(f, func(i, j int) bool { return f[i].Line < f[j].Line })
}
