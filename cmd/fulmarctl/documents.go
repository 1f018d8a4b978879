package main

import (
	"context"
	"flag"
	"fmt"
	"io"
	"net/http"
	"os"

	"fulmarcourse.example/core/document"
	"fulmarcourse.example/core/inifile"
	"fulmarcourse.example/core/structs"
	"fulmarcourse.example/fulmarcourse/pkg/control"
	"fulmarcourse.example/fulmarcourse/pkg/operatorapi"
	"fulmarcourse.example/fulmarcourse/pkg/problem"
)

func runValidate(ctx context.Context, a *app, args []string) error {
	flags := a.flagSet("validate")
	offline := flags.Bool("offline", false, "check with fulmarctl itself and call no server")
	name, text, err := a.documentArgument(flags, args)
	if err != nil {
		return err
	}
	var reply operatorapi.ValidateReply
	if *offline {
		parsed, err := parseDocument(name, text)
		if err != nil {
			return err
		}
		reply = operatorapi.ValidateReply{Digest: document.Digest(text), Environment: parsed.Environment}
	} else if err := a.client.do(ctx, apiCall{method: http.MethodPost, path: "/v1/documents/validate",
		body: operatorapi.DocumentBody{Name: name, Text: string(text)}}, &reply); err != nil {
		return err
	}
	return a.print(reply, func(w io.Writer) {
		fmt.Fprintf(w, "%s: no findings; environment %s, digest %s\n", name, reply.Environment, reply.Digest)
	})
}

func runDiff(ctx context.Context, a *app, args []string) error {
	flags := a.flagSet("diff")
	against := flags.String("against", "", "compare with this `file` and call no server")
	name, text, err := a.documentArgument(flags, args)
	if err != nil {
		return err
	}
	var reply operatorapi.DiffReply
	if *against != "" {
		if reply, err = diffFiles(*against, name, text); err != nil {
			return err
		}
	} else if err := a.client.do(ctx, apiCall{method: http.MethodPost, path: "/v1/documents/diff",
		body: operatorapi.DocumentBody{Name: name, Text: string(text)}}, &reply); err != nil {
		return err
	}
	return a.print(reply, func(w io.Writer) {
		fmt.Fprintf(w, "version in effect: %d; %d changes\n", reply.Version, len(reply.Changes))
		for _, change := range reply.Changes {
			fmt.Fprintln(w, change)
		}
	})
}

func diffFiles(oldName, newName string, newText []byte) (operatorapi.DiffReply, error) {
	oldText, err := readDocument(oldName)
	if err != nil {
		return operatorapi.DiffReply{}, err
	}
	before, err := parseDocument(oldName, oldText)
	if err != nil {
		return operatorapi.DiffReply{}, err
	}
	after, err := parseDocument(newName, newText)
	if err != nil {
		return operatorapi.DiffReply{}, err
	}
	return operatorapi.DiffReply{Digest: document.Digest(newText), Changes: document.Diff(before, after)}, nil
}

func runTry(ctx context.Context, a *app, args []string) error {
	flags := a.flagSet("try")
	name, text, err := a.documentArgument(flags, args)
	if err != nil {
		return err
	}
	var result control.DocumentResult
	// Trying a document that is already in effect in the trial environment changes nothing.
	err = a.client.do(ctx, apiCall{method: http.MethodPost, path: "/v1/documents/try", retry: retryIfNotRun, mutates: true,
		body: operatorapi.DocumentBody{Name: name, Text: string(text), Author: a.options.author}}, &result)
	if err != nil {
		return err
	}
	return a.printDocumentResult("tried", result)
}

// expectUnset is the value of -expect when the flag is not given. It differs from 0, which the first promotion expects.
const expectUnset = -1

func runPromote(ctx context.Context, a *app, args []string) error {
	flags := a.flagSet("promote")
	expect := flags.Int64("expect", expectUnset, "`version` in effect that the document replaces; 0 for the first document")
	if err := a.parse(flags, args, 1); err != nil {
		return err
	}
	if *expect < 0 {
		return fail(exitUsage, "usage", "promote needs -expect VERSION; fulmarctl status shows the version in effect")
	}
	var result control.DocumentResult
	err := a.client.do(ctx, apiCall{method: http.MethodPost, path: "/v1/documents/promote", retry: retryIfNotRun, mutates: true,
		body: operatorapi.PromoteBody{
			Digest: structs.Digest(flags.Arg(0)), ExpectedVersion: *expect, Author: a.options.author,
		}}, &result)
	if err != nil {
		return err
	}
	return a.printDocumentResult("promoted", result)
}

func (a *app) printDocumentResult(verb string, result control.DocumentResult) error {
	return a.print(result, func(w io.Writer) {
		fmt.Fprintf(w, "%s: environment %s, version %d, digest %s\n", verb, result.Environment, result.Version, result.Digest)
	})
}

func runHistory(ctx context.Context, a *app, args []string) error {
	if err := a.parse(a.flagSet("history"), args, 0); err != nil {
		return err
	}
	var reply operatorapi.HistoryReply
	if err := a.client.do(ctx, apiCall{method: http.MethodGet, path: "/v1/documents/history"}, &reply); err != nil {
		return err
	}
	return a.print(reply, func(w io.Writer) {
		for _, v := range reply.Versions {
			fmt.Fprintf(w, "%6d  %s  %s  %s\n", v.Version, v.Time.Format("2006-01-02T15:04:05Z07:00"), v.Digest, v.Author)
		}
	})
}

// documentArgument parses a command line whose only argument is the file name of a document, and reads the file.
func (a *app) documentArgument(flags *flag.FlagSet, args []string) (name string, text []byte, err error) {
	if err := a.parse(flags, args, 1); err != nil {
		return "", nil, err
	}
	name = flags.Arg(0)
	text, err = readDocument(name)
	return name, text, err
}

// readDocument reads a document and checks its length and that it is valid text. These checks do not depend on the
// server, and a server that receives a document that is too long closes the connection without reporting the cause.
func readDocument(name string) ([]byte, error) {
	text, err := os.ReadFile(name)
	if err != nil {
		return nil, fail(exitUsage, "the file cannot be read", err.Error())
	}
	if findings := document.CheckText(name, text); len(findings) > 0 {
		return nil, findingsFailure(findings)
	}
	return text, nil
}

// parseDocument parses a document without a server. It returns findings as the failure that a server would report.
func parseDocument(name string, text []byte) (structs.Document, error) {
	parsed, findings := document.Parse(name, text)
	if len(findings) == 0 {
		return parsed, nil
	}
	return parsed, findingsFailure(findings)
}

func findingsFailure(findings inifile.Findings) *failure {
	p := problem.Problem{Type: operatorapi.ProblemFindings, Title: "The document has findings", Status: http.StatusUnprocessableEntity}
	for _, f := range findings {
		p.Findings = append(p.Findings, problem.Finding{
			Place: f.Place(), Section: f.Section, Key: f.Key, Message: f.Message, Accepted: f.Accepted,
		})
	}
	return &failure{exitNegative, p}
}
