package main

import (
	"context"
	"fmt"
	"io"
	"net/http"
	"time"

	"fulmarcourse.example/core/structs"
	"fulmarcourse.example/fulmarcourse/pkg/control"
	"fulmarcourse.example/fulmarcourse/pkg/operatorapi"
)

const (
	// defaultWait is a second longer than permits live, so that the answer is final in the normal case.
	defaultWait = control.PermitTTL + time.Second
	// waitInterval is the time between looks at the status.
	waitInterval = 500 * time.Millisecond
)

func runStatus(ctx context.Context, a *app, args []string) error {
	if err := a.parse(a.flagSet("status"), args, 0); err != nil {
		return err
	}
	status, err := a.status(ctx)
	if err != nil {
		return err
	}
	return a.print(status, func(w io.Writer) { printStatus(w, status) })
}

func (a *app) status(ctx context.Context) (operatorapi.StatusReply, error) {
	var status operatorapi.StatusReply
	err := a.client.do(ctx, call{method: http.MethodGet, path: "/v1/status"}, &status)
	return status, err
}

func printStatus(w io.Writer, s operatorapi.StatusReply) {
	fmt.Fprintf(w, "host %s, environment %s\n", s.Host, s.Environment)
	fmt.Fprintf(w, "document version %d, digest %s, author %s\n", s.Version, s.Digest, s.Author)
	fmt.Fprintf(w, "store reachable: %t; control state at revision %d, %d ms old\n", s.StoreReachable, s.Revision, s.RevisionAgeMs)
	if s.RemovalAttempted {
		fmt.Fprintln(w, "a removal was attempted by this host and is not settled")
	}
	for _, dc := range s.Datacentres {
		fmt.Fprintf(w, "data centre %s: %s\n", dc.Datacentre, dc.State)
		if dc.Change != nil && !dc.Change.Confirmed() {
			printSpread(w, *dc.Change)
		}
	}
	for _, m := range s.Members {
		fmt.Fprintf(w, "member %s in %s at %s\n", m.Host, m.Datacentre, m.PeerAddr)
	}
	for _, shard := range s.Shards {
		fmt.Fprintf(w, "shard %s: owner %s, epoch %d\n", shard.Shard, shard.Owner, shard.Epoch)
	}
}

func printSpread(w io.Writer, report control.ChangeReport) {
	for _, dc := range report.Datacentres {
		if dc.Confirmed {
			fmt.Fprintf(w, "  %s: confirmed\n", dc.Datacentre)
		} else {
			fmt.Fprintf(w, "  %s: not confirmed by %v; permits expire at %s\n",
				dc.Datacentre, dc.Unconfirmed, dc.ExpiresAt.Format(time.RFC3339))
		}
	}
}

func runDatacentre(ctx context.Context, a *app, args []string) error {
	if len(args) == 0 || (args[0] != string(structs.DatacentreOut) && args[0] != string(structs.DatacentreIn)) {
		return fail(exitUsage, "usage", "datacentre needs out or in")
	}
	state := structs.DatacentreState(args[0])
	flags := a.flagSet("datacentre " + args[0])
	wait := flags.Duration("wait", defaultWait, "time to wait for confirmations; 0 returns at once")
	if err := a.parse(flags, args[1:], 1); err != nil {
		return err
	}
	var report control.ChangeReport
	err := a.client.do(ctx, call{
		method: http.MethodPost, path: "/v1/datacentres/" + pathSegment(flags.Arg(0)) + "/" + args[0],
		body: operatorapi.DatacentreBody{Author: a.options.author}, repeat: repeatIfNotRun, changes: true,
	}, &report)
	if err != nil {
		return err
	}
	if report, err = a.waitConfirmed(ctx, report, *wait); err != nil {
		return err
	}
	return a.print(report, func(w io.Writer) {
		fmt.Fprintf(w, "data centre %s is %s since store revision %d\n", report.Datacentre, state, report.Revision)
		printSpread(w, report)
	})
}

// waitConfirmed looks at the status until every data centre has confirmed the change or the wait is over. The
// change itself is done, so a status that cannot be read only ends the wait.
func (a *app) waitConfirmed(ctx context.Context, report control.ChangeReport, wait time.Duration) (control.ChangeReport, error) {
	for range int(wait / waitInterval) {
		if report.Confirmed() {
			break
		}
		if err := a.sleep(ctx, waitInterval); err != nil {
			return report, nil
		}
		status, err := a.status(ctx)
		if err != nil {
			return report, nil
		}
		for _, dc := range status.Datacentres {
			if dc.Datacentre != report.Datacentre || dc.Change == nil {
				continue
			}
			if dc.Change.Revision > report.Revision {
				return report, fail(exitConflict, "another operator has changed the data centre since",
					fmt.Sprintf("it is %s", dc.State))
			}
			if dc.Change.Revision == report.Revision {
				report.Datacentres = dc.Change.Datacentres
			}
		}
	}
	return report, nil
}
