package main

import (
	"math"
	"slices"
	"strings"
	"testing"

	"github.com/google/go-cmp/cmp"
)

// manyDays is the number of days in which each kind, variant and word is expected.
const manyDays = 20000

var smallSite = Site{Hosts: 6, Workers: 48}

func mustGenerate(t *testing.T, cfg Config) Day {
	t.Helper()
	day, err := Generate(cfg)
	if err != nil {
		t.Fatal(err)
	}
	return day
}

func (d Day) disruptions() []Disruption {
	return slices.Concat(d.Plan, d.Faults)
}

// Guards against a day that cannot be played again from its seed.
func TestEqualSeedsGiveEqualDays(t *testing.T) {
	for seed := range uint64(200) {
		cfg := Config{Seed: seed, Least: 2, Most: 11, Site: smallSite}
		if diff := cmp.Diff(mustGenerate(t, cfg), mustGenerate(t, cfg)); diff != "" {
			t.Fatalf("seed %d: %s", seed, diff)
		}
	}
}

// Guards against seeds that make no difference.
func TestOtherSeedsGiveOtherDays(t *testing.T) {
	first := mustGenerate(t, Config{Seed: 1, Least: 2, Most: 6, Site: smallSite})
	second := mustGenerate(t, Config{Seed: 2, Least: 2, Most: 6, Site: smallSite})
	second.Seed, second.Name = first.Seed, first.Name
	if cmp.Equal(first, second) {
		t.Fatal("days of two seeds are equal")
	}
}

// rowAndVariant returns the row and the longest variant with which the words of an entry begin.
func rowAndVariant(from []Row, d Disruption) (rowIndex int, how string) {
	rowIndex, longest := -1, -1
	for i, row := range from {
		if row.Kind != d.Kind || d.Count > 0 && row.Scope == ScopeNone && row.Count.isZero() || d.Count == 0 && !row.Count.isZero() {
			continue
		}
		for _, variant := range row.variants() {
			words := strings.Fields(variant.How)
			if len(words) <= longest || len(words) > len(d.words()) || !slices.Equal(words, d.words()[:len(words)]) {
				continue
			}
			rowIndex, how, longest = i, variant.How, len(words)
		}
	}
	return rowIndex, how
}

// optionWords returns the words that entries of a variant may carry beside its own.
func optionWords(row Row, variant Variant) []string {
	options := slices.Concat(row.Options, variant.Options)
	switch row.Scope {
	case ScopeHosts, ScopeOneHost:
		options = append(options, hostSelectors)
	case ScopeWorkers:
		options = append(options, workerScopes)
	}
	return slices.Concat(options...)
}

type drawn struct {
	row  int
	how  string
	word string
}

func drawnInManyDays(t *testing.T) map[drawn]bool {
	t.Helper()
	seen := map[drawn]bool{}
	for seed := range uint64(manyDays) {
		day := mustGenerate(t, Config{Seed: seed, Least: 5, Most: 11, Site: smallSite})
		for _, d := range day.disruptions() {
			row, how := rowAndVariant(rows, d)
			if row < 0 {
				t.Fatalf("seed %d: %+v is in no row", seed, d)
			}
			seen[drawn{row: row, how: how}] = true
			for _, word := range d.words()[len(strings.Fields(how)):] {
				seen[drawn{row: row, how: how, word: word}] = true
			}
		}
	}
	return seen
}

// Guards against kinds, variants or words of the table that no day ever holds.
func TestAllKindsAndVariantsComeUp(t *testing.T) {
	seen := drawnInManyDays(t)
	for i, row := range rows {
		for _, variant := range row.variants() {
			if !seen[drawn{row: i, how: variant.How}] {
				t.Errorf("%s %q never came up", row.Kind, variant.How)
			}
			for _, word := range optionWords(row, variant) {
				if word == allWorkers && variant.Removes == RemovesWorkers {
					continue // TestRemovalsLeaveMostMachines guards against it
				}
				if !seen[drawn{row: i, how: variant.How, word: word}] && !slices.Contains(strings.Fields(variant.How), word) {
					t.Errorf("%s %q never came up with %q", row.Kind, variant.How, word)
				}
			}
		}
	}
}

// Guards against final faults that no day ever ends with, and against days that seldom have one.
func TestMostDaysEndWithAnyFinalFault(t *testing.T) {
	seen := map[Closing]bool{}
	closed := 0
	for seed := range uint64(manyDays) {
		day := mustGenerate(t, Config{Seed: seed, Least: 2, Most: 6, Site: smallSite})
		if day.Closing != nil {
			closed++
			seen[Closing{Kind: day.Closing.Kind, How: day.Closing.How}] = true
		}
	}
	if closed <= manyDays/2 {
		t.Errorf("%d of %d days end with a final fault, want more than half", closed, manyDays)
	}
	for _, row := range closings {
		for _, how := range row.Hows {
			if !seen[Closing{Kind: row.Kind, How: how}] {
				t.Errorf("%s %q never came up", row.Kind, how)
			}
		}
	}
}

// Guards against counts outside the range that is asked for, and against disruptions that begin outside the traffic.
func TestDisruptionsKeepTheirRanges(t *testing.T) {
	for seed := range uint64(1000) {
		day := mustGenerate(t, Config{Seed: seed, Least: 5, Most: 11, Site: smallSite})
		entries := day.disruptions()
		if len(entries) < 5 || len(entries) > 11 {
			t.Fatalf("seed %d: %d disruptions, want 5 to 11", seed, len(entries))
		}
		for _, d := range entries {
			if d.At < firstStart || d.At > day.Length-lastStart {
				t.Errorf("seed %d: %s at %.1f s of %.1f s", seed, d.Kind, d.At, day.Length)
			}
		}
	}
}

// Guards against days whose disruptions never follow closely or overlap.
func TestSomeDisruptionsFollowCloselyAndOverlap(t *testing.T) {
	closely, overlapping := 0, 0
	for seed := range uint64(1000) {
		entries := mustGenerate(t, Config{Seed: seed, Least: 2, Most: 6, Site: smallSite}).disruptions()
		for _, a := range entries {
			for _, b := range entries {
				if math.Abs(b.At-a.At-closeGap) < 0.05 {
					closely++
				}
				if b.At > a.At && b.At < a.At+a.Length {
					overlapping++
				}
			}
		}
	}
	if closely < 100 || overlapping < 100 {
		t.Errorf("%d pairs a second apart, %d that overlap, want 100 or more in 1000 days", closely, overlapping)
	}
}

// Guards against days with kinds that a site does not play.
func TestOnlyKnownKindsAreDrawn(t *testing.T) {
	listing := "Each entry has 'at' and 'kind'.\n\nburst: more traffic\nsrv_crash: down; how: dark\n\nthese may come too:\nzone_loss: no power\n"
	known, err := ReadKinds(strings.NewReader(listing))
	if err != nil {
		t.Fatal(err)
	}
	if diff := cmp.Diff(map[Kind]bool{"burst": true, "srv_crash": true, "zone_loss": true}, known); diff != "" {
		t.Fatal(diff)
	}
	for seed := range uint64(200) {
		for _, d := range mustGenerate(t, Config{Seed: seed, Least: 2, Most: 6, Site: smallSite, Known: known}).disruptions() {
			if !known[d.Kind] {
				t.Fatalf("seed %d: %s is not known", seed, d.Kind)
			}
		}
	}
}

// Guards against a draw that never ends where the site plays none of the kinds.
func TestNoKnownKindIsAnError(t *testing.T) {
	if _, err := Generate(Config{Least: 2, Most: 6, Site: smallSite, Known: map[Kind]bool{}}); err == nil {
		t.Fatal("no error")
	}
}

// Guards against ranges that are read the wrong way round or draw from an empty interval.
func TestParseNumbers(t *testing.T) {
	if least, most, err := parseNumbers("5-11"); least != 5 || most != 11 || err != nil {
		t.Fatalf("5-11: %d, %d, %v", least, most, err)
	}
	for _, text := range []string{"", "5", "11-5", "0-3", "a-b"} {
		if _, _, err := parseNumbers(text); err == nil {
			t.Errorf("%q: no error", text)
		}
	}
}

// Guards against kinds of a site that are never played because the table lacks them, without a word about it.
func TestKindsWithoutRowAreNamed(t *testing.T) {
	known := map[Kind]bool{"burst": true, "one_way": true, "bridge_cut": true, "no_such": true, "another": true}
	if diff := cmp.Diff([]Kind{"another", "no_such"}, kindsWithoutRow(known)); diff != "" {
		t.Error(diff)
	}
}

// Guards against cuts between zones that never name both, and against bursts that never strike a zone or a kind of request.
func TestPlacesComeUp(t *testing.T) {
	betweenZones, burstInZone, burstOfClass := 0, 0, 0
	for seed := range uint64(2000) {
		for _, d := range mustGenerate(t, Config{Seed: seed, Least: 2, Most: 6, Site: smallSite}).disruptions() {
			switch {
			case d.Kind == "bridge_cut" && d.Zone != "" && d.ToZone != "" && d.Zone != d.ToZone:
				betweenZones++
			case d.Kind == "burst" && d.Zone != "":
				burstInZone++
			case d.Kind == "burst" && d.Class != "":
				burstOfClass++
			}
		}
	}
	if betweenZones == 0 || burstInZone == 0 || burstOfClass == 0 {
		t.Errorf("%d cuts between zones, %d bursts in a zone, %d of a class", betweenZones, burstInZone, burstOfClass)
	}
}
