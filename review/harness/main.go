//go:build review

// Command harness plays one case of the review: the project's entry hosts as processes of their own on a stand-in of the users'
// platform, with a disruption or, with TROUBLE=0, without it. It exits with 1 if the rule was broken, 0 if it held and 2 if the
// case could not run.
package main

import (
	"flag"
	"fmt"
	"os"
	"os/signal"
	"syscall"
)

// Exit codes.
const (
	exitHeld   = 0
	exitBroken = 1
	exitNotRun = 2
)

// scenario plays a case and returns a description of each breach of its rule.
type scenario func(p *platform, trouble bool) (broken []string, err error)

var scenarios = map[string]scenario{}

func main() { os.Exit(play()) }

func play() int {
	name := flag.String("case", "", "name of the case")
	path := flag.String("record", "record.txt", "file for what was sent, answered and run")
	program := flag.String("program", "target/fulmard", "program of an entry host")
	seed := flag.Uint64("seed", 1, "seed of the stand-ins")
	flag.Parse()
	s, known := scenarios[*name]
	if !known {
		fmt.Fprintln(os.Stderr, "harness: no case", *name)
		return exitNotRun
	}
	r, err := newRecord(*path)
	if err != nil {
		fmt.Fprintln(os.Stderr, "harness:", err)
		return exitNotRun
	}
	p, err := newPlatform(r, *program, *seed)
	if err != nil {
		fmt.Fprintln(os.Stderr, "harness:", err)
		return exitNotRun
	}
	interrupted := make(chan os.Signal, 1)
	signal.Notify(interrupted, syscall.SIGINT, syscall.SIGTERM)
	go func() {
		<-interrupted
		p.close()
		os.Exit(exitNotRun)
	}()
	trouble := os.Getenv("TROUBLE") != "0"
	r.line("case %s, with the disruption: %v", *name, trouble)
	broken, err := s(p, trouble)
	p.close()
	for _, b := range broken {
		r.line("broken: %s", b)
		fmt.Println("broken:", b)
	}
	if err != nil {
		r.line("not run: %v", err)
		fmt.Fprintln(os.Stderr, "harness:", err)
	}
	r.line("%d breaches", len(broken))
	if closeErr := r.close(); closeErr != nil {
		fmt.Fprintln(os.Stderr, "harness:", closeErr)
		return exitNotRun
	}
	switch {
	case len(broken) > 0:
		return exitBroken
	case err != nil:
		return exitNotRun
	}
	return exitHeld
}
