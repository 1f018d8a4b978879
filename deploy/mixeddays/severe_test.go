package main

import "testing"

// Guards against days of great disruptions in which little is struck, something is removed for good, or that are all alike: the fault of issue
// 52 showed on one of 211 days.
func TestSevereDaysStrikeMuchAndRemoveNothing(t *testing.T) {
	const days = 300
	great, pastEnd, short := 0, 0, 0
	for seed := range uint64(days) {
		day := mustGenerate(t, Config{Seed: seed, Mode: Severe, Site: smallSite})
		entries := day.disruptions()
		if len(entries) == 0 || len(entries) > maxSevere {
			t.Fatalf("%s: %d disruptions", day.Name, len(entries))
		}
		for _, d := range entries {
			if d.Share > 0 && (float64(d.Share) < severeShare.Low || float64(d.Share) > severeShare.High) {
				t.Errorf("%s: %s strikes %d %%", day.Name, d.Kind, d.Share)
			}
			for _, word := range d.words() {
				if word == "gone" || word == "remove" {
					t.Errorf("%s: %s %q removes machines for good", day.Name, d.Kind, d.How)
				}
			}
			switch {
			case d.Length > 0 && d.Length <= shortLength.High:
				short++
			case d.At+d.Length > day.Length:
				pastEnd++
			case d.Length >= severeLength.Low:
				great++
			}
		}
	}
	if great < days/10 || pastEnd < days/10 || short < days/10 {
		t.Errorf("%d long disruptions, %d past the end of the traffic and %d short ones in %d days", great, pastEnd, short, days)
	}
}
