package main

import (
	"bufio"
	"io"
	"regexp"
	"slices"
)

// listedKind matches the line of a kind in the output of fleetbench kinds.
var listedKind = regexp.MustCompile(`^([a-z_]+): `)

// ReadKinds returns the kinds in the output of fleetbench kinds.
func ReadKinds(r io.Reader) (map[Kind]bool, error) {
	kinds := map[Kind]bool{}
	lines := bufio.NewScanner(r)
	for lines.Scan() {
		if match := listedKind.FindStringSubmatch(lines.Text()); match != nil {
			kinds[Kind(match[1])] = true
		}
	}
	return kinds, lines.Err()
}

// kindsWithoutRow returns the kinds that the site plays and the table lacks, in order.
func kindsWithoutRow(known map[Kind]bool) []Kind {
	var missing []Kind
	for kind := range known {
		if !slices.ContainsFunc(rows, func(row Row) bool { return row.Kind == kind }) {
			missing = append(missing, kind)
		}
	}
	slices.Sort(missing)
	return missing
}
