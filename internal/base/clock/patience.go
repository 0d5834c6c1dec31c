package clock

// usualCores is the processor for which limits of waiting are chosen.
const usualCores = 0.4

// mostPatience bounds how far limits are stretched.
const mostPatience = 4.0

// Patience returns by how much limits of waiting for a process are stretched
// where it has so many processor cores: a weak one is slow without being gone.
// Unknown cores, 0, stretch nothing.
func Patience(cores float64) float64 {
	if cores <= 0 {
		return 1
	}
	return min(max(usualCores/cores, 1), mostPatience)
}

// Stretch multiplies a limit.
func (m Millis) Stretch(factor float64) Millis { return Millis(float64(m) * factor) }
