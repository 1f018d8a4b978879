// Command mixeddays writes a day file for fleetbench with disruptions of all kinds and variants, drawn from a seed.
//
//	go run ./deploy/mixeddays -seed 7 -disruptions 2-6 > DAY.toml
//
// With -mode single, the day holds one disruption, short for some seeds and of its default length for others; with -mode pair, the
// owner is lost as well, -owners times, before, at or after it. With -mode severe, few disruptions strike most machines or last for long. -forms prints the number of forms, through which the seeds go in turn.
//
// With -crashes 5-12, workers also crash so many times in a row, as the kinds of the site allow.
//
// With -kinds FILE, it draws only from the kinds in FILE, the output of fleetbench kinds for a site. Removals for good leave most
// of the hosts and workers; -hosts and -workers state how many a site has.
package main

import (
	"flag"
	"fmt"
	"os"
	"slices"
)

func main() {
	if err := run(); err != nil {
		fmt.Fprintln(os.Stderr, "mixeddays:", err)
		os.Exit(1)
	}
}

func run() error {
	cfg := Config{Site: Site{Hosts: 6, Workers: 48}}
	flag.Uint64Var(&cfg.Seed, "seed", 1, "seed of the day")
	flag.IntVar(&cfg.Site.Hosts, "hosts", cfg.Site.Hosts, "hosts of the smallest site that plays the day")
	flag.IntVar(&cfg.Site.Workers, "workers", cfg.Site.Workers, "workers of the smallest site that plays the day")
	disruptions := flag.String("disruptions", "2-6", "least and greatest `number` of disruptions")
	crashes := flag.String("crashes", "", "least and greatest `number` of crashes of workers in a row, beside the disruptions; none if empty")
	mode := flag.String("mode", string(Mixed), "`mode`: mixed, single, pair or severe")
	owners := flag.String("owners", "1-1", "least and greatest `number` of losses of the owner in days of mode pair")
	forms := flag.Bool("forms", false, "print the number of forms of disruptions that the site plays, and draw no day")
	kinds := flag.String("kinds", "", "`file` with the kinds that the site plays; all if empty")
	flag.Parse()

	var err error
	if cfg.Least, cfg.Most, err = parseNumbers(*disruptions); err != nil {
		return err
	}
	if *crashes != "" {
		if cfg.LeastCrashes, cfg.MostCrashes, err = parseNumbers(*crashes); err != nil {
			return err
		}
	}
	if cfg.Mode, err = parseMode(*mode); err != nil {
		return err
	}
	if cfg.LeastOwners, cfg.MostOwners, err = parseNumbers(*owners); err != nil {
		return err
	}
	if cfg.Known, err = loadKinds(*kinds); err != nil {
		return err
	}
	if missing := kindsWithoutRow(cfg.Known); len(missing) > 0 {
		fmt.Fprintf(os.Stderr, "mixeddays: the site plays kinds that the table lacks: %v\n", missing)
	}
	if *forms {
		_, err := fmt.Println(CountForms(cfg.Known))
		return err
	}
	day, err := Generate(cfg)
	if err != nil {
		return err
	}
	return day.Encode(os.Stdout)
}

func parseMode(text string) (Mode, error) {
	mode := Mode(text)
	if !slices.Contains([]Mode{Mixed, Single, Pair, Severe}, mode) {
		return "", fmt.Errorf("mode %q: want mixed, single, pair or severe", text)
	}
	return mode, nil
}

// parseNumbers reads two numbers that are joined by a hyphen, the lower one first.
func parseNumbers(text string) (least, most int, err error) {
	if _, err := fmt.Sscanf(text, "%d-%d", &least, &most); err != nil {
		return 0, 0, fmt.Errorf("number %q: want LEAST-MOST", text)
	}
	if least < 1 || most < least {
		return 0, 0, fmt.Errorf("number %q: want 1 or more, the lower one first", text)
	}
	return least, most, nil
}

// loadKinds reads a list of kinds, or returns nil if no file is named.
func loadKinds(path string) (map[Kind]bool, error) {
	if path == "" {
		return nil, nil
	}
	file, err := os.Open(path)
	if err != nil {
		return nil, err
	}
	defer file.Close()
	return ReadKinds(file)
}
