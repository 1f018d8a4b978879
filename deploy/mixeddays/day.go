package main

// Kind is the bench's name of a kind of disruption.
type Kind string

// Percent is a share of the things that a disruption can strike, in hundredths.
type Percent int

// Section is the list of a day file in which a disruption stands.
type Section int

// The sections of a day file.
const (
	Faults Section = iota
	Plan           // work that the operator has planned
)

// A Disruption is one entry of a day. Fields that are zero are left out of the file.
type Disruption struct {
	At      float64 // seconds from the start of the traffic
	Kind    Kind
	How     string // words of the variant, separated by spaces
	On      string // class of machines
	Class   string // kind of request
	Service string
	Zone    string
	ToZone  string
	Share   Percent
	Count   int
	X       float64 // strength, in the unit of the kind
	Length  float64 // seconds
	Gap     float64 // seconds between steps
}

// A Closing is the final fault of a day.
type Closing struct {
	Kind Kind
	How  string
	Down float64 // seconds
}

// A Day is a day file of the bench.
type Day struct {
	Name    string
	Seed    uint64
	Length  float64 // seconds of traffic
	Closing *Closing
	Plan    []Disruption
	Faults  []Disruption
}
