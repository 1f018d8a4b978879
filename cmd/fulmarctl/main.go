// Command fulmarctl is the operators' command line for an environment: documents, data centres, jobs and status.
//
// Exit codes: 0 done; 1 findings or a negative answer; 2 wrong usage; 3 conflict with another operator; 4 no entry
// host could be reached or nothing was run; 5 it is not known whether the command took effect.
package main

import (
	"context"
	"flag"
	"fmt"
	"io"
	"os"
	"os/signal"
	"runtime/debug"
	"time"

	"github.com/juju/errors"
	"github.com/zeromicro/go-zero/core/logx"
)

// command is one subcommand.
type command struct {
	name    string
	args    string // for the usage text
	summary string
	run     func(ctx context.Context, a *app, args []string) error
}

// commands lists all subcommands in the order of the usage text.
func commands() []command {
	return []command{
		{"validate", "[-offline] FILE", "check a document and show all findings", runValidate},
		{"diff", "[-against FILE] FILE", "compare a document with the one in effect, or with a file", runDiff},
		{"try", "FILE", "put a document in effect in the trial environment", runTry},
		{"promote", "-expect VERSION DIGEST", "put a tried document in effect", runPromote},
		{"status", "", "show what an entry host knows", runStatus},
		{"history", "", "list the versions of the document", runHistory},
		{"datacentre", "out|in [-wait DURATION] NAME", "take a data centre out of service or bring it back", runDatacentre},
		{"jobs", "list|submit|wait|cancel ...", "work with jobs", runJobs},
		{"explain", "JOB", "tell why a job waits or where it runs", runExplain},
		{"job-log", "JOB [FILE...]", "tell from the logs of entry hosts what happened to a job", runJobLog},
		{"version", "", "show the version of fulmarctl", runVersion},
	}
}

// app is the state that the subcommands share.
type app struct {
	out, errOut io.Writer
	getenv      func(string) string
	options     options
	client      *client
	sleep       func(ctx context.Context, d time.Duration) error
}

// options are the flags that every subcommand accepts.
type options struct {
	servers serverList
	output  string
	author  string
	timeout time.Duration
}

// Output forms of -o.
const (
	outputText = "text"
	outputJSON = "json"
)

// defaultTimeout bounds one call to one server. It exceeds the time that a server takes to determine the outcome of a
// store write whose response was lost.
const defaultTimeout = 12 * time.Second

func (o *options) register(flags *flag.FlagSet) {
	flags.Var(&o.servers, "server", "`http://IP:port` of an entry host; repeat it or separate with commas, tried in order")
	flags.StringVar(&o.output, "o", o.output, "output form: text or json")
	flags.StringVar(&o.author, "author", o.author, "`name` of the operator, kept in the history")
	flags.DurationVar(&o.timeout, "timeout", o.timeout, "time for one call to one server")
}

func main() {
	logx.Disable() // go-zero's HTTP client would log to standard output
	ctx, stop := signal.NotifyContext(context.Background(), os.Interrupt)
	code := newApp(os.Getenv, os.Stdout, os.Stderr).run(ctx, os.Args[1:])
	stop()
	os.Exit(code)
}

func newApp(getenv func(string) string, out, errOut io.Writer) *app {
	a := &app{out: printableWriter{out}, errOut: printableWriter{errOut}, getenv: getenv, sleep: sleep}
	a.options = options{output: outputText, author: getenv("USER"), timeout: defaultTimeout}
	a.client = newClient(a)
	return a
}

// run executes one command line and returns the exit code.
func (a *app) run(ctx context.Context, args []string) int {
	return a.finish(a.dispatch(ctx, args))
}

func (a *app) dispatch(ctx context.Context, args []string) error {
	flags := a.flagSet("fulmarctl")
	if err := flags.Parse(args); err != nil {
		return usageError(err)
	}
	for _, c := range commands() {
		if c.name == flags.Arg(0) {
			return c.run(ctx, a, flags.Args()[1:])
		}
	}
	a.usage()
	return usageError(errors.Errorf("unknown command %q", flags.Arg(0)))
}

// flagSet returns a flag set with the common flags. Errors are returned to the caller.
func (a *app) flagSet(name string) *flag.FlagSet {
	flags := flag.NewFlagSet(name, flag.ContinueOnError)
	flags.SetOutput(a.errOut)
	a.options.register(flags)
	if name == "fulmarctl" {
		flags.Usage = a.usage
	}
	return flags
}

// parse parses the flags of a subcommand, checks the number of arguments, and sets the default servers.
func (a *app) parse(flags *flag.FlagSet, args []string, count int) error {
	if err := flags.Parse(args); err != nil {
		return usageError(err)
	}
	if flags.NArg() != count {
		flags.Usage()
		return usageError(errors.Errorf("%s needs %d arguments, not %d", flags.Name(), count, flags.NArg()))
	}
	if a.options.output != outputText && a.options.output != outputJSON {
		return usageError(errors.Errorf("-o %q is neither text nor json", a.options.output))
	}
	if len(a.options.servers) == 0 {
		if err := a.options.servers.setDefault(a.getenv("FULMARCTL_SERVER")); err != nil {
			return usageError(errors.Annotate(err, "FULMARCTL_SERVER"))
		}
	}
	return nil
}

func (a *app) usage() {
	fmt.Fprint(a.errOut, "usage: fulmarctl [flags] COMMAND [flags] ARGUMENTS\n\n")
	for _, c := range commands() {
		fmt.Fprintf(a.errOut, "  %-10s %-32s %s\n", c.name, c.args, c.summary)
	}
	fmt.Fprint(a.errOut, "\nflags (before or after the command):\n"+
		"  -server URL    http://IP:port of an entry host; repeated or comma-separated, tried in order;\n"+
		"                 default: FULMARCTL_SERVER, else "+defaultServer+"\n"+
		"  -o FORM        text or json\n  -author NAME   operator kept in the history; default: USER\n"+
		"  -timeout TIME  time for one call to one server\n\n"+
		"exit codes: 0 done, 1 findings or negative answer, 2 usage, 3 conflict,\n"+
		"            4 not reachable or not run, 5 outcome unknown\n")
}

func runVersion(_ context.Context, a *app, args []string) error {
	if err := a.parse(a.flagSet("version"), args, 0); err != nil {
		return err
	}
	version := struct {
		Version string `json:"version"`
	}{"unknown"}
	if info, ok := debug.ReadBuildInfo(); ok {
		version.Version = info.Main.Version
	}
	return a.print(version, func(w io.Writer) { fmt.Fprintln(w, "fulmarctl", version.Version) })
}

func sleep(ctx context.Context, d time.Duration) error {
	timer := time.NewTimer(d)
	defer timer.Stop()
	select {
	case <-timer.C:
		return nil
	case <-ctx.Done():
		return ctx.Err()
	}
}
