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
	exitNegative = 1 // findings or a negative answer
	exitUsage    = 2
	exitConflict = 3 // conflict with another operator
	exitNotRun   = 4 // no server could be reached or nothing was run
	exitUnknown  = 5 // it is not known whether the command took effect
)

// failure is an error with an exit code. The problem is the one that a server replied with, or a description of the
// error.
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

// errNegative means that the result is negative and has already been printed.
const errNegative = errors.ConstError("negative answer")

func fail(code int, title, detail string) error {
	return &failure{code: code, problem: problem.Problem{Title: title, Detail: detail}}
}

// usageError converts an error in the command line to a failure. It returns flag.ErrHelp unchanged.
func usageError(err error) error {
	if errors.Is(err, flag.ErrHelp) {
		return flag.ErrHelp
	}
	return fail(exitUsage, "usage", err.Error())
}

// exitCodes maps problem types to exit codes. The types from "/problems/unknown-job" on are those of the jobs API.
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

// failureOf converts an error response to a failure. If the call may change state, a response that does not determine
// its outcome gives exitUnknown.
func failureOf(status int, body []byte, mutates bool) *failure {
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
	case mutates:
		return &failure{exitUnknown, p}
	}
	return &failure{exitNotRun, p}
}

// finish reports err and returns the exit code. With JSON output, the problem is written to standard output like a
// result.
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

// print writes a result as JSON, or with the function text if the output form is text.
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
	_ = encoder.Encode(result) // fails only if the output is closed
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
