// Package examples contains example documents and settings of two companies. Its tests check that they and the examples
// on the reference pages in docs are valid.
package examples

import (
	"os"
	"path/filepath"
	"regexp"
	"slices"
	"strings"
	"testing"

	"fulmarcourse.example/core/document"
	"fulmarcourse.example/core/structs"
	"fulmarcourse.example/fulmarcourse/pkg/settings"
)

// companies maps the directory of each example company to its number of workers. A worker has 16 processors and 60 GB.
var companies = map[string]int64{"forgylld-flojel": 65, "karoo-pieceworks": 50}

var worker = structs.Resources{MilliCPU: 16_000, MemoryBytes: 60_000_000_000}

func readDocument(t *testing.T, path string) structs.Document {
	t.Helper()
	text, err := os.ReadFile(path)
	if err != nil {
		t.Fatal(err)
	}
	doc, findings := document.Parse(path, text)
	if len(findings) > 0 {
		t.Fatal(findings)
	}
	return doc
}

// Guards against examples that the programs reject, settings that do not match their document, and quotas that exceed
// the capacity of the workers.
func TestExamples(t *testing.T) {
	for company, workers := range companies {
		doc := readDocument(t, filepath.Join(company, "document.ini"))
		var quotas structs.Resources
		for _, team := range doc.Teams {
			quotas = quotas.Add(team.Quota)
		}
		capacity := structs.Resources{MilliCPU: workers * worker.MilliCPU, MemoryBytes: workers * worker.MemoryBytes}
		if !quotas.Fits(capacity) {
			t.Errorf("%s: quotas %+v exceed the capacity %+v", company, quotas, capacity)
		}
		for _, kind := range doc.Kinds {
			if !kind.Declared.Fits(worker) {
				t.Errorf("%s: kind %s fits no worker", company, kind.Name)
			}
		}
		paths, err := filepath.Glob(filepath.Join(company, "settings-*.ini"))
		if err != nil || len(paths) == 0 {
			t.Fatalf("%s: no settings: %v", company, err)
		}
		for _, path := range paths {
			set, findings, err := settings.Load(path)
			if err != nil || len(findings) > 0 {
				t.Fatal(err, findings)
			}
			if !slices.Contains(doc.Datacentres, set.Datacentre) || set.Environment != doc.Environment {
				t.Errorf("%s: data centre %s or environment %s is not in the document", path, set.Datacentre, set.Environment)
			}
		}
	}
}

var iniBlock = regexp.MustCompile("(?s)```ini\n(.*?)```")

// page returns the text of a page in docs and the INI example in it.
func page(t *testing.T, name string) (text, example string) {
	t.Helper()
	content, err := os.ReadFile(filepath.Join("..", "docs", name))
	if err != nil {
		t.Fatal(err)
	}
	match := iniBlock.FindSubmatch(content)
	if match == nil {
		t.Fatalf("%s has no INI example", name)
	}
	return string(content), string(match[1])
}

// Guards against reference pages that omit a key or contain examples that the programs reject. The accepted keys are
// taken from the findings for an unknown key in each section.
func TestReferencePages(t *testing.T) {
	text, example := page(t, "DOCUMENTS.md")
	if _, findings := document.Parse("DOCUMENTS.md", []byte(example)); len(findings) > 0 {
		t.Error(findings)
	}
	_, findings := document.Parse("probe", []byte("[environment]\nk=\n[datacentre a]\nk=\n[service a]\nk=\n[kind a]\nk=\n[team a]\nk="))
	checkKeys(t, "DOCUMENTS.md", text, findings, 5)

	text, example = page(t, "SETTINGS.md")
	if _, findings := settings.Parse("SETTINGS.md", []byte(example)); len(findings) > 0 {
		t.Error(findings)
	}
	_, findings = settings.Parse("probe", []byte("[node]\nk=\n[store]\nk=\n[peers]\nk=\n[log]\nk=\n[trace]\nk=\n[shutdown]\nk="))
	checkKeys(t, "SETTINGS.md", text, findings, 6)
}

func checkKeys(t *testing.T, name, text string, findings document.Findings, sections int) {
	t.Helper()
	seen := 0
	for _, f := range findings {
		if f.Key != "k" {
			continue
		}
		seen++
		for _, key := range strings.Split(f.Accepted, ", ") {
			if !strings.Contains(text, "| `"+key+"` |") {
				t.Errorf("%s does not list the key %s of [%s]", name, key, f.Section)
			}
		}
	}
	if seen != sections {
		t.Errorf("%d findings for unknown keys, want %d", seen, sections)
	}
}
