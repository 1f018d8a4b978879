package main

import (
	"errors"
	"fmt"
	"math"
	"math/rand/v2"
	"slices"
)

const (
	minDayLength = 34.0 // seconds
	maxDayLength = 44.0 // seconds

	// firstStart leaves the traffic a second without disruption.
	firstStart = 1.0 // seconds

	// lastStart leaves a disruption time to act before the traffic ends.
	lastStart = 2.0 // seconds before the end

	// closeGap is the time between disruptions that follow each other closely.
	closeGap = 1.0 // seconds

	minDown = 0.5 // seconds
	maxDown = 1.6 // seconds
)

// Chances of what a day or an entry holds.
const (
	closingChance  = 0.8
	closeChance    = 0.25
	overlapChance  = 0.35
	optionChance   = 0.25
	selectorChance = 0.5
	placeChance    = 0.5
)

// errNoRows is returned if no kind is left to draw from.
var errNoRows = errors.New("no kind of disruption to draw from")

// A Config states what a day is drawn from.
type Config struct {
	Seed  uint64
	Least int // disruptions
	Most  int // disruptions
	Site  Site
	Known map[Kind]bool // kinds that the site plays; nil: all
	Mode  Mode          // empty: Mixed

	LeastOwners int // losses of the owner, in days of mode Pair
	MostOwners  int

	LeastCrashes int // crashes of workers in a row, beside the disruptions
	MostCrashes  int // 0: none
}

// generator draws one day.
type generator struct {
	random    *rand.Rand
	rows      []Row
	crashRows []Row
	known     map[Kind]bool
	removals  *removals
}

// Generate draws a day. Equal configurations give equal days.
func Generate(cfg Config) (Day, error) {
	g := generator{
		random:    rand.New(rand.NewPCG(cfg.Seed, 0)),
		rows:      rowsOf(rows, cfg.Known),
		crashRows: rowsOf(crashRows, cfg.Known),
		known:     cfg.Known,
		removals:  newRemovals(cfg.Site),
	}
	if len(g.rows) == 0 || len(g.crashRows) == 0 && cfg.MostCrashes > 0 {
		return Day{}, errNoRows
	}
	if cfg.Mode == Single || cfg.Mode == Pair {
		return g.single(cfg)
	}
	day := Day{
		Name:   fmt.Sprintf("mixed-%d", cfg.Seed),
		Seed:   cfg.Seed,
		Length: math.Round(g.between(Range{minDayLength, maxDayLength})),
	}
	if cfg.Mode == Severe {
		day.Name = fmt.Sprintf("%s-%d", cfg.Mode, cfg.Seed)
		g.severe(&day)
		return day, nil
	}
	g.addDisruptions(&day, cfg.Least+g.random.IntN(cfg.Most-cfg.Least+1))
	if cfg.MostCrashes > 0 {
		g.addCrashes(&day, cfg.LeastCrashes+g.random.IntN(cfg.MostCrashes-cfg.LeastCrashes+1))
	}
	if g.chance(closingChance) {
		day.Closing = g.closing()
	}
	return day, nil
}

// rowsOf returns the rows of the kinds that the site plays.
func rowsOf(all []Row, known map[Kind]bool) []Row {
	if known == nil {
		return all
	}
	return slices.DeleteFunc(slices.Clone(all), func(row Row) bool { return !known[row.Kind] })
}

func (g *generator) addDisruptions(day *Day, count int) {
	var previous Disruption
	for n := range count {
		drawn, section := g.disruption()
		drawn.At = g.start(day.Length, previous, n == 0)
		day.add(drawn, section)
		previous = drawn
	}
}

// start draws when a disruption begins: a second after the previous one, while that lasts, or at any time.
func (g *generator) start(length float64, previous Disruption, first bool) float64 {
	latest := length - lastStart
	at := g.between(Range{firstStart, latest})
	switch {
	case first:
	case g.chance(closeChance):
		at = previous.At + closeGap
	case g.chance(overlapChance):
		at = previous.At + g.between(Range{0, previous.Length})
	}
	return roundTo(min(at, latest), tenth)
}

// disruption draws an entry that keeps the bound on removals.
func (g *generator) disruption() (Disruption, Section) {
	for {
		row := pick(g.random, g.rows)
		variant := pick(g.random, row.variants())
		drawn := g.entry(row, variant)
		if g.chance(shortChance) {
			drawn.Length = g.short()
		}
		if g.removals.take(drawn, variant) {
			return drawn, max(row.Section, variant.Section)
		}
	}
}

func (g *generator) entry(row Row, variant Variant) Disruption {
	d := Disruption{
		Kind:   row.Kind,
		How:    variant.How,
		X:      roundTo(g.between(firstSet(variant.X, row.X)), hundredth),
		Length: roundTo(g.between(firstSet(variant.Length, row.Length)), tenth),
		Gap:    roundTo(g.between(row.Gap), hundredth),
		Count:  int(math.Round(g.between(firstSet(variant.Count, row.Count)))),
	}
	if variant.Removed == 0 {
		d.Share = Percent(math.Round(g.between(row.Share)))
	}
	g.setPlace(&d, row, variant)
	g.setScope(&d, row.Scope)
	g.addOptions(&d, row.Options)
	g.addOptions(&d, variant.Options)
	return d
}

// setPlace names a place in half of the entries that can have one, and in all that act toward one.
func (g *generator) setPlace(d *Disruption, row Row, variant Variant) {
	if variant.Place == PlaceToZone {
		d.ToZone = firstZone
		return
	}
	if !g.chance(placeChance) {
		return
	}
	switch row.Place {
	case PlaceZone:
		d.Zone = firstZone
	case PlaceToZone:
		d.ToZone = firstZone
	case PlaceClass:
		d.Class = pick(g.random, classes)
	case PlaceClassOrZone:
		if g.chance(placeChance) {
			d.Zone = firstZone
			return
		}
		d.Class = pick(g.random, classes)
	case PlaceBetweenZones:
		d.Zone, d.ToZone = firstZone, secondZone
	case PlaceService:
		d.Service = firstService
	}
}

// setScope says among which machines the entry chooses those that it strikes.
func (g *generator) setScope(d *Disruption, scope Scope) {
	switch scope {
	case ScopeHosts:
		if g.chance(selectorChance) {
			g.strikeOneHost(d)
			d.addWord(pick(g.random, hostSelectors))
		}
	case ScopeOneHost:
		g.strikeOneHost(d)
		if g.chance(selectorChance) {
			d.addWord(pick(g.random, hostSelectors))
		}
	case ScopeAllHosts:
		if g.chance(selectorChance) {
			d.On = core
		}
	case ScopeWorkers:
		g.addOptions(d, []Option{workerScopes})
	}
}

func (g *generator) strikeOneHost(d *Disruption) {
	d.On, d.Share, d.Count = core, 0, 1
}

// addOptions adds at most one word of each option.
func (g *generator) addOptions(d *Disruption, options []Option) {
	for _, option := range options {
		if g.chance(optionChance) {
			d.addWord(pick(g.random, option))
		}
	}
}

func (g *generator) closing() *Closing {
	row := pick(g.random, closings)
	return &Closing{
		Kind: row.Kind,
		How:  pick(g.random, row.Hows),
		Down: roundTo(g.between(Range{minDown, maxDown}), hundredth),
	}
}

// addWord adds a word to the variant unless it is there.
func (d *Disruption) addWord(word string) {
	if slices.Contains(d.words(), word) {
		return
	}
	d.How = joinWords(d.How, word)
}
