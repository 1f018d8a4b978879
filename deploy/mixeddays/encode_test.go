package main

import (
	"math"
	"strings"
	"testing"

	"github.com/google/go-cmp/cmp"
	"github.com/pelletier/go-toml/v2"
)

// A dayFile holds the fields of a day file.
type dayFile struct {
	Name    string      `toml:"name"`
	Length  float64     `toml:"length_s"`
	Closing *closingRow `toml:"closing"`
	Plan    []entryRow  `toml:"plan"`
	Faults  []entryRow  `toml:"faults"`
}

type closingRow struct {
	Kind string  `toml:"kind"`
	How  string  `toml:"how"`
	Down float64 `toml:"down_s"`
}

type entryRow struct {
	At      float64 `toml:"at"`
	Kind    string  `toml:"kind"`
	How     string  `toml:"how"`
	On      string  `toml:"on"`
	Class   string  `toml:"class"`
	Service string  `toml:"service"`
	Zone    string  `toml:"zone"`
	ToZone  string  `toml:"to_zone"`
	Share   float64 `toml:"share"`
	Count   int     `toml:"count"`
	X       float64 `toml:"x"`
	Length  float64 `toml:"for_s"`
	Gap     float64 `toml:"gap_s"`
}

func (r entryRow) disruption() Disruption {
	return Disruption{
		At: r.At, Kind: Kind(r.Kind), How: r.How, On: r.On, Class: r.Class, Service: r.Service, Zone: r.Zone, ToZone: r.ToZone,
		Share: Percent(math.Round(100 * r.Share)), Count: r.Count, X: r.X, Length: r.Length, Gap: r.Gap,
	}
}

func (f dayFile) day(seed uint64) Day {
	day := Day{Name: f.Name, Seed: seed, Length: f.Length}
	if f.Closing != nil {
		day.Closing = &Closing{Kind: Kind(f.Closing.Kind), How: f.Closing.How, Down: f.Closing.Down}
	}
	for _, row := range f.Plan {
		day.Plan = append(day.Plan, row.disruption())
	}
	for _, row := range f.Faults {
		day.Faults = append(day.Faults, row.disruption())
	}
	return day
}

// Guards against files that are no TOML, hold unknown fields or lose a field of the day.
func TestDayFileHoldsTheDay(t *testing.T) {
	for seed := range uint64(500) {
		day := mustGenerate(t, Config{Seed: seed, Least: 2, Most: 11, Site: smallSite})
		var text strings.Builder
		if err := day.Encode(&text); err != nil {
			t.Fatal(err)
		}
		var file dayFile
		decoder := toml.NewDecoder(strings.NewReader(text.String()))
		if err := decoder.DisallowUnknownFields().Decode(&file); err != nil {
			t.Fatalf("seed %d: %v\n%s", seed, err, text.String())
		}
		if diff := cmp.Diff(day, file.day(seed)); diff != "" {
			t.Fatalf("seed %d: %s", seed, diff)
		}
	}
}
