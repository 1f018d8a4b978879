package document

import (
	"fmt"
	"strconv"
	"strings"

	"fulmarcourse.example/core/structs"
)

// Action is the kind of difference of an entry between two documents.
type Action string

// Actions of a change.
const (
	Added   Action = "added"
	Removed Action = "removed"
	Changed Action = "changed"
)

// Change is one difference between two documents.
type Change struct {
	Action  Action `json:"action"`
	Section string `json:"section"`       // for example "kind render"
	Key     string `json:"key,omitempty"` // empty when the whole section was added or removed
	Old     string `json:"old,omitempty"`
	New     string `json:"new,omitempty"`
}

// String returns the change as one line of text.
func (c Change) String() string {
	if c.Key == "" {
		return fmt.Sprintf("%s [%s]", c.Action, c.Section)
	}
	return fmt.Sprintf("%s [%s] %s: %q -> %q", c.Action, c.Section, c.Key, c.Old, c.New)
}

// Diff returns the differences from old to new, with sections in alphabetical order. Comments, the order of entries and
// the notation of values (1GiB and 1024MiB) are ignored.
func Diff(old, new structs.Document) []Change {
	before, after := flatten(old), flatten(new)
	sections := map[string]bool{}
	for name := range before {
		sections[name] = true
	}
	for name := range after {
		sections[name] = true
	}
	var changes []Change
	for _, name := range sortedKeys(sections) {
		changes = append(changes, diffSection(name, before[name], after[name])...)
	}
	return changes
}

// field is one key with its value in canonical notation.
type field struct{ key, value string }

// diffSection compares the fields of one section. All sections of one type have the same fields in the same order.
func diffSection(name string, before, after []field) []Change {
	switch {
	case before == nil:
		return []Change{{Action: Added, Section: name}}
	case after == nil:
		return []Change{{Action: Removed, Section: name}}
	}
	var changes []Change
	for i := range before {
		if before[i].value != after[i].value {
			changes = append(changes, Change{Changed, name, before[i].key, before[i].value, after[i].value})
		}
	}
	return changes
}

func flatten(doc structs.Document) map[string][]field {
	sections := map[string][]field{}
	if doc.Environment != "" {
		sections[sectionEnvironment] = []field{{"name", doc.Environment}}
	}
	for name, service := range doc.Services {
		sections[sectionService+" "+string(name)] = serviceFields(service)
	}
	for name, kind := range doc.Kinds {
		sections[sectionKind+" "+string(name)] = kindFields(kind)
	}
	for name, team := range doc.Teams {
		sections[sectionTeam+" "+string(name)] = append(resourceFields(team.Quota), field{"urgent", yesNo(team.Urgent)})
	}
	for _, id := range doc.Datacentres {
		sections[sectionDatacentre+" "+string(id)] = []field{{"batch", yesNo(doc.BatchIn[id])}}
	}
	return sections
}

func serviceFields(service structs.Service) []field {
	names := make([]string, len(service.Datacentres))
	for i, id := range service.Datacentres {
		names[i] = string(id)
	}
	return []field{{"datacentres", strings.Join(names, ", ")}}
}

func kindFields(kind structs.Kind) []field {
	fields := []field{
		{"class", string(kind.Class)},
		{"service", string(kind.Service)},
		{"idempotent", yesNo(kind.Idempotent)},
		{"checkpointable", yesNo(kind.Checkpointable)},
		{"run-time", kind.RunTime.String()},
		{"deadline", kind.Deadline.String()},
	}
	return append(fields, resourceFields(kind.Declared)...)
}

func resourceFields(r structs.Resources) []field {
	return []field{
		{"cpu", strconv.FormatInt(r.MilliCPU, 10) + "m"},
		{"memory", formatMemory(r.MemoryBytes)},
		{"accelerators", strconv.FormatInt(r.Accelerators, 10)},
	}
}

// formatMemory returns bytes in the largest unit that divides them.
func formatMemory(bytes int64) string {
	units := []string{"B", "KiB", "MiB", "GiB", "TiB"}
	unit := 0
	for bytes != 0 && bytes%1024 == 0 && unit < len(units)-1 {
		bytes /= 1024
		unit++
	}
	return strconv.FormatInt(bytes, 10) + units[unit]
}

func yesNo(b bool) string {
	if b {
		return "yes"
	}
	return "no"
}
