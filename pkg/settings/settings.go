// Package settings reads the INI settings of fulmard. docs/SETTINGS.md describes every key.
package settings

import (
	"net/netip"
	"net/url"
	"os"
	"time"

	"github.com/juju/errors"
	"github.com/phuslu/log"

	"fulmarcourse.example/core/inifile"
	"fulmarcourse.example/core/routing"
	"fulmarcourse.example/core/structs"
)

// Finding is one fault in a settings file.
type Finding = inifile.Finding

// Findings are all faults of a settings file, ordered by line.
type Findings = inifile.Findings

// TraceExporter is the destination of trace spans.
type TraceExporter string

// Trace exporters.
const (
	TraceNone   TraceExporter = "none"
	TraceStdout TraceExporter = "stdout" // JSON spans, written to a file
	TraceOTLP   TraceExporter = "otlp"   // OTLP over HTTP
)

// Defaults of settings.
const (
	DefaultShardsPerDatacentre = 2
	DefaultShutdownTimeout     = 30 * time.Second
)

// Settings are the validated settings of one fulmard process.
type Settings struct {
	Host                structs.HostID
	Datacentre          structs.DatacentreID
	Environment         string
	TrialEnvironment    string         // environment of document trials; defaults to Environment
	HTTPAddress         netip.AddrPort // listen address for callers and operators
	PeerAddress         netip.AddrPort // address that other entry hosts dial
	PeerListen          netip.AddrPort // listen address for other entry hosts; defaults to PeerAddress
	SourceAddress       netip.Addr     // local address of outgoing connections; zero lets the system choose
	ShardsPerDatacentre int
	RoutingPolicy       string // name of a policy of core/routing
	StoreEndpoint       url.URL
	HostlistEndpoint    url.URL
	Peers               []netip.AddrPort // peers to contact before the member registry has been read
	LogLevel            log.Level
	Trace               Trace
	ShutdownTimeout     time.Duration
}

// Trace configures the export of trace spans.
type Trace struct {
	Exporter TraceExporter
	File     string  // TraceStdout only
	Endpoint url.URL // TraceOTLP only
}

// Load reads the settings file at path. The settings are valid only if there are neither findings nor an error. An
// error means that the file cannot be read.
func Load(path string) (Settings, Findings, error) {
	text, err := os.ReadFile(path)
	if err != nil {
		return Settings{}, nil, errors.Annotate(err, "settings")
	}
	settings, findings := Parse(path, text)
	return settings, findings, nil
}

// Parse parses text; name is the file name used in findings. The settings are valid only if there are no findings.
func Parse(name string, text []byte) (Settings, Findings) {
	file := inifile.Open(name, text)
	settings := Settings{
		ShardsPerDatacentre: DefaultShardsPerDatacentre,
		RoutingPolicy:       routing.DefaultPolicy,
		LogLevel:            log.InfoLevel,
		Trace:               Trace{Exporter: TraceNone},
		ShutdownTimeout:     DefaultShutdownTimeout,
	}
	readers := map[string]func(*inifile.Section){
		"node":     settings.readNode,
		"store":    func(s *inifile.Section) { settings.StoreEndpoint = readEndpoint(s) },
		"hostlist": func(s *inifile.Section) { settings.HostlistEndpoint = readEndpoint(s) },
		"peers":    settings.readPeers,
		"log":      settings.readLog,
		"trace":    settings.readTrace,
		"shutdown": settings.readShutdown,
	}
	present := map[string]bool{}
	for _, section := range file.Sections() {
		read, known := readers[section.Name]
		if !known {
			section.Add("", "unknown section", acceptedSections)
			continue
		}
		present[section.Name] = true
		read(section)
	}
	for _, required := range []string{"node", "store", "hostlist"} {
		if !present[required] {
			file.Add(1, required, "", "the section is missing", "["+required+"]")
		}
	}
	return settings, file.Findings()
}

const acceptedSections = "[node], [store], [hostlist], [peers], [log], [trace] or [shutdown]"

func (set *Settings) readNode(s *inifile.Section) {
	s.RejectUnknownKeys("host", "datacentre", "environment", "trial_environment", "http_address", "peer_address", "peer_listen", "source_address",
		"shards_per_datacentre", "routing_policy")
	host, _ := inifile.Required(s, "host", inifile.Name)
	datacentre, _ := inifile.Required(s, "datacentre", inifile.Name)
	set.Host, set.Datacentre = structs.HostID(host), structs.DatacentreID(datacentre)
	set.Environment, _ = inifile.Required(s, "environment", inifile.Name)
	set.TrialEnvironment = inifile.Optional(s, "trial_environment", inifile.Name, set.Environment)
	set.HTTPAddress, _ = inifile.Required(s, "http_address", inifile.AddressPort)
	set.PeerAddress, _ = inifile.Required(s, "peer_address", reachableAddress)
	set.PeerListen = inifile.Optional(s, "peer_listen", inifile.AddressPort, set.PeerAddress)
	set.SourceAddress = inifile.Optional(s, "source_address", inifile.Address, netip.Addr{})
	set.ShardsPerDatacentre = int(inifile.Optional(s, "shards_per_datacentre", inifile.Integer(1, maxShards), DefaultShardsPerDatacentre))
	policies := inifile.OneOf(routing.RandomName, routing.TwoChoicesName, routing.SlotAwareName)
	set.RoutingPolicy = inifile.Optional(s, "routing_policy", policies, routing.DefaultPolicy)
}

// maxShards is the maximum number of shards of a data centre. Each shard needs one store record and one renewal per
// lease period.
const maxShards = 64

func (set *Settings) readPeers(s *inifile.Section) {
	s.RejectUnknownKeys("addresses")
	set.Peers, _ = inifile.Required(s, "addresses", inifile.List(reachableAddress))
}

var logLevels = map[string]log.Level{
	"debug": log.DebugLevel, "info": log.InfoLevel, "warn": log.WarnLevel, "error": log.ErrorLevel,
}

func (set *Settings) readLog(s *inifile.Section) {
	s.RejectUnknownKeys("level")
	level, _ := inifile.Required(s, "level", inifile.OneOf("debug", "info", "warn", "error"))
	if known, ok := logLevels[level]; ok {
		set.LogLevel = known
	}
}

func (set *Settings) readTrace(s *inifile.Section) {
	s.RejectUnknownKeys("exporter", "file", "endpoint")
	exporter, ok := inifile.Required(s, "exporter", inifile.OneOf(string(TraceNone), string(TraceStdout), string(TraceOTLP)))
	if !ok {
		return
	}
	set.Trace.Exporter = TraceExporter(exporter)
	if set.Trace.Exporter == TraceStdout {
		set.Trace.File, _ = inifile.Required(s, "file", filePath)
	} else if s.Has("file") {
		s.Add("file", "the key applies to exporter = stdout only", "no such key here")
	}
	if set.Trace.Exporter == TraceOTLP {
		set.Trace.Endpoint, _ = inifile.Required(s, "endpoint", endpoint)
	} else if s.Has("endpoint") {
		s.Add("endpoint", "the key applies to exporter = otlp only", "no such key here")
	}
}

// maxShutdownTimeout bounds a graceful shutdown. Platforms kill processes that take longer.
const maxShutdownTimeout = 10 * time.Minute

func (set *Settings) readShutdown(s *inifile.Section) {
	s.RejectUnknownKeys("timeout")
	set.ShutdownTimeout, _ = inifile.Required(s, "timeout", inifile.Duration(time.Second, maxShutdownTimeout))
}

func readEndpoint(s *inifile.Section) url.URL {
	s.RejectUnknownKeys("endpoint")
	address, _ := inifile.Required(s, "endpoint", endpoint)
	return address
}
