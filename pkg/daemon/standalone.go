package daemon

import (
	"context"
	_ "embed"
	"fmt"
	"io"
	"os"
	"os/signal"
	"syscall"
	"time"

	"github.com/juju/errors"
	"github.com/phuslu/log"

	"fulmarcourse.example/core/structs"
	"fulmarcourse.example/fulmarcourse/pkg/eventlog"
	"fulmarcourse.example/fulmarcourse/pkg/gozero"
	"fulmarcourse.example/fulmarcourse/pkg/metrics"
	"fulmarcourse.example/fulmarcourse/pkg/node"
	"fulmarcourse.example/fulmarcourse/pkg/standin"
)

// Size of the standalone platform. It has two data centres with four workers and four runners each, and one entry host
// per data centre.
const (
	standaloneRacks           = 2
	standalonePerRack         = 2
	standaloneService         = structs.ServiceName("quotes")
	quoteServiceTime          = 30 * time.Millisecond
	standaloneShutdownTimeout = 10 * time.Second
)

//go:embed standalone.ini
var standaloneDocument string

// runStandalone serves with fakes of the platform in the same process until SIGTERM or SIGINT. It stores nothing on
// disk.
func runStandalone(opts options, stdout, stderr io.Writer) int {
	logger := eventlog.NewLogger(stderr, log.InfoLevel, "standalone")
	gozero.Configure(logger)
	platform, err := standin.NewPlatform(standin.PlatformConfig{
		Datacentres: []standin.DatacentreConfig{standaloneDatacentreConfig("north"), standaloneDatacentreConfig("south")},
		Service:     standaloneService,
		Runner:      standin.RunnerConfig{ServiceTime: map[structs.KindName]time.Duration{"quote": quoteServiceTime}},
		Worker: standin.WorkerConfig{
			Capacity: structs.Resources{MilliCPU: 16_000, MemoryBytes: 60 << 30, Accelerators: 2},
		},
		Seed: 1,
	})
	if err != nil {
		_, _ = fmt.Fprintln(stderr, "fulmard:", err)
		return ExitFailed
	}
	defer platform.Close()
	ctx, stop := signal.NotifyContext(context.Background(), syscall.SIGTERM, os.Interrupt)
	defer stop()
	context.AfterFunc(ctx, stop)
	if err := serveStandalone(ctx, opts, platform, logger, stdout); err != nil {
		_, _ = fmt.Fprintln(stderr, "fulmard:", err)
		return ExitFailed
	}
	return ExitOK
}

func standaloneDatacentreConfig(id structs.DatacentreID) standin.DatacentreConfig {
	return standin.DatacentreConfig{
		ID: id, Racks: standaloneRacks, WorkersPerRack: standalonePerRack, RunnersPerRack: standalonePerRack,
	}
}

func serveStandalone(ctx context.Context, opts options, platform *standin.Platform, logger *eventlog.Logger, stdout io.Writer) error {
	first, err := node.NewNode(standaloneNodeConfig(opts.http, "entry-north", "north", platform, logger))
	if err != nil {
		return errors.Trace(err)
	}
	second, err := node.NewNode(standaloneNodeConfig("127.0.0.1:0", "entry-south", "south", platform, logger))
	if err != nil {
		return errors.Trace(err)
	}
	done := make(chan error, 2)
	go func() { done <- first.Run(ctx) }()
	go func() { done <- second.Run(ctx) }()
	if err := first.PutDocument(ctx, standaloneDocument); err != nil {
		return errors.Annotate(err, "promoting the built-in document")
	}
	_, _ = fmt.Fprintf(stdout, "serving on http://%s and http://%s\n", first.HTTPAddr(), second.HTTPAddr())
	return errors.Trace(firstError(<-done, <-done))
}

func firstError(errs ...error) error {
	for _, err := range errs {
		if err != nil {
			return err
		}
	}
	return nil
}

func standaloneNodeConfig(http string, host structs.HostID, dc structs.DatacentreID, platform *standin.Platform, logger *eventlog.Logger) node.Config {
	return node.Config{
		Host:                host,
		Datacentre:          dc,
		Environment:         "standalone",
		TrialEnvironment:    "standalone-trial",
		HTTPAddress:         http,
		PeerListen:          "127.0.0.1:0",
		StoreEndpoint:       platform.StoreURL,
		HostListEndpoint:    platform.HostListURL,
		ShardsPerDatacentre: 2,
		ShutdownTimeout:     standaloneShutdownTimeout,
		Seed:                1,
		Log:                 logger,
		Metrics:             metrics.NewMetrics(string(host), string(dc)),
		Clock:               time.Now,
	}
}
