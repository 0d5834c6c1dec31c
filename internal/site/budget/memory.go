package budget

import (
	runtimemetrics "runtime/metrics"
	"sync/atomic"

	"github.com/VictoriaMetrics/metrics"
)

// Names of the runtime's metrics.
const (
	metricLive   = "/gc/heap/live:bytes"
	metricCycles = "/gc/cycles/total:gc-cycles"
)

// Memory bounds the jobs of the owner by the live heap. Jobs that were admitted
// count in addition until two collections have ended, because a collection that
// was under way has not counted them.
type Memory struct {
	limit    int64
	live     atomic.Int64 // bytes of the newest collection
	admitted atomic.Int64 // bytes of jobs since the newest collection
	previous atomic.Int64 // bytes of jobs between the two newest collections
	cycles   uint64       // collections that had ended at the newest sample
	refused  *metrics.Counter
}

func newMemory(limit int64, refused *metrics.Counter) *Memory {
	m := &Memory{limit: limit, refused: refused}
	m.sample()
	return m
}

// Admit reports whether a job that takes a number of bytes may be accepted, and
// counts it.
func (m *Memory) Admit(need int64) bool {
	if m.inUse()+need > m.limit {
		m.refused.Inc()
		return false
	}
	m.admitted.Add(need)
	return true
}

// inUse returns the live heap and the jobs that it does not contain yet.
func (m *Memory) inUse() int64 { return m.live.Load() + m.previous.Load() + m.admitted.Load() }

// sample reads the live heap of the newest collection. One goroutine calls it.
func (m *Memory) sample() {
	samples := []runtimemetrics.Sample{{Name: metricLive}, {Name: metricCycles}}
	runtimemetrics.Read(samples)
	if samples[0].Value.Kind() != runtimemetrics.KindUint64 || samples[1].Value.Kind() != runtimemetrics.KindUint64 {
		return // a runtime without these metrics
	}
	cycles := samples[1].Value.Uint64()
	if cycles == m.cycles {
		return
	}
	m.cycles = cycles
	m.previous.Store(m.admitted.Swap(0))
	m.live.Store(int64(samples[0].Value.Uint64()))
}
