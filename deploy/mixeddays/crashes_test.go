package main

import (
	"math"
	"testing"
)

// crashesOf returns the crashes in a row of a day: its last faults.
func crashesOf(t *testing.T, cfg Config) (Day, []Disruption) {
	t.Helper()
	day := mustGenerate(t, cfg)
	cfg.LeastCrashes, cfg.MostCrashes = 0, 0
	without := mustGenerate(t, cfg)
	return day, day.Faults[len(without.Faults):]
}

// Guards against days on which workers crash seldom, or all at once, where a row of crashes is asked for.
func TestCrashesComeInARow(t *testing.T) {
	seen := map[int]bool{}
	for seed := range uint64(1000) {
		day, crashes := crashesOf(t, Config{Seed: seed, Least: 2, Most: 6, Site: smallSite, LeastCrashes: 5, MostCrashes: 12})
		if len(crashes) < 5 || len(crashes) > 12 {
			t.Fatalf("seed %d: %d crashes, want 5 to 12", seed, len(crashes))
		}
		seen[len(crashes)] = true
		pitch := (crashes[len(crashes)-1].At - crashes[0].At) / float64(len(crashes)-1)
		for i, crash := range crashes {
			if crash.At < firstStart || crash.At > day.Length-lastStart {
				t.Errorf("seed %d: %s at %.1f s of %.1f s", seed, crash.Kind, crash.At, day.Length)
			}
			if i > 0 && math.Abs(crash.At-crashes[i-1].At-pitch) > 0.2 {
				t.Errorf("seed %d: crashes at %.1f and %.1f s, want %.1f s between them", seed, crashes[i-1].At, crash.At, pitch)
			}
		}
	}
	if len(seen) != 8 {
		t.Errorf("%d numbers of crashes came up, want all of 5 to 12", len(seen))
	}
}

// Guards against forms of crashes that no row ever holds, and against rows that take workers away for good.
func TestAllCrashesComeUp(t *testing.T) {
	seen := map[drawn]bool{}
	for seed := range uint64(1000) {
		_, crashes := crashesOf(t, Config{Seed: seed, Least: 2, Most: 6, Site: smallSite, LeastCrashes: 5, MostCrashes: 12})
		for _, crash := range crashes {
			row, how := rowAndVariant(crashRows, crash)
			if row < 0 {
				t.Fatalf("seed %d: %+v is in no row", seed, crash)
			}
			seen[drawn{row: row, how: how}] = true
		}
	}
	for i, row := range crashRows {
		for _, variant := range row.variants() {
			if !seen[drawn{row: i, how: variant.How}] {
				t.Errorf("%s %q never came up", row.Kind, variant.How)
			}
			if variant.Removes != RemovesNothing {
				t.Errorf("%s %q takes machines away for good, which is not counted", row.Kind, variant.How)
			}
		}
	}
}

// Guards against crashes of kinds that a site does not play.
func TestOnlyKnownCrashesAreDrawn(t *testing.T) {
	cfg := Config{Least: 2, Most: 6, Site: smallSite, LeastCrashes: 5, MostCrashes: 12, Known: map[Kind]bool{"burst": true, "zone_loss": true}}
	for seed := range uint64(200) {
		cfg.Seed = seed
		for _, d := range mustGenerate(t, cfg).disruptions() {
			if !cfg.Known[d.Kind] {
				t.Fatalf("seed %d: %s is not known", seed, d.Kind)
			}
		}
	}
	cfg.Known = map[Kind]bool{"burst": true}
	if _, err := Generate(cfg); err == nil {
		t.Error("no error where the site plays no crash")
	}
}
