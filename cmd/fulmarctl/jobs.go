package main

import (
	"context"
	"flag"
	"fmt"
	"io"
	"net/http"
	"net/url"
	"time"

	"github.com/google/uuid"

	"fulmarcourse.example/core/inifile"
	"fulmarcourse.example/core/structs"
)

// jobPollInterval is the interval between polls of a job. Each poll reads the store.
const jobPollInterval = time.Second

// job is a job as the server reports it. The reply to a submission may contain only the id and the state.
type job struct {
	structs.JobRecord
	State string `json:"state,omitempty"`
}

// explanation holds, for each task of a job, why it waits or where it runs.
type explanation struct {
	Job   structs.JobID `json:"job"`
	Tasks []string      `json:"tasks"`
}

func pathSegment(text string) string { return url.PathEscape(text) }

func runJobs(ctx context.Context, a *app, args []string) error {
	subcommands := map[string]func(context.Context, *app, []string) error{
		"list": runJobsList, "submit": runJobsSubmit, "wait": runJobsWait, "cancel": runJobsCancel,
	}
	if len(args) > 0 {
		if run, known := subcommands[args[0]]; known {
			return run(ctx, a, args[1:])
		}
	}
	return fail(exitUsage, "usage", "jobs needs list, submit, wait or cancel")
}

func runJobsList(ctx context.Context, a *app, args []string) error {
	flags := a.flagSet("jobs list")
	team := flags.String("team", "", "only jobs of this `team`")
	kind := flags.String("kind", "", "only jobs of this `kind`")
	if err := a.parse(flags, args, 0); err != nil {
		return err
	}
	query := url.Values{}
	if *team != "" {
		query.Set("team", *team)
	}
	if *kind != "" {
		query.Set("kind", *kind)
	}
	path := "/v1/jobs"
	if len(query) > 0 {
		path += "?" + query.Encode()
	}
	var jobs []job
	if err := a.client.do(ctx, apiCall{method: http.MethodGet, path: path}, &jobs); err != nil {
		return err
	}
	return a.print(jobs, func(w io.Writer) {
		for _, j := range jobs {
			printJob(w, j)
		}
	})
}

func runJobsSubmit(ctx context.Context, a *app, args []string) error {
	flags := a.flagSet("jobs submit")
	spec, err := a.parseSpec(flags, args)
	if err != nil {
		return err
	}
	if spec.Key == "" {
		spec.Key = uuid.NewString()
	}
	var submitted job
	// The key makes the submission safe to repeat.
	err = a.client.do(ctx, apiCall{method: http.MethodPost, path: "/v1/jobs", body: spec, retry: retryAlways, mutates: true}, &submitted)
	if err != nil {
		fmt.Fprintf(a.errOut, "fulmarctl: the idempotency key was %s; repeat with -key to submit the same job\n", spec.Key)
		return err
	}
	return a.print(submitted, func(w io.Writer) { fmt.Fprintln(w, submitted.ID) })
}

// parseSpec reads the job from the flags of "jobs submit".
func (a *app) parseSpec(flags *flag.FlagSet, args []string) (structs.JobSpec, error) {
	var spec structs.JobSpec
	flags.StringVar((*string)(&spec.Team), "team", "", "`team` that the job counts against")
	flags.StringVar((*string)(&spec.Kind), "kind", "", "batch `kind` of the document")
	flags.IntVar(&spec.Tasks, "tasks", 1, "number of tasks")
	flags.BoolVar(&spec.Urgent, "urgent", false, "start before work that is not urgent; the team needs the right")
	flags.StringVar(&spec.Input, "input", "", "input of the tasks")
	flags.StringVar(&spec.Key, "key", "", "idempotency `key`; generated when empty")
	runTime := flags.Duration("run-time", 0, "expected run time per task; default: the kind's")
	flags.Func("cpu", "processors per task, such as 2 or 500m; default: the kind's", func(text string) (err error) {
		spec.Declared.MilliCPU, err = inifile.CPU(1).Parse(text)
		return err
	})
	flags.Func("memory", "memory per task, such as 4GiB; default: the kind's", func(text string) (err error) {
		spec.Declared.MemoryBytes, err = inifile.Memory(1).Parse(text)
		return err
	})
	flags.Int64Var(&spec.Declared.Accelerators, "accelerators", 0, "accelerators per task")
	if err := a.parse(flags, args, 0); err != nil {
		return spec, err
	}
	spec.RunSeconds = runTime.Seconds()
	if spec.Team == "" || spec.Kind == "" {
		return spec, fail(exitUsage, "usage", "jobs submit needs -team and -kind")
	}
	return spec, nil
}

func runJobsWait(ctx context.Context, a *app, args []string) error {
	flags := a.flagSet("jobs wait")
	limit := flags.Duration("for", 0, "time to wait; 0 waits until the job has ended")
	if err := a.parse(flags, args, 1); err != nil {
		return err
	}
	for waited := time.Duration(0); ; waited += jobPollInterval {
		var j job
		if err := a.client.do(ctx, apiCall{method: http.MethodGet, path: "/v1/jobs/" + pathSegment(flags.Arg(0))}, &j); err != nil {
			return err
		}
		if ended := len(j.Tasks) > 0 && j.Final(); ended || (*limit > 0 && waited >= *limit) {
			return a.reportWait(j, ended)
		}
		if err := a.sleep(ctx, jobPollInterval); err != nil {
			return fail(exitNegative, "interrupted", "the job goes on")
		}
	}
}

// reportWait prints the job. It returns errNegative unless the job has ended with every task done.
func (a *app) reportWait(j job, ended bool) error {
	_ = a.print(j, func(w io.Writer) { printJob(w, j) })
	if !ended {
		return errNegative
	}
	for i := range j.Tasks {
		if j.Tasks[i].State != structs.TaskDone {
			return errNegative
		}
	}
	return nil
}

func runJobsCancel(ctx context.Context, a *app, args []string) error {
	flags := a.flagSet("jobs cancel")
	if err := a.parse(flags, args, 1); err != nil {
		return err
	}
	var j job
	// A cancelled job stays cancelled, so the call is safe to repeat.
	err := a.client.do(ctx, apiCall{method: http.MethodPost, path: "/v1/jobs/" + pathSegment(flags.Arg(0)) + "/cancel",
		retry: retryAlways, mutates: true}, &j)
	if err != nil {
		return err
	}
	return a.print(j, func(w io.Writer) { printJob(w, j) })
}

func runExplain(ctx context.Context, a *app, args []string) error {
	flags := a.flagSet("explain")
	if err := a.parse(flags, args, 1); err != nil {
		return err
	}
	var reply explanation
	path := "/v1/jobs/" + pathSegment(flags.Arg(0)) + "/explain"
	if err := a.client.do(ctx, apiCall{method: http.MethodGet, path: path}, &reply); err != nil {
		return err
	}
	return a.print(reply, func(w io.Writer) {
		for i, text := range reply.Tasks {
			fmt.Fprintf(w, "task %d: %s\n", i, text)
		}
	})
}

// printJob writes one line: id, kind, team and the number of tasks in each state.
func printJob(w io.Writer, j job) {
	fmt.Fprintf(w, "%s  %s  %s", j.ID, j.Spec.Kind, j.Spec.Team)
	if len(j.Tasks) == 0 && j.State != "" {
		fmt.Fprintf(w, "  %s", j.State)
	}
	counts := map[structs.TaskState]int{}
	for i := range j.Tasks {
		counts[j.Tasks[i].State]++
	}
	for _, state := range []structs.TaskState{structs.TaskPending, structs.TaskStarting, structs.TaskRunning,
		structs.TaskStopping, structs.TaskDone, structs.TaskFailed, structs.TaskParked, structs.TaskCancelled, structs.TaskUnknown} {
		if counts[state] > 0 {
			fmt.Fprintf(w, "  %s %d", state, counts[state])
		}
	}
	if j.CancelRequested {
		fmt.Fprint(w, "  cancel requested")
	}
	fmt.Fprintln(w)
}
