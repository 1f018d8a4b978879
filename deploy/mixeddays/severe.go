package main

import "math"

// Severe is the mode of days with few disruptions that strike most of the machines, or last for long. Most of what runs is lost then, so that the
// pool is little used afterwards while many jobs wait: a wait without a bound breaks a rule only there.
const Severe Mode = "severe"

const maxSevere = 3 // disruptions

var (
	severeShare  = Range{30, 100} // per cent
	severeLength = Range{8, 40}   // seconds
	// pastEnd is how much later than the end of the traffic a disruption ends that lasts until about then.
	pastEnd = Range{-2, 6} // seconds
)

// severe draws a day of mode Severe.
func (g *generator) severe(day *Day) {
	for range 1 + g.random.IntN(maxSevere) {
		row, variant, d := g.severeEntry()
		d.At = roundTo(g.between(Range{firstStart, day.Length - lastStart}), tenth)
		if d.Length > 0 {
			d.Length = g.severeLength(day.Length - d.At)
		}
		day.add(d, max(row.Section, variant.Section))
	}
	if g.chance(placeChance) {
		day.Closing = g.closing()
	}
}

// severeEntry draws an entry that removes nothing for good, with a share that is great if it has one. One that strikes a selected host keeps that.
func (g *generator) severeEntry() (Row, Variant, Disruption) {
	for {
		row := pick(g.random, g.rows)
		variant := pick(g.random, row.variants())
		if variant.Removes != RemovesNothing {
			continue
		}
		d := g.entry(row, variant)
		if d.Share > 0 {
			d.Share = Percent(math.Round(g.between(severeShare)))
		}
		return row, variant, d
	}
}

// severeLength draws for how long a disruption lasts that begins a time before the end of the traffic: short in some days, else long or until
// about the end.
func (g *generator) severeLength(rest float64) float64 {
	switch {
	case g.chance(shortChance):
		return g.short()
	case g.chance(placeChance):
		return roundTo(g.between(severeLength), tenth)
	}
	return roundTo(max(rest+g.between(pastEnd), shortLength.Low), tenth)
}
