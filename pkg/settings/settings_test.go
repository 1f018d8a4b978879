package settings

import (
	"net/netip"
	"net/url"
	"os"
	"path/filepath"
	"strings"
	"testing"
	"time"

	"github.com/google/go-cmp/cmp"
	"github.com/phuslu/log"
)

const valid = `[node]
host = a1
datacentre = north
environment = production
http_address = 0.0.0.0:8080
peer_address = 10.1.0.5:7400
[store]
endpoint = http://10.1.0.9:2379
[hostlist]
endpoint = http://[fd00::9]:9000
`

const optional = `[peers]
addresses = 10.1.0.6:7400, 10.2.0.6:7400
[log]
level = debug
[trace]
exporter = stdout
file = spans.json
[shutdown]
timeout = 20s
`

// Guards against keys that are accepted but ignored, and against changed defaults.
func TestParse(t *testing.T) {
	got, findings := Parse("s.ini", []byte(valid))
	if len(findings) > 0 {
		t.Fatal(findings)
	}
	want := Settings{
		Host: "a1", Datacentre: "north", Environment: "production", TrialEnvironment: "production",
		HTTPAddress: netip.MustParseAddrPort("0.0.0.0:8080"), PeerAddress: netip.MustParseAddrPort("10.1.0.5:7400"),
		PeerListen:          netip.MustParseAddrPort("10.1.0.5:7400"),
		ShardsPerDatacentre: 2, RoutingPolicy: "slot-aware",
		StoreEndpoint:    url.URL{Scheme: "http", Host: "10.1.0.9:2379"},
		HostlistEndpoint: url.URL{Scheme: "http", Host: "[fd00::9]:9000"},
		LogLevel:         log.InfoLevel, Trace: Trace{Exporter: TraceNone}, ShutdownTimeout: 30 * time.Second,
	}
	compare := cmp.Comparer(func(a, b netip.AddrPort) bool { return a == b })
	compareAddr := cmp.Comparer(func(a, b netip.Addr) bool { return a == b })
	if diff := cmp.Diff(want, got, compare, compareAddr); diff != "" {
		t.Fatalf("settings differ (-want +got):\n%s", diff)
	}
	got, findings = Parse("s.ini", []byte(strings.Replace(valid, "[store]", "routing_policy = random\n[store]", 1)+optional))
	if len(findings) > 0 {
		t.Fatal(findings)
	}
	want.Peers = []netip.AddrPort{netip.MustParseAddrPort("10.1.0.6:7400"), netip.MustParseAddrPort("10.2.0.6:7400")}
	want.RoutingPolicy = "random"
	want.LogLevel, want.Trace = log.DebugLevel, Trace{Exporter: TraceStdout, File: "spans.json"}
	want.ShutdownTimeout = 20 * time.Second
	if diff := cmp.Diff(want, got, compare, compareAddr); diff != "" {
		t.Fatalf("settings differ (-want +got):\n%s", diff)
	}
}

// Guards against accepting settings with which the process cannot work or would violate an invariant. Each case
// replaces a text of the valid settings; findings have the form "section key".
func TestParseFindings(t *testing.T) {
	cases := []struct{ name, old, new, want string }{
		{"host name for an address", "10.1.0.5:7400", "entry.example:7400", "node peer_address"},
		{"peer address that cannot be dialled", "10.1.0.5:7400", "0.0.0.0:7400", "node peer_address"},
		{"missing port", "0.0.0.0:8080", "0.0.0.0", "node http_address"},
		{"host name in an endpoint", "http://10.1.0.9:2379", "http://localhost:2379", "store endpoint"},
		{"path in an endpoint", "http://10.1.0.9:2379", "http://10.1.0.9:2379/v3", "store endpoint"},
		{"bad routing policy", "host = a1", "host = a1\nrouting_policy = best", "node routing_policy"},
		{"bad peer", "10.2.0.6:7400", "peer:7400", "peers addresses"},
		{"missing section", "[store]\nendpoint = http://10.1.0.9:2379\n", "", "store "},
		{"unknown section", "[peers]\naddresses = 10.1.0.6:7400, 10.2.0.6:7400", "[peer]", "peer "},
		{"unknown key", "level = debug", "level = debug\nfile = x", "log file"},
		{"bad level", "level = debug", "level = all", "log level"},
		{"exporter without its file", "file = spans.json\n", "", "trace file"},
		{"key of another exporter", "exporter = stdout", "exporter = none", "trace file"},
		{"protocol timings, which are constants", "timeout = 20s", "timeout = 20s\n[timings]\npermit_ttl = 2s", "timings "},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			if !strings.Contains(valid+optional, c.old) {
				t.Fatalf("the valid settings have no %q", c.old)
			}
			_, findings := Parse("s.ini", []byte(strings.Replace(valid+optional, c.old, c.new, 1)))
			var got []string
			for _, f := range findings {
				got = append(got, f.Section+" "+f.Key)
			}
			if diff := cmp.Diff([]string{c.want}, got); diff != "" {
				t.Fatalf("findings differ (-want +got):\n%s\n%s", diff, findings.Error())
			}
		})
	}
}

// Guards against an unreadable file being reported as empty settings.
func TestLoad(t *testing.T) {
	path := filepath.Join(t.TempDir(), "s.ini")
	if _, _, err := Load(path); err == nil {
		t.Fatal("no error for a missing file")
	}
	if err := os.WriteFile(path, []byte(valid), 0o600); err != nil {
		t.Fatal(err)
	}
	if settings, findings, err := Load(path); err != nil || len(findings) > 0 || settings.Host != "a1" {
		t.Fatalf("%+v, %v, %v", settings, findings, err)
	}
}
