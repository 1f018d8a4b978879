package eventlog

import (
	"flag"
	"os"
	"testing"

	"github.com/google/go-cmp/cmp"
)

var update = flag.Bool("update", false, "write docs/EVENTS.md")

const pagePath = "../../docs/EVENTS.md"

// Guards against an event page that does not match the catalogue.
func TestPageIsUpToDate(t *testing.T) {
	if *update {
		if err := os.WriteFile(pagePath, []byte(Page()), 0o644); err != nil {
			t.Fatal(err)
		}
	}
	written, err := os.ReadFile(pagePath)
	if err != nil {
		t.Fatal(err)
	}
	if diff := cmp.Diff(Page(), string(written)); diff != "" {
		t.Fatalf("run go test ./pkg/eventlog -update (-want +got):\n%s", diff)
	}
}

// Guards against two events with the same name, which queries and alerts by name could not distinguish.
func TestNamesAreUnique(t *testing.T) {
	numbers := map[string]Code{}
	for _, def := range Catalogue() {
		if other, exists := numbers[def.Name]; exists {
			t.Errorf("events %d and %d are both named %s", other, def.Code, def.Name)
		}
		numbers[def.Name] = def.Code
		if def.Name == "" || def.Description == "" {
			t.Errorf("event %d has no name or no description", def.Code)
		}
	}
}
