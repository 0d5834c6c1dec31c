// Package amount defines resource quantities: the processors, memory and
// accelerators that a VM has or a task requests.
//
// # Usage
//
//	free := vm.Size.Sub(committed)
//	if free.Fits(task.Size) { ... }
package amount

// Amount is a quantity of the three resources that are never overcommitted.
type Amount struct {
	MilliCores   int64 `cbor:"1,keyasint,omitempty" json:"milli_cores"`                   // thousandths of a processor core
	MemoryMB     int64 `cbor:"2,keyasint,omitempty" json:"memory_mb"`                     // in units of 2^20 bytes
	Accelerators int64 `cbor:"3,keyasint,omitempty" json:"accelerators" required:"false"` // whole devices
}

// Add returns a plus b.
func (a Amount) Add(b Amount) Amount {
	return Amount{a.MilliCores + b.MilliCores, a.MemoryMB + b.MemoryMB, a.Accelerators + b.Accelerators}
}

// Sub returns a minus b; dimensions may become negative.
func (a Amount) Sub(b Amount) Amount {
	return Amount{a.MilliCores - b.MilliCores, a.MemoryMB - b.MemoryMB, a.Accelerators - b.Accelerators}
}

// Max returns the larger of a and b in each dimension.
func (a Amount) Max(b Amount) Amount {
	return Amount{max(a.MilliCores, b.MilliCores), max(a.MemoryMB, b.MemoryMB), max(a.Accelerators, b.Accelerators)}
}

// Fits reports whether need is at most a in every dimension.
func (a Amount) Fits(need Amount) bool {
	return need.MilliCores <= a.MilliCores && need.MemoryMB <= a.MemoryMB && need.Accelerators <= a.Accelerators
}

// Negative reports whether any dimension is below zero.
func (a Amount) Negative() bool { return a.MilliCores < 0 || a.MemoryMB < 0 || a.Accelerators < 0 }

// IsZero reports whether all dimensions are zero.
func (a Amount) IsZero() bool { return a == Amount{} }

// DominantShare returns the largest fraction that a has of total in any
// dimension. Dimensions in which total is zero are ignored.
func (a Amount) DominantShare(total Amount) float64 {
	return max(
		fraction(a.MilliCores, total.MilliCores),
		fraction(a.MemoryMB, total.MemoryMB),
		fraction(a.Accelerators, total.Accelerators),
	)
}

func fraction(part, total int64) float64 {
	if total <= 0 {
		return 0
	}
	return float64(part) / float64(total)
}
