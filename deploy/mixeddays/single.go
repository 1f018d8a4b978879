package main

import (
	"fmt"
	"math"
)

// A Mode says how many disruptions a day holds.
type Mode string

// The modes of days.
const (
	Mixed  Mode = "mixed"  // several disruptions of any forms
	Single Mode = "single" // one disruption
	Pair   Mode = "pair"   // one disruption, and losses of the owner around it
)

// shortLength is shorter than any break that the rules on services tolerate. A disruption that lasts as long as its effect, or the
// 5 s that the bench takes if none is stated, leaves no calm time in which services that wait too long break a rule.
var shortLength = Range{0.2, 1} // seconds

// shortChance is the chance that a disruption of a mixed day is short, whatever the table says.
const shortChance = 0.25

// A Form is one variant of a row.
type Form struct {
	Row     Row
	Variant Variant
}

// formsOf returns all forms of the rows, in the order of the table.
func formsOf(rows []Row) []Form {
	var forms []Form
	for _, row := range rows {
		for _, variant := range row.variants() {
			forms = append(forms, Form{Row: row, Variant: variant})
		}
	}
	return forms
}

// CountForms returns the number of forms that a site plays. With n forms, the days of mode Single with seeds 0 to n-1 hold each form
// at a short length, those with seeds n to 2n-1 at its default length, and so on.
func CountForms(known map[Kind]bool) int {
	return len(formsOf(rowsOf(rows, known)))
}

var (
	singleDay   = Range{24, 34} // seconds
	singleStart = Range{6, 2}   // seconds from the start of the traffic and before its end
)

// addSingle adds the disruption that the seed selects, with the other figures drawn.
func (g *generator) addSingle(day *Day) Disruption {
	forms := formsOf(g.rows)
	count := uint64(len(forms))
	form := forms[day.Seed%count]
	short := day.Seed/count%2 == 0
	d := g.entry(form.Row, form.Variant)
	for !g.removals.take(d, form.Variant) {
		d = g.entry(form.Row, form.Variant)
	}
	d.At = roundTo(g.between(Range{singleStart.Low, day.Length - singleStart.High}), tenth)
	d.Length = 0
	if short {
		d.Length = g.short()
	}
	if max(form.Row.Section, form.Variant.Section) == Plan {
		day.Plan = append(day.Plan, d)
	} else {
		day.Faults = append(day.Faults, d)
	}
	return d
}

func (g *generator) short() float64 {
	return roundTo(g.between(shortLength), tenth)
}

// ownerLosses are the ways in which the hosts lose their owner, for good or for a time.
var ownerLosses = []Disruption{
	{Kind: "node_kill", How: "leader"},
	{Kind: "node_kill", How: "power leader"},
	{Kind: "replace_core", How: "leader"},
	{Kind: "node_freeze", How: "leader"},
}

var (
	// aheadOfDisruption is the time from the first loss of an owner to the disruption, where the loss comes first.
	aheadOfDisruption = Range{0.1, 1.5} // seconds
	// betweenOwners is shorter than the leases of workers, so that an owner is lost while it waits for workers lost before.
	betweenOwners = Range{0.1, 6} // seconds
)

// addOwnerLosses adds losses of the owner. The first is as often before, at and after the disruption.
func (g *generator) addOwnerLosses(day *Day, d Disruption, count int) error {
	losses := g.knownLosses()
	if len(losses) == 0 {
		return errNoRows
	}
	at := d.At
	switch g.random.IntN(3) {
	case 0:
		at -= g.between(aheadOfDisruption)
	case 1:
		at += g.between(betweenOwners)
	}
	for range count {
		loss := pick(g.random, losses)
		loss.On, loss.Count = core, 1
		loss.At = roundTo(at, tenth)
		if g.chance(0.5) {
			loss.Length = g.short()
		}
		if loss.At < day.Length {
			day.Faults = append(day.Faults, loss)
		}
		at += g.between(betweenOwners)
	}
	return nil
}

func (g *generator) knownLosses() []Disruption {
	var losses []Disruption
	for _, loss := range ownerLosses {
		if g.known == nil || g.known[loss.Kind] {
			losses = append(losses, loss)
		}
	}
	return losses
}

// single draws a day of mode Single or Pair.
func (g *generator) single(cfg Config) (Day, error) {
	day := Day{
		Name:   fmt.Sprintf("%s-%d", cfg.Mode, cfg.Seed),
		Seed:   cfg.Seed,
		Length: math.Round(g.between(singleDay)),
	}
	d := g.addSingle(&day)
	if cfg.Mode == Single {
		return day, nil
	}
	count := cfg.LeastOwners + g.random.IntN(cfg.MostOwners-cfg.LeastOwners+1)
	if err := g.addOwnerLosses(&day, d, count); err != nil {
		return Day{}, err
	}
	if count > 1 && g.chance(placeChance) {
		day.Closing = g.closing()
	}
	return day, nil
}
