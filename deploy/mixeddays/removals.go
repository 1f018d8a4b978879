package main

import (
	"math"
	"slices"
)

// maxRemoved is the greatest share of the hosts, and of the workers, that a day removes for good.
const maxRemoved Percent = 30

// A Site holds the sizes of the smallest site on which a day is played.
type Site struct {
	Hosts   int
	Workers int
}

// removals counts what a day may still remove for good.
type removals struct {
	site           Site
	hosts, workers int // machines
}

func newRemovals(site Site) *removals {
	return &removals{
		site:    site,
		hosts:   site.Hosts * int(maxRemoved) / 100,
		workers: site.Workers * int(maxRemoved) / 100,
	}
}

// take reports whether the day may hold the disruption, and counts what it removes.
func (r *removals) take(d Disruption, variant Variant) bool {
	var total int
	var left *int
	switch variant.Removes {
	case RemovesHosts:
		total, left = r.site.Hosts, &r.hosts
	case RemovesWorkers:
		total, left = r.site.Workers, &r.workers
	default:
		return true
	}
	struck := machinesStruck(d, variant, total)
	if struck > *left {
		return false
	}
	*left -= struck
	return true
}

// machinesStruck is the greatest number of machines out of total that a disruption may strike.
func machinesStruck(d Disruption, variant Variant, total int) int {
	if variant.Removes == RemovesWorkers && slices.Contains(d.words(), allWorkers) {
		return total
	}
	if d.Count > 0 {
		return d.Count
	}
	if variant.Removed > 0 {
		return total * int(variant.Removed) / 100
	}
	return int(math.Ceil(float64(total) * float64(d.Share) / 100))
}
