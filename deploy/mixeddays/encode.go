package main

import (
	"fmt"
	"io"
	"math"
	"strconv"
	"strings"
)

// Encode writes the day in the format of the files in deploy/days.
func (d Day) Encode(w io.Writer) error {
	var b strings.Builder
	fmt.Fprintf(&b, "# Drawn by deploy/mixeddays with seed %d.\n", d.Seed)
	fmt.Fprintf(&b, "name = %q\n", d.Name)
	fmt.Fprintf(&b, "length_s = %s\n", formatFloat(d.Length))
	if d.Closing != nil {
		fmt.Fprintf(&b, "closing = %s\n", d.Closing.table())
	}
	writeSection(&b, "plan", d.Plan)
	writeSection(&b, "faults", d.Faults)
	_, err := io.WriteString(w, b.String())
	return err
}

func writeSection(b *strings.Builder, name string, entries []Disruption) {
	if len(entries) == 0 {
		return
	}
	fmt.Fprintf(b, "%s = [\n", name)
	for _, entry := range entries {
		fmt.Fprintf(b, "  %s,\n", entry.table())
	}
	b.WriteString("]\n")
}

func (d Disruption) table() string {
	var t inlineTable
	t.number("at", d.At)
	t.text("kind", string(d.Kind))
	t.optionalText("how", d.How)
	t.optionalText("on", d.On)
	t.optionalText("class", d.Class)
	t.optionalText("service", d.Service)
	t.optionalText("zone", d.Zone)
	t.optionalText("to_zone", d.ToZone)
	t.optionalNumber("share", float64(d.Share)/100)
	t.optionalCount("count", d.Count)
	t.optionalNumber("x", d.X)
	t.optionalNumber("for_s", d.Length)
	t.optionalNumber("gap_s", d.Gap)
	return t.String()
}

func (c Closing) table() string {
	var t inlineTable
	t.text("kind", string(c.Kind))
	t.number("down_s", c.Down)
	t.optionalText("how", c.How)
	return t.String()
}

// An inlineTable is a TOML table on one line.
type inlineTable struct {
	fields []string
}

func (t *inlineTable) text(key, value string) {
	t.fields = append(t.fields, fmt.Sprintf("%s = %q", key, value))
}

func (t *inlineTable) number(key string, value float64) {
	t.fields = append(t.fields, key+" = "+formatFloat(value))
}

func (t *inlineTable) optionalText(key, value string) {
	if value != "" {
		t.text(key, value)
	}
}

func (t *inlineTable) optionalNumber(key string, value float64) {
	if value != 0 {
		t.number(key, value)
	}
}

func (t *inlineTable) optionalCount(key string, value int) {
	if value != 0 {
		t.fields = append(t.fields, fmt.Sprintf("%s = %d", key, value))
	}
}

func (t *inlineTable) String() string {
	return "{ " + strings.Join(t.fields, ", ") + " }"
}

// formatFloat keeps a decimal point, as TOML reads a number without one as an integer.
func formatFloat(value float64) string {
	if value == math.Trunc(value) {
		return strconv.FormatFloat(value, 'f', 1, 64)
	}
	return strconv.FormatFloat(value, 'f', -1, 64)
}
