package main

import (
	"math"
	"math/rand/v2"
	"strings"
)

// Steps to which figures are rounded, as divisors.
const (
	tenth     = 10.0
	hundredth = 100.0
)

func (g *generator) chance(probability float64) bool {
	return g.random.Float64() < probability
}

func (g *generator) between(r Range) float64 {
	return r.Low + g.random.Float64()*(r.High-r.Low)
}

func pick[T any](random *rand.Rand, from []T) T {
	return from[random.IntN(len(from))]
}

// firstSet returns the range of the variant or, if it has none, that of the row.
func firstSet(variant, row Range) Range {
	if variant.isZero() {
		return row
	}
	return variant
}

func roundTo(value, divisor float64) float64 {
	return math.Round(value*divisor) / divisor
}

func (d Disruption) words() []string {
	return strings.Fields(d.How)
}

func joinWords(how, word string) string {
	return strings.TrimSpace(how + " " + word)
}
