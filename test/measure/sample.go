package measure

import (
	"strings"
	"time"

	"github.com/juju/errors"

	"fulmarcourse.example/core/structs"
	"fulmarcourse.example/fulmarcourse/pkg/standin"
	"fulmarcourse.example/fulmarcourse/test/cluster"
)

// Sample is the resource use of one entry host per second, averaged over a time window and over all entry hosts.
// Traffic is the payload of TCP connections in both directions.
type Sample struct {
	CPUPercent   float64 // of one core
	ResidentMB   float64 // at the end of the window, in millions of bytes
	PeerBytes    float64 // heartbeats and dispatches between entry hosts; each byte is counted at both ends
	StoreBytes   float64
	ListBytes    float64 // host list
	BackendBytes float64 // workers and runners behind proxies
	StoreReads   float64
	StoreWrites  float64
}

// ControlBytes is the traffic of all kinds, in bytes per second.
func (s Sample) ControlBytes() float64 {
	return s.PeerBytes + s.StoreBytes + s.ListBytes + s.BackendBytes
}

// reading is the state of all counters at one time.
type reading struct {
	at        time.Time
	processes Process // sum over all entry hosts
	calls     standin.StoreCalls
	traffic   map[cluster.Link]cluster.Traffic
}

func read(c *cluster.Cluster) (reading, error) {
	r := reading{at: time.Now(), calls: c.Platform.Store.Calls(), traffic: c.Traffic()}
	for _, id := range c.Entries() {
		p, err := ReadProcess(c.Entry(id).PID())
		if err != nil {
			return reading{}, errors.Annotate(err, string(id))
		}
		r.processes.CPU += p.CPU
		r.processes.Resident += p.Resident
	}
	return r, nil
}

// MeasureDuring measures a cluster while wait runs.
func MeasureDuring(c *cluster.Cluster, wait func()) (Sample, error) {
	before, err := read(c)
	if err != nil {
		return Sample{}, err
	}
	wait()
	after, err := read(c)
	if err != nil {
		return Sample{}, err
	}
	return difference(before, after, c.Entries()), nil
}

func difference(before, after reading, entries []structs.HostID) Sample {
	seconds := after.at.Sub(before.at).Seconds()
	perHost := seconds * float64(len(entries))
	entry := map[string]bool{}
	for _, id := range entries {
		entry[string(id)] = true
	}
	s := Sample{
		CPUPercent:  100 * (after.processes.CPU - before.processes.CPU).Seconds() / perHost,
		ResidentMB:  float64(after.processes.Resident) / 1e6 / float64(len(entries)),
		StoreReads:  float64(after.calls.Reads-before.calls.Reads) / perHost,
		StoreWrites: float64(after.calls.Writes-before.calls.Writes) / perHost,
	}
	for link, current := range after.traffic {
		previous := before.traffic[link]
		bytes := float64(current.ToTarget+current.ToCaller-previous.ToTarget-previous.ToCaller) / perHost
		switch {
		case entry[link.To]:
			s.PeerBytes += 2 * bytes
		case link.To == "store":
			s.StoreBytes += bytes
		case link.To == "hostlist":
			s.ListBytes += bytes
		case strings.Contains(link.To, "-"): // "<dc>-<rack>-worker-<n>" and "<dc>-<rack>-runner-<n>"
			s.BackendBytes += bytes
		}
	}
	return s
}
