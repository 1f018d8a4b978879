package main

import (
	"fmt"
	"math"
	"slices"
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
	day.add(d, max(form.Row.Section, form.Variant.Section))
	return d
}

func (g *generator) short() float64 {
	return roundTo(g.between(shortLength), tenth)
}

// An ownerLoss is a disruption or a planned restart of the owner.
type ownerLoss struct {
	Section
	Disruption
}

// ownerLosses are the ways in which the hosts lose their owner, for good or for a time. Planned restarts leave the time calm: the rules on
// services apply while one owner after another takes over.
var ownerLosses = []ownerLoss{
	{Faults, Disruption{Kind: "node_kill", How: "leader"}},
	{Faults, Disruption{Kind: "node_kill", How: "power leader"}},
	{Faults, Disruption{Kind: "replace_core", How: "leader"}},
	{Faults, Disruption{Kind: "node_freeze", How: "leader"}},
	{Plan, Disruption{Kind: "roll_term", How: "leader"}},
}

// plannedChance is the chance that all losses of the owner on a day are planned.
const plannedChance = 0.5

var (
	// aheadOfDisruption is the time from the first loss of an owner to the disruption, where the loss comes first.
	aheadOfDisruption = Range{0.1, 1.5} // seconds
	// betweenOwners is shorter than the leases of workers, so that an owner is lost while it waits for workers lost before.
	betweenOwners = Range{0.1, 6} // seconds
	// betweenCloseOwners is shorter than an owner needs to store since when workers have been lost.
	betweenCloseOwners = Range{0.3, 1.5} // seconds
)

// addOwnerLosses adds losses of the owner, all planned or of any kind. The first is as often before, at and after the disruption.
func (g *generator) addOwnerLosses(day *Day, d Disruption, count int) error {
	losses := g.knownLosses()
	if len(losses) == 0 {
		return errNoRows
	}
	planned := slices.DeleteFunc(slices.Clone(losses), func(loss ownerLoss) bool { return loss.Section != Plan })
	if len(planned) > 0 && g.chance(plannedChance) {
		losses = planned
	}
	at := d.At
	switch g.random.IntN(3) {
	case 0:
		at -= g.between(aheadOfDisruption)
	case 1:
		at += g.between(betweenOwners)
	}
	distance := g.between(betweenOwners)
	if g.chance(0.5) {
		distance = g.between(betweenCloseOwners)
	}
	for range count {
		drawn := pick(g.random, losses)
		loss := drawn.Disruption
		loss.On, loss.Count = core, 1
		loss.At = roundTo(at, tenth)
		if drawn.Section == Faults && g.chance(0.5) {
			loss.Length = g.short()
		}
		if loss.At < day.Length {
			day.add(loss, drawn.Section)
		}
		at += distance
	}
	return nil
}

func (g *generator) knownLosses() []ownerLoss {
	return slices.DeleteFunc(slices.Clone(ownerLosses), func(loss ownerLoss) bool { return g.known != nil && !g.known[loss.Kind] })
}

// addRoom lets the pool grow early in half of the days: services that wait break a rule only while there is room for them.
func (g *generator) addRoom(day *Day) {
	if (g.known == nil || g.known["scale_out"]) && g.chance(0.5) {
		day.Plan = append(day.Plan, Disruption{At: firstStart, Kind: "scale_out", Share: 30, Gap: 0.05})
	}
}

func (d *Day) add(entry Disruption, section Section) {
	if section == Plan {
		d.Plan = append(d.Plan, entry)
	} else {
		d.Faults = append(d.Faults, entry)
	}
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
	g.addRoom(&day)
	if count > 1 && g.chance(placeChance) {
		day.Closing = g.closing()
	}
	return day, nil
}
