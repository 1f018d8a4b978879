package jobs

import (
	"encoding/json"
	"fmt"
	"maps"
	"math"
	"slices"
	"strings"

	"github.com/juju/errors"

	"fulmarcourse.example/core/structs"
	"fulmarcourse.example/fulmarcourse/pkg/problem"
)

// checkSpec validates a submission against the document and returns all findings in one InvalidError.
func checkSpec(doc structs.Document, spec structs.JobSpec) error {
	var findings []problem.Finding
	add := func(place, message, accepted string) {
		findings = append(findings, problem.Finding{Place: place, Message: message, Accepted: accepted})
	}
	checkNames(doc, spec, add)
	checkSize(spec, add)
	if spec.Tasks < 1 || spec.Tasks > MaxTasks {
		add("tasks", fmt.Sprintf("%d tasks", spec.Tasks), fmt.Sprintf("1 to %d", MaxTasks))
	}
	if len(spec.Key) > MaxKeyBytes {
		add("key", fmt.Sprintf("%d bytes", len(spec.Key)), fmt.Sprintf("at most %d bytes", MaxKeyBytes))
	}
	if data, err := json.Marshal(spec.Input); err != nil || len(data) > MaxInputBytes {
		add("input", fmt.Sprintf("%d bytes when encoded as JSON", len(data)), fmt.Sprintf("at most %d bytes", MaxInputBytes))
	}
	if len(findings) > 0 {
		return &InvalidError{Findings: findings}
	}
	return nil
}

// checkNames checks the kind and the team of a submission, and whether the team may submit urgent work.
func checkNames(doc structs.Document, spec structs.JobSpec, add func(place, message, accepted string)) {
	kind, ok := doc.Kinds[spec.Kind]
	if !ok || kind.Class != structs.Batch {
		add("kind", fmt.Sprintf("%q is not a batch kind of the document", spec.Kind), batchKinds(doc))
	}
	team, ok := doc.Teams[spec.Team]
	if !ok {
		add("team", fmt.Sprintf("%q is not a team of the document", spec.Team), "a team with a section in the document")
	}
	if ok && spec.Urgent && !team.Urgent {
		add("urgent", fmt.Sprintf("team %q may not submit urgent work", spec.Team), "false")
	}
}

// checkSize checks the declared size and run time.
func checkSize(spec structs.JobSpec, add func(place, message, accepted string)) {
	size := spec.Declared
	if size.MilliCPU < 0 || size.MemoryBytes < 0 || size.Accelerators < 0 {
		add("declared", "negative size", "0 or more in every dimension; all 0 takes the size of the kind")
	}
	if spec.RunSeconds < 0 || math.IsNaN(spec.RunSeconds) || math.IsInf(spec.RunSeconds, 0) {
		add("run_seconds", fmt.Sprintf("%v", spec.RunSeconds), "0 or more seconds; 0 takes the run time of the kind")
	}
}

// batchKinds returns the names of the batch kinds of doc, sorted.
func batchKinds(doc structs.Document) string {
	var names []string
	for name, kind := range doc.Kinds {
		if kind.Class == structs.Batch {
			names = append(names, string(name))
		}
	}
	slices.Sort(names)
	return strings.Join(names, ", ")
}

// DeclaredSize returns the declared resources of one task: those of the job, or those of its kind if the job declares
// none.
func DeclaredSize(doc structs.Document, spec structs.JobSpec) structs.Resources {
	if spec.Declared == (structs.Resources{}) {
		return doc.Kinds[spec.Kind].Declared
	}
	return spec.Declared
}

// checkFits returns ErrTooLarge if size exceeds the largest host of every data centre that may run batch work.
// It returns ErrNoHome if the hosts of such a data centre are not known, since one of them may be large enough.
func checkFits(doc structs.Document, largest map[structs.DatacentreID]structs.Resources, size structs.Resources) error {
	var unknown, seen []string
	for _, dc := range slices.Sorted(maps.Keys(doc.BatchIn)) {
		if !doc.BatchIn[dc] {
			continue
		}
		capacity, known := largest[dc]
		if known && size.Fits(capacity) {
			return nil
		}
		if !known {
			unknown = append(unknown, string(dc))
			continue
		}
		seen = append(seen, fmt.Sprintf("%s: %s", dc, describe(capacity)))
	}
	reason := fmt.Sprintf("a task asks for %s; largest hosts: %s", describe(size), strings.Join(seen, "; "))
	if len(unknown) > 0 {
		return errors.Annotatef(ErrNoHome, "%s; hosts of %s not known", reason, strings.Join(unknown, ", "))
	}
	return errors.Annotate(ErrTooLarge, reason)
}

// describe formats resources with units.
func describe(r structs.Resources) string {
	return fmt.Sprintf("%.3g processors, %.3g GB memory, %d accelerators",
		float64(r.MilliCPU)/1000, float64(r.MemoryBytes)/1e9, r.Accelerators)
}
