package structs

// Resources is an amount of capacity on one host.
type Resources struct {
	MilliCPU     int64 `json:"milli_cpu"`    // thousandths of a processor
	MemoryBytes  int64 `json:"memory_bytes"` // bytes
	Accelerators int64 `json:"accelerators"` // whole devices
}

// Add returns r + o.
func (r Resources) Add(o Resources) Resources {
	return Resources{r.MilliCPU + o.MilliCPU, r.MemoryBytes + o.MemoryBytes, r.Accelerators + o.Accelerators}
}

// Sub returns r - o. The result may be negative.
func (r Resources) Sub(o Resources) Resources {
	return Resources{r.MilliCPU - o.MilliCPU, r.MemoryBytes - o.MemoryBytes, r.Accelerators - o.Accelerators}
}

// Fits reports whether r fits into free in every dimension.
func (r Resources) Fits(free Resources) bool {
	return r.MilliCPU <= free.MilliCPU && r.MemoryBytes <= free.MemoryBytes && r.Accelerators <= free.Accelerators
}
