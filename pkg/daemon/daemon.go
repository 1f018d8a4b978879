// Package daemon implements the command line of fulmard: flags, settings, logging, signals and exit codes.
package daemon

import (
	"context"
	"flag"
	"fmt"
	"io"
	"os"
	"os/signal"
	"runtime/debug"
	"syscall"
	"time"

	"github.com/juju/errors"

	"fulmarcourse.example/fulmarcourse/pkg/eventlog"
	"fulmarcourse.example/fulmarcourse/pkg/gozero"
	"fulmarcourse.example/fulmarcourse/pkg/metrics"
	"fulmarcourse.example/fulmarcourse/pkg/node"
	"fulmarcourse.example/fulmarcourse/pkg/settings"
	"fulmarcourse.example/fulmarcourse/pkg/tracing"
	"fulmarcourse.example/fulmarcourse/platform"
)

// Exit codes of fulmard.
const (
	ExitOK       = 0
	ExitFailed   = 1 // the process could not start, or ended with an error
	ExitUsage    = 2
	ExitFindings = 3 // the settings are invalid
)

// flushTimeout bounds the flush of traces and metrics at exit.
const flushTimeout = 2 * time.Second

// options are the parsed flags.
type options struct {
	config     string
	check      bool
	version    bool
	standalone bool
	platform   bool
	http       string // address for callers and operators in standalone mode
}

// Main runs fulmard with args, which exclude the program name, and returns its exit code.
func Main(args []string, stdout, stderr io.Writer) int {
	opts, code, ok := parseFlags(args, stderr)
	if !ok {
		return code
	}
	if opts.version {
		_, _ = fmt.Fprintln(stdout, Version())
		return ExitOK
	}
	if opts.platform {
		return platform.Main(stdout, stderr)
	}
	if opts.standalone {
		return runStandalone(opts, stdout, stderr)
	}
	set, findings, err := settings.Load(opts.config)
	if err != nil {
		_, _ = fmt.Fprintln(stderr, "fulmard:", err)
		return ExitFailed
	}
	if len(findings) > 0 {
		for _, f := range findings {
			_, _ = fmt.Fprintln(stderr, f)
		}
		return ExitFindings
	}
	if opts.check {
		_, _ = fmt.Fprintln(stdout, opts.config+": no findings")
		return ExitOK
	}
	return run(set, stderr)
}

func parseFlags(args []string, stderr io.Writer) (options, int, bool) {
	var opts options
	flags := flag.NewFlagSet("fulmard", flag.ContinueOnError)
	flags.SetOutput(stderr)
	flags.StringVar(&opts.config, "config", "", "path of the settings file (INI)")
	flags.BoolVar(&opts.check, "check", false, "check the settings and exit")
	flags.BoolVar(&opts.version, "version", false, "print the version and exit")
	flags.BoolVar(&opts.standalone, "standalone", false, "run with fakes of the platform in the same process")
	flags.BoolVar(&opts.platform, "platform", false, "run on the platform, with the settings file that it names")
	flags.StringVar(&opts.http, "http", "127.0.0.1:8080", "address for callers and operators in standalone mode")
	if err := flags.Parse(args); err != nil {
		if errors.Is(err, flag.ErrHelp) {
			return opts, ExitOK, false
		}
		return opts, ExitUsage, false
	}
	if flags.NArg() > 0 || (opts.config == "" && !opts.version && !opts.standalone && !opts.platform) {
		_, _ = fmt.Fprintln(stderr, "fulmard: -config is required and takes no further arguments")
		flags.Usage()
		return opts, ExitUsage, false
	}
	return opts, ExitOK, true
}

// run serves until SIGTERM or SIGINT, and then shuts down gracefully within the shutdown timeout. A second signal ends
// the process at once.
func run(set settings.Settings, stderr io.Writer) int {
	logger := eventlog.NewLogger(stderr, set.LogLevel, string(set.Host))
	gozero.Configure(logger)
	stopTracing, err := tracing.Setup(context.Background(), traceConfig(set))
	if err != nil {
		_, _ = fmt.Fprintln(stderr, "fulmard:", err)
		return ExitFailed
	}
	scope := metrics.NewMetrics(string(set.Host), string(set.Datacentre))
	n, err := node.NewNode(nodeConfig(set, logger, scope))
	if err != nil {
		_, _ = fmt.Fprintln(stderr, "fulmard:", err)
		return ExitFailed
	}
	ctx, stop := signal.NotifyContext(context.Background(), syscall.SIGTERM, os.Interrupt)
	defer stop()
	// The first signal restores the default handling, so that a second one ends the process.
	context.AfterFunc(ctx, stop)
	err = n.Run(ctx)
	flush(stopTracing, scope)
	if err != nil {
		_, _ = fmt.Fprintln(stderr, "fulmard:", err)
		return ExitFailed
	}
	return ExitOK
}

func flush(stopTracing func(context.Context) error, scope *metrics.Metrics) {
	ctx, cancel := context.WithTimeout(context.Background(), flushTimeout)
	defer cancel()
	// A failure to export the last traces and metrics does not change the exit code.
	_ = stopTracing(ctx)
	_ = scope.Close()
}

func traceConfig(set settings.Settings) tracing.Config {
	cfg := tracing.Config{
		Exporter:    tracing.Exporter(set.Trace.Exporter),
		SampleRatio: 1,
		Host:        string(set.Host),
		Datacentre:  string(set.Datacentre),
	}
	switch set.Trace.Exporter {
	case settings.TraceStdout:
		cfg.Target = set.Trace.File
	case settings.TraceOTLP:
		cfg.Target = set.Trace.Endpoint.Host
	}
	return cfg
}

func nodeConfig(set settings.Settings, logger *eventlog.Logger, scope *metrics.Metrics) node.Config {
	cfg := node.Config{
		Host:                set.Host,
		Datacentre:          set.Datacentre,
		Environment:         set.Environment,
		TrialEnvironment:    set.TrialEnvironment,
		HTTPAddress:         set.HTTPAddress.String(),
		PeerListen:          set.PeerListen.String(),
		PeerAddress:         set.PeerAddress.String(),
		SourceAddress:       set.SourceAddress,
		StoreEndpoint:       set.StoreEndpoint.String(),
		HostListEndpoint:    set.HostlistEndpoint.String(),
		ShardsPerDatacentre: set.ShardsPerDatacentre,
		RoutingPolicy:       set.RoutingPolicy,
		ShutdownTimeout:     set.ShutdownTimeout,
		Seed:                uint64(time.Now().UnixNano()),
		Log:                 logger,
		Metrics:             scope,
		Clock:               time.Now,
	}
	for _, peer := range set.Peers {
		cfg.Peers = append(cfg.Peers, peer.String())
	}
	return cfg
}

// Version returns the module version and the revision that the program was built from.
func Version() string {
	info, ok := debug.ReadBuildInfo()
	if !ok {
		return "fulmard (unknown build)"
	}
	revision := "unknown revision"
	for _, s := range info.Settings {
		if s.Key == "vcs.revision" {
			revision = s.Value
		}
	}
	return fmt.Sprintf("fulmard %s (%s, %s)", info.Main.Version, revision, info.GoVersion)
}
