package eventlog

import (
	"cmp"
	"fmt"
	"maps"
	"slices"
	"strings"
)

// Catalogue returns all events, ordered by number.
func Catalogue() []Definition {
	return slices.SortedFunc(maps.Values(catalogue), func(a, b Definition) int { return cmp.Compare(a.Code, b.Code) })
}

const pageHead = `# Log events

Every log line of fulmard is a JSON object with the number of its event in ` + "`event`" + ` and its name in ` + "`name`" + `.
Numbers are never reused. This page is generated from the package eventlog: after a change there, run
` + "`go test ./pkg/eventlog -update`" + `.

| number | name | level | meaning |
| --- | --- | --- | --- |
`

// Page returns the contents of docs/EVENTS.md, generated from the catalogue.
func Page() string {
	var page strings.Builder
	page.WriteString(pageHead)
	for _, def := range Catalogue() {
		fmt.Fprintf(&page, "| %d | `%s` | %s | %s |\n", def.Code, def.Name, def.Level, strings.ReplaceAll(def.Description, "|", "\\|"))
	}
	return page.String()
}
