package measure

import (
	"fmt"
	"strings"
)

// Point is a sample at one size.
type Point struct {
	Variant string // label of the measured program; empty for this one
	Size    float64
	Sample  Sample
}

// column is a column of a table.
type column struct {
	title string
	value func(Sample) float64
}

var columns = []column{
	{"CPU %", func(s Sample) float64 { return s.CPUPercent }},
	{"memory MB", func(s Sample) float64 { return s.ResidentMB }},
	{"peers B/s", func(s Sample) float64 { return s.PeerBytes }},
	{"store B/s", func(s Sample) float64 { return s.StoreBytes }},
	{"list B/s", func(s Sample) float64 { return s.ListBytes }},
	{"backends B/s", func(s Sample) float64 { return s.BackendBytes }},
	{"store reads/s", func(s Sample) float64 { return s.StoreReads }},
	{"store writes/s", func(s Sample) float64 { return s.StoreWrites }},
}

// Table formats points as a Markdown table, per entry host, with the least-squares line of each variant below it.
func Table(size string, points []Point) string {
	var b strings.Builder
	b.WriteString("| " + size + " | program |")
	for _, c := range columns {
		b.WriteString(" " + c.title + " |")
	}
	b.WriteString("\n| --- | --- |" + strings.Repeat(" ---: |", len(columns)) + "\n")
	variants, byVariant := []string{}, map[string][]Point{}
	for _, p := range points {
		if _, found := byVariant[p.Variant]; !found {
			variants = append(variants, p.Variant)
		}
		byVariant[p.Variant] = append(byVariant[p.Variant], p)
		row(&b, fmt.Sprintf("%g", p.Size), p.Variant, func(c column) float64 { return c.value(p.Sample) })
	}
	for _, v := range variants {
		row(&b, "each", v, func(c column) float64 { slope, _ := line(byVariant[v], c.value); return slope })
		row(&b, "at 0", v, func(c column) float64 { _, intercept := line(byVariant[v], c.value); return intercept })
	}
	return b.String()
}

func row(b *strings.Builder, size, variant string, value func(column) float64) {
	if variant == "" {
		variant = "present"
	}
	fmt.Fprintf(b, "| %s | %s |", size, variant)
	for _, c := range columns {
		fmt.Fprintf(b, " %.4g |", value(c))
	}
	b.WriteString("\n")
}

// line returns the least-squares line through the values of the points: its slope and its value at size 0.
func line(points []Point, value func(Sample) float64) (slope, intercept float64) {
	n := float64(len(points))
	var sumX, sumY, sumXX, sumXY float64
	for _, p := range points {
		x, y := p.Size, value(p.Sample)
		sumX, sumY, sumXX, sumXY = sumX+x, sumY+y, sumXX+x*x, sumXY+x*y
	}
	if d := n*sumXX - sumX*sumX; d != 0 {
		slope = (n*sumXY - sumX*sumY) / d
	}
	return slope, (sumY - slope*sumX) / n
}
