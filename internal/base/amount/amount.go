// Package amount counts what a VM has and what a task takes: processors,
// memory and accelerators.
//
// # Usage
//
//	free := vm.Size.Sub(committed)
//	if free.Fits(task.Size) { ... }
package amount

// Amount is a quantity in the three dimensions that are never overcommitted.
type Amount struct {
	MilliCores   int64 `cbor:"1,keyasint,omitempty" json:"milli_cores"`                   // thousandths of a processor
	MemoryMB     int64 `cbor:"2,keyasint,omitempty" json:"memory_mb"`                     // 2^20 bytes
	Accelerators int64 `cbor:"3,keyasint,omitempty" json:"accelerators" required:"false"` // whole devices
}

// Add returns a plus b.
func (a Amount) Add(b Amount) Amount {
	return Amount{a.MilliCores + b.MilliCores, a.MemoryMB + b.MemoryMB, a.Accelerators + b.Accelerators}
}

// Sub returns a minus b; dimensions may go below zero.
func (a Amount) Sub(b Amount) Amount {
	return Amount{a.MilliCores - b.MilliCores, a.MemoryMB - b.MemoryMB, a.Accelerators - b.Accelerators}
}

// Max returns the larger of a and b in each dimension.
func (a Amount) Max(b Amount) Amount {
	return Amount{max(a.MilliCores, b.MilliCores), max(a.MemoryMB, b.MemoryMB), max(a.Accelerators, b.Accelerators)}
}

// Fits reports whether need is within a in each dimension.
func (a Amount) Fits(need Amount) bool {
	return need.MilliCores <= a.MilliCores && need.MemoryMB <= a.MemoryMB && need.Accelerators <= a.Accelerators
}

// Negative reports whether any dimension is below zero.
func (a Amount) Negative() bool { return a.MilliCores < 0 || a.MemoryMB < 0 || a.Accelerators < 0 }

// IsZero reports whether all dimensions are zero.
func (a Amount) IsZero() bool { return a == Amount{} }

// DominantShare returns the largest of a's dimensions as a fraction of whole.
// A dimension that the whole lacks is left out.
func (a Amount) DominantShare(whole Amount) float64 {
	return max(
		share(a.MilliCores, whole.MilliCores),
		share(a.MemoryMB, whole.MemoryMB),
		share(a.Accelerators, whole.Accelerators),
	)
}

func share(part, whole int64) float64 {
	if whole <= 0 {
		return 0
	}
	return float64(part) / float64(whole)
}
