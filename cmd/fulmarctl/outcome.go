package main

import (
	"encoding/json"
	"flag"
	"fmt"
	"io"
	"net/http"

	"github.com/juju/errors"

	"fulmarcourse.example/fulmarcourse/pkg/operatorapi"
	"fulmarcourse.example/fulmarcourse/pkg/problem"
)

// Exit codes.
const (
	exitOK       = 0
	exitNegative = 1
	exitUsage    = 2
	exitConflict = 3
	exitNotRun   = 4
	exitUnknown  = 5
)

// failure is an error with its exit code. Problem is set when a server has answered with one.
type failure struct {
	code    int
	problem problem.Problem
}

// Error returns the title and the detail.
func (f *failure) Error() string {
	if f.problem.Detail == "" {
		return f.problem.Title
	}
	return f.problem.Title + ": " + f.problem.Detail
}

// errNegative means a negative answer that is already printed.
const errNegative = errors.ConstError("negative answer")

func fail(code int, title, detail string) error {
	return &failure{code: code, problem: problem.Problem{Title: title, Detail: detail}}
}

// usageError turns an error of the command line into a failure. A call for help stays what it is.
func usageError(err error) error {
	if errors.Is(err, flag.ErrHelp) {
		return flag.ErrHelp
	}
	return fail(exitUsage, "usage", err.Error())
}

// exitCodes gives the exit code of problem types. Those from "/problems/unknown-job" on are of the jobs interface.
var exitCodes = map[string]int{
	operatorapi.ProblemBadRequest:        exitNegative,
	operatorapi.ProblemFindings:          exitNegative,
	operatorapi.ProblemNotTried:          exitNegative,
	operatorapi.ProblemWrongEnvironment:  exitNegative,
	operatorapi.ProblemNoDocument:        exitNegative,
	operatorapi.ProblemUnknownDatacentre: exitNegative,
	operatorapi.ProblemConflict:          exitConflict,
	operatorapi.ProblemNotApplied:        exitNotRun,
	operatorapi.ProblemOutcomeUnknown:    exitUnknown,
	"/problems/unknown-job":              exitNegative,
	"/problems/invalid-job":              exitNegative,
	"/problems/not-allowed":              exitNegative,
	"/problems/key-reused":               exitNegative,
	"/problems/not-accepted":             exitNotRun,
	"/problems/unknown":                  exitUnknown,
}

// toFailure turns an error answer into a failure. changes tells whether the command may change anything: then an
// answer that says nothing certain leaves the outcome unknown.
func toFailure(status int, body []byte, changes bool) *failure {
	var p problem.Problem
	if json.Unmarshal(body, &p) != nil || p.Title == "" {
		p = problem.Problem{Title: fmt.Sprintf("the server answered with status %d", status), Status: status}
	}
	if code, known := exitCodes[p.Type]; known {
		return &failure{code, p}
	}
	switch {
	case status == http.StatusConflict:
		return &failure{exitConflict, p}
	case status < http.StatusInternalServerError:
		return &failure{exitNegative, p}
	case changes:
		return &failure{exitUnknown, p}
	}
	return &failure{exitNotRun, p}
}

// finish reports err and returns the exit code. In JSON form the problem goes to standard output like any result.
func (a *app) finish(err error) int {
	if err == nil || errors.Is(err, flag.ErrHelp) {
		return exitOK
	}
	if errors.Is(err, errNegative) {
		return exitNegative
	}
	var f *failure
	if !errors.As(err, &f) {
		f = &failure{exitNotRun, problem.Problem{Title: "the command failed", Detail: err.Error()}}
	}
	if a.options.output == outputJSON && f.code != exitUsage {
		a.writeJSON(f.problem)
		return f.code
	}
	if len(f.problem.Findings) > 0 {
		printFindings(a.errOut, f.problem.Findings)
		return f.code
	}
	fmt.Fprintln(a.errOut, "fulmarctl:", f.Error())
	return f.code
}

// print writes a result as JSON or by the given text form.
func (a *app) print(result any, text func(io.Writer)) error {
	if a.options.output == outputJSON {
		a.writeJSON(result)
	} else {
		text(a.out)
	}
	return nil
}

func (a *app) writeJSON(result any) {
	encoder := json.NewEncoder(a.out)
	encoder.SetIndent("", "  ")
	_ = encoder.Encode(result) // an error can only be a closed output
}

func printFindings(w io.Writer, findings []problem.Finding) {
	for _, f := range findings {
		fmt.Fprintf(w, "%s: ", f.Place)
		if f.Section != "" {
			fmt.Fprintf(w, "[%s] ", f.Section)
		}
		if f.Key != "" {
			fmt.Fprintf(w, "%s: ", f.Key)
		}
		fmt.Fprint(w, f.Message)
		if f.Accepted != "" {
			fmt.Fprintf(w, "; accepted: %s", f.Accepted)
		}
		fmt.Fprintln(w)
	}
}
