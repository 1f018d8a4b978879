package document

import (
	"bytes"
	"strings"
	"testing"
	"time"

	"github.com/google/go-cmp/cmp"

	"fulmarcourse.example/core/structs"
)

const valid = `# comment
[environment]
name = production

[datacentre north]
batch = yes
[datacentre south]
batch = no

[service quotes]
datacentres = north, south

[kind quote]
class = latency-critical
service = quotes
idempotent = no
deadline = 250ms

[kind render]
class = batch
idempotent = yes
checkpointable = yes
cpu = 1.5
memory = 4GiB
run-time = 90s

[team restorers]
cpu = 500m   ; half a processor
memory = 512MiB
accelerators = 2
urgent = yes
`

// Guards against keys that are accepted but not carried into the document, and against wrong units.
func TestParseValidDocument(t *testing.T) {
	doc, findings := Parse("env.ini", []byte(valid))
	if len(findings) != 0 {
		t.Fatalf("unexpected findings:\n%s", findings.Error())
	}
	want := structs.Document{
		Environment: "production",
		Datacentres: []structs.DatacentreID{"north", "south"},
		BatchIn:     map[structs.DatacentreID]bool{"north": true, "south": false},
		Services: map[structs.ServiceName]structs.Service{
			"quotes": {Name: "quotes", Datacentres: []structs.DatacentreID{"north", "south"}},
		},
		Kinds: map[structs.KindName]structs.Kind{
			"quote": {Name: "quote", Class: structs.LatencyCritical, Service: "quotes", Deadline: 250 * time.Millisecond},
			"render": {Name: "render", Class: structs.Batch, Idempotent: true, Checkpointable: true,
				Declared: structs.Resources{MilliCPU: 1500, MemoryBytes: 4 << 30}, RunTime: 90 * time.Second},
		},
		Teams: map[structs.TeamName]structs.Team{
			"restorers": {Name: "restorers", Urgent: true,
				Quota: structs.Resources{MilliCPU: 500, MemoryBytes: 512 << 20, Accelerators: 2}},
		},
	}
	if diff := cmp.Diff(want, doc); diff != "" {
		t.Fatalf("document differs (-want +got):\n%s", diff)
	}
}

// Guards against a fault that is not reported, is reported at the wrong position, or hides another fault.
// Each case replaces a line of the valid document; the findings have the form "line section key".
func TestParseFindings(t *testing.T) {
	cases := []struct {
		name, old, new string
		want           []string
	}{
		{"unknown section", "[service quotes]", "[services quotes]",
			[]string{"10 services quotes ", "15 kind quote service"}},
		{"section without a name", "[team restorers]", "[team]", []string{"27 team "}},
		{"unknown key", "batch = no", "batch = no\nbatches = no", []string{"9 datacentre south batches"}},
		{"duplicate section", "[datacentre south]", "[datacentre north]",
			[]string{"7 datacentre north ", "8 datacentre north batch", "11 service quotes datacentres"}},
		{"duplicate key", "batch = no", "batch = no\nbatch = yes", []string{"9 datacentre south batch"}},
		{"bad number", "cpu = 1.5", "cpu = two", []string{"23 kind render cpu"}},
		{"size of zero", "cpu = 1.5", "cpu = 0", []string{"23 kind render cpu"}},
		{"negative size", "memory = 4GiB", "memory = -4GiB", []string{"24 kind render memory"}},
		{"decimal unit", "memory = 4GiB", "memory = 4GB", []string{"24 kind render memory"}},
		{"overflow", "memory = 4GiB", "memory = 99999999999TiB", []string{"24 kind render memory"}},
		{"duration without unit", "run-time = 90s", "run-time = 90", []string{"25 kind render run-time"}},
		{"unknown service", "service = quotes", "service = quote", []string{"15 kind quote service"}},
		{"latency-critical without service", "service = quotes\n", "", []string{"13 kind quote service"}},
		{"unknown data centre", "datacentres = north, south", "datacentres = north, east",
			[]string{"11 service quotes datacentres"}},
		{"data centre twice", "datacentres = north, south", "datacentres = north, north",
			[]string{"11 service quotes datacentres"}},
		{"key of the other class", "deadline = 250ms", "deadline = 250ms\ncpu = 1", []string{"18 kind quote cpu"}},
		{"missing idempotency", "idempotent = no\n", "", []string{"13 kind quote idempotent"}},
		{"not yes or no", "urgent = yes", "urgent = true", []string{"31 team restorers urgent"}},
		{"missing environment", "[environment]\nname = production", "", []string{"1 environment "}},
		{"no key", "batch = no", "batch", []string{"7 datacentre south batch", "8 datacentre south "}},
		{"key before a section", "# comment", "name = x", []string{"1  name"}},
		{"broken header", "[service quotes]", "[service quotes",
			[]string{"10  ", "11 datacentre south datacentres", "15 kind quote service"}},
		{"value over several lines", "name = production", "name = `production", []string{
			"2 environment name", "3 environment name"}},
		{"not UTF-8", "# comment", "# \xff", []string{"1  "}},
		{"two faults", "cpu = 1.5\nmemory = 4GiB", "cpu = x\nmemory = y",
			[]string{"23 kind render cpu", "24 kind render memory"}},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			if strings.Count(valid, c.old) == 0 {
				t.Fatalf("the valid document has no %q", c.old)
			}
			_, findings := Parse("env.ini", []byte(strings.Replace(valid, c.old, c.new, 1)))
			var got []string
			for _, f := range findings {
				if f.Message == "" || f.Accepted == "" {
					t.Errorf("finding without message or accepted form: %+v", f)
				}
				got = append(got, strings.TrimPrefix(f.Place(), "env.ini:")+" "+f.Section+" "+f.Key)
			}
			if diff := cmp.Diff(c.want, got); diff != "" {
				t.Fatalf("findings differ (-want +got):\n%s\n%s", diff, findings.Error())
			}
		})
	}
}

// Guards against a document that exceeds the value limit of the store.
func TestParseRejectsLongText(t *testing.T) {
	_, findings := Parse("env.ini", bytes.Repeat([]byte("#\n"), MaxTextBytes))
	if len(findings) != 1 {
		t.Fatalf("got %d findings, want 1", len(findings))
	}
}

// Guards against differences that are not reported, and against a change of notation reported as a difference.
func TestDiff(t *testing.T) {
	old, _ := Parse("old", []byte(valid))
	text := strings.NewReplacer("memory = 4GiB", "memory = 4096MiB", "deadline = 250ms", "deadline = 300ms",
		"[team restorers]", "[team stewards]").Replace(valid)
	changed, findings := Parse("new", []byte(text))
	if len(findings) != 0 {
		t.Fatal(findings)
	}
	want := []Change{
		{Changed, "kind quote", "deadline", "250ms", "300ms"},
		{Action: Removed, Section: "team restorers"},
		{Action: Added, Section: "team stewards"},
	}
	if diff := cmp.Diff(want, Diff(old, changed)); diff != "" {
		t.Fatalf("changes differ (-want +got):\n%s", diff)
	}
}

// Guards against input that crashes the parser, findings with a line outside the text, and documents that are accepted
// although they refer to unknown services or data centres.
func FuzzParse(f *testing.F) {
	f.Add([]byte(valid))
	for _, seed := range []string{"", "\uFEFF[environment]\r\nname=a\r\n", "[a\n]=\n", "[]\n=", "- = x\n[x]\n- = y",
		"[kind a.b]\nclass = \"batch\"", "[DEFAULT]\nk = %(k)s", "[kind k]\ncpu = 9999999999999999999m\n", "[x]\nk = \"\"\"a"} {
		f.Add([]byte(seed))
	}
	f.Fuzz(func(t *testing.T, text []byte) {
		doc, findings := Parse("f", text)
		lines := bytes.Count(text, []byte("\n")) + 1
		for _, finding := range findings {
			if finding.Line < 1 || finding.Line > lines {
				t.Fatalf("finding outside the text: %v", finding)
			}
		}
		if len(findings) > 0 {
			return
		}
		for _, kind := range doc.Kinds {
			if _, known := doc.Services[kind.Service]; kind.Class == structs.LatencyCritical && !known {
				t.Fatalf("kind %q has unknown service %q", kind.Name, kind.Service)
			}
		}
		if changes := Diff(doc, doc); len(changes) != 0 {
			t.Fatalf("document differs from itself: %v", changes)
		}
	})
}
