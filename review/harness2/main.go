//go:build review2

// Command harness2 plays the scripts of the second review: entry hosts run as separate processes, and the store, the runners and the
// clients are stand-ins in this process.
package main

import (
	"flag"
	"fmt"
	"os"
)

// Exit codes of a script.
const (
	held       = 0
	broken     = 1
	couldntRun = 2
)

// play plays a case and returns its verdict.
type play func(trouble bool) (code int, s *site, verdict []string)

func main() {
	name := flag.String("case", "", "name of the case")
	out := flag.String("record", "", "file for the record")
	flag.Parse()
	cases := map[string]play{"ends": playEnds, "large": playLarge, "moved": playMoved, "returned": playReturned, "explore": playExplore}
	one, known := cases[*name]
	if !known || *out == "" {
		fmt.Fprintln(os.Stderr, "unknown case, or no record")
		os.Exit(couldntRun)
	}
	code, s, verdict := one(os.Getenv("TROUBLE") != "0")
	if s != nil {
		if err := s.record.write(*out, verdict); err != nil {
			fmt.Fprintln(os.Stderr, err)
			code = couldntRun
		}
		s.close()
	}
	for _, line := range verdict[:min(len(verdict), 12)] {
		fmt.Println(line)
	}
	os.Exit(code)
}
