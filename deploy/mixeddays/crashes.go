package main

// Crashes in a row begin early in the traffic and go on until shortly before its end.
var (
	firstCrash = Range{2, 8}  // seconds from the start of the traffic
	lastCrash  = Range{2, 10} // seconds before its end
)

// addCrashes adds crashes of workers at about equal distances.
func (g *generator) addCrashes(day *Day, count int) {
	first, last := g.between(firstCrash), day.Length-g.between(lastCrash)
	for n := range count {
		row := pick(g.random, g.crashRows)
		crash := g.entry(row, pick(g.random, row.variants()))
		crash.At = roundTo(first+(last-first)*float64(n)/float64(max(count-1, 1)), tenth)
		day.Faults = append(day.Faults, crash)
	}
}
