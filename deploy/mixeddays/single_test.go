package main

import (
	"cmp"
	"math/rand/v2"
	"slices"
	"testing"

	gocmp "github.com/google/go-cmp/cmp"
)

func singleConfig(seed uint64) Config {
	return Config{Seed: seed, Mode: Single, Site: smallSite}
}

// Guards against forms that are never played alone, for a short time and at their default length: such a day is the only one that
// leaves calm time while services wait for what the disruption has taken away.
func TestEachFormComesAloneShortAndAtItsDefaultLength(t *testing.T) {
	forms := formsOf(rows)
	for round := range uint64(4) {
		for i, form := range forms {
			day := mustGenerate(t, singleConfig(round*uint64(len(forms))+uint64(i)))
			entries := day.disruptions()
			if len(entries) != 1 || day.Closing != nil {
				t.Fatalf("%s: %d disruptions, final fault %v, want one disruption alone", day.Name, len(entries), day.Closing)
			}
			d := entries[0]
			words := Disruption{How: form.Variant.How}.words()
			if d.Kind != form.Row.Kind || !slices.Equal(words, d.words()[:len(words)]) {
				t.Errorf("%s: %s %q, want %s %q", day.Name, d.Kind, d.How, form.Row.Kind, form.Variant.How)
			}
			short := d.Length >= shortLength.Low && d.Length <= shortLength.High
			if wantShort := round%2 == 0; short != wantShort || !short && d.Length != 0 {
				t.Errorf("%s: %s is %.1f s long, want short: %t", day.Name, d.Kind, d.Length, wantShort)
			}
			if d.At < singleStart.Low || d.At > day.Length-singleStart.High {
				t.Errorf("%s: %s at %.1f s of %.1f s", day.Name, d.Kind, d.At, day.Length)
			}
			if inPlan := len(day.Plan) == 1; inPlan != (max(form.Row.Section, form.Variant.Section) == Plan) {
				t.Errorf("%s: %s %q is in the plan: %t", day.Name, d.Kind, d.How, inPlan)
			}
		}
	}
}

// Guards against rounds that repeat the shares and moments of the one before.
func TestRoundsDrawOtherSharesAndMoments(t *testing.T) {
	count := uint64(CountForms(nil))
	form := uint64(slices.IndexFunc(formsOf(rows), func(f Form) bool { return f.Row.Kind == "srv_crash" && f.Variant.How == "gone" }))
	shares, moments := map[Percent]bool{}, map[float64]bool{}
	for round := range uint64(10) {
		d := mustGenerate(t, singleConfig(round*count+form)).Faults[0]
		shares[d.Share], moments[d.At] = true, true
	}
	if len(shares) < 3 || len(moments) < 5 {
		t.Errorf("%d shares and %d moments in 10 rounds, want 3 and 5 or more", len(shares), len(moments))
	}
}

func pairConfig(seed uint64) Config {
	return Config{Seed: seed, Mode: Pair, LeastOwners: 1, MostOwners: 3, Site: smallSite}
}

// lossesOfOwners draws losses of three owners around a disruption in the middle of a long day, in order of time.
func lossesOfOwners(t *testing.T, seed uint64) (losses []Disruption, planned int) {
	t.Helper()
	g := generator{random: rand.New(rand.NewPCG(seed, 0))}
	day := Day{Length: 100}
	if err := g.addOwnerLosses(&day, Disruption{At: 50}, 3); err != nil {
		t.Fatal(err)
	}
	losses = day.disruptions()
	slices.SortFunc(losses, func(a, b Disruption) int { return cmp.Compare(a.At, b.At) })
	return losses, len(day.Plan)
}

// Guards against pairs in which the owner is always lost on the same side of the disruption, in one way only, or after the wait of the
// owner before, and against days of which none has planned losses only: any other loss ends the calm time in which services break a rule.
func TestOwnersAreLostBeforeAtAndAfterTheDisruption(t *testing.T) {
	var before, at, after, planned, closely int
	ways := map[drawn]bool{}
	for seed := range uint64(2000) {
		losses, plannedLosses := lossesOfOwners(t, seed)
		if len(losses) != 3 {
			t.Fatalf("seed %d: %d losses of the owner, want 3", seed, len(losses))
		}
		switch first := losses[0].At; {
		case first < 50:
			before++
		case first == 50:
			at++
		default:
			after++
		}
		if plannedLosses == 3 {
			planned++
		}
		if losses[2].At-losses[0].At <= 2*betweenCloseOwners.High {
			closely++
		}
		for i, loss := range losses {
			way := slices.IndexFunc(ownerLosses, func(l ownerLoss) bool { return l.Kind == loss.Kind && l.How == loss.How })
			if way < 0 || loss.On != core || loss.Count != 1 {
				t.Fatalf("seed %d: %+v is no loss of the owner", seed, loss)
			}
			ways[drawn{row: way}] = true
			if i > 0 && loss.At-losses[i-1].At > betweenOwners.High+0.1 {
				t.Errorf("seed %d: owners lost at %.1f and %.1f s, want at most %.1f s between them", seed, losses[i-1].At, loss.At, betweenOwners.High)
			}
		}
	}
	if least := 400; before < least || at < least || after < least || planned < least || closely < 2*least {
		t.Errorf("owner lost %d times before, %d at and %d after the disruption, %d times as planned, %d times close together, want %d or more each, twice as many close together",
			before, at, after, planned, closely, least)
	}
	if len(ways) != len(ownerLosses) {
		t.Errorf("%d ways of losing the owner came up, want %d", len(ways), len(ownerLosses))
	}
}

// Guards against pairs whose pool never has room for services that wait, so that none of them breaks a rule.
func TestPoolGrowsInSomePairs(t *testing.T) {
	grows := 0
	const pairs = 1000
	for seed := range uint64(pairs) {
		day := mustGenerate(t, pairConfig(seed))
		if slices.ContainsFunc(day.Plan, func(d Disruption) bool { return d.Kind == "scale_out" && d.At == firstStart }) {
			grows++
		}
	}
	if grows < pairs/4 || grows > 3*pairs/4 {
		t.Errorf("the pool grows early in %d of %d pairs, want about half", grows, pairs)
	}
}

// Guards against pairs that hold kinds that a site does not play, and against a draw that never ends where it plays no loss of the owner.
func TestPairsKeepToKnownKinds(t *testing.T) {
	cfg := pairConfig(0)
	cfg.Known = map[Kind]bool{"srv_crash": true, "node_freeze": true}
	for cfg.Seed = range uint64(200) {
		for _, d := range mustGenerate(t, cfg).disruptions() {
			if !cfg.Known[d.Kind] {
				t.Fatalf("seed %d: %s is not known", cfg.Seed, d.Kind)
			}
		}
	}
	cfg.Known = map[Kind]bool{"srv_crash": true}
	if _, err := Generate(cfg); err == nil {
		t.Error("no error where the site plays no loss of the owner")
	}
}

// Guards against a day of a form that cannot be played again from its seed.
func TestEqualSeedsGiveEqualSingleDaysAndPairs(t *testing.T) {
	for seed := range uint64(200) {
		for _, cfg := range []Config{singleConfig(seed), pairConfig(seed)} {
			if diff := gocmp.Diff(mustGenerate(t, cfg), mustGenerate(t, cfg)); diff != "" {
				t.Fatalf("%s, seed %d: %s", cfg.Mode, seed, diff)
			}
		}
	}
}

// Guards against mixed days on which what takes workers away for good always lasts for seconds, so that no calm time follows it.
func TestSomeLossesForGoodInMixedDaysAreShort(t *testing.T) {
	short, all := 0, 0
	for seed := range uint64(manyDays) {
		for _, d := range mustGenerate(t, Config{Seed: seed, Least: 2, Most: 6, Site: smallSite}).Faults {
			if d.Kind != "srv_crash" || !slices.Contains(d.words(), "gone") {
				continue
			}
			all++
			if d.Length <= shortLength.High {
				short++
			}
		}
	}
	if 10*short < all || 2*short > all {
		t.Errorf("%d of %d losses for good are short, want a tenth to a half", short, all)
	}
}

// Guards against modes that are misspelt and then draw mixed days.
func TestParseMode(t *testing.T) {
	for _, mode := range []Mode{Mixed, Single, Pair} {
		if got, err := parseMode(string(mode)); got != mode || err != nil {
			t.Errorf("%s: %q, %v", mode, got, err)
		}
	}
	if _, err := parseMode("alone"); err == nil {
		t.Error("alone: no error")
	}
}
