package main

// A Range holds the least and the greatest value of a figure. The zero Range leaves the figure out.
type Range struct {
	Low, High float64
}

func (r Range) isZero() bool { return r == Range{} }

// Removal says what a disruption takes away for good.
type Removal int

// What may be taken away.
const (
	RemovesNothing Removal = iota
	RemovesHosts
	RemovesWorkers
)

// Scope says among which machines a disruption chooses those that it strikes.
type Scope int

// The scopes of disruptions.
const (
	ScopeNone     Scope = iota
	ScopeHosts          // a share of the hosts, or one that a selector names
	ScopeOneHost        // as ScopeHosts, always one
	ScopeAllHosts       // a share of the hosts, or all that count as losses
	ScopeWorkers
)

// Place says which field of an entry tells where it strikes.
type Place int

// The places of disruptions. Without the field the bench picks one.
const (
	PlaceNone Place = iota
	PlaceZone
	PlaceToZone
	PlaceClass
	PlaceClassOrZone
	PlaceService
	PlaceBetweenZones
)

// A Variant is a form of a kind. Figures that are set replace those of the row.
type Variant struct {
	How     string
	Options []Option // beside those of the row
	X       Range
	Count   Range
	Length  Range
	Place   Place
	Section Section // Plan for the planned form of a fault
	Removes Removal
	Removed Percent // share that is removed where the bench decides it; the entry states none
}

// An Option is a group of words of which a variant may carry one.
type Option []string

// A Row states what entries of one kind may hold.
type Row struct {
	Kind     Kind
	Section  Section
	Scope    Scope
	Place    Place
	Length   Range // seconds
	Share    Range // per cent
	Count    Range
	X        Range // in the unit of the kind
	Gap      Range // seconds
	Options  []Option
	Variants []Variant // none: the plain form alone
}

// A ClosingRow states the forms of one kind of final fault.
type ClosingRow struct {
	Kind Kind
	Hows []string
}

func (r Row) variants() []Variant {
	if len(r.Variants) == 0 {
		return []Variant{{}}
	}
	return r.Variants
}
