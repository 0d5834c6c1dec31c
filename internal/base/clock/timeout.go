package clock

// referenceCores is the number of processor cores that timeouts are chosen for.
const referenceCores = 0.4

// maxTimeoutFactor bounds the factor that timeouts are scaled by.
const maxTimeoutFactor = 4.0

// TimeoutFactor returns the factor that timeouts on a process are scaled by, given its
// number of processor cores: with few cores a process answers slowly although it
// is alive. The factor is 1 if the number is unknown, given as 0.
func TimeoutFactor(cores float64) float64 {
	if cores <= 0 {
		return 1
	}
	return min(max(referenceCores/cores, 1), maxTimeoutFactor)
}

// Scale multiplies a timeout by a factor.
func (m Millis) Scale(factor float64) Millis { return Millis(float64(m) * factor) }
