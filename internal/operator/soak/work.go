package soak

import (
	"fmt"
	"math/rand/v2"
	"strconv"

	"github.com/cespare/xxhash/v2"

	"github.com/oriolepier/oriolepier/internal/base/clock"
	"github.com/oriolepier/oriolepier/internal/schedule/fleet"
	"github.com/oriolepier/oriolepier/internal/schedule/job"
	"github.com/oriolepier/oriolepier/internal/standin/worker"
)

// Room of each task and of each worker.
const (
	taskMilliCPU   = 1000
	taskMemoryMB   = 500
	slotsPerWorker = 4
)

// kind is the kind of a job's tasks.
type kind byte

// The kinds of jobs: shorter than a lease, longer than a lease, and until cancelled.
const (
	shortRuns kind = '1'
	longRuns  kind = '2'
	lasting   kind = '3'
)

// Lengths of runs.
const (
	shortMin clock.Millis = 200
	shortMax clock.Millis = 2 * clock.Second
	longMin  clock.Millis = 5 * clock.Second
	longMax  clock.Millis = 12 * clock.Second
)

// newJobID returns an id that tells the workers what to run: the kind, the length of
// the runs in ms as 4 hexadecimal digits, and 11 random ones.
func newJobID(k kind, length clock.Millis, rng *rand.Rand) job.ID {
	return job.ID(fmt.Sprintf("%c%04x%011x", k, int64(length), rng.Uint64()>>20))
}

// drawLength draws the length of the runs of a job.
func drawLength(k kind, rng *rand.Rand) clock.Millis {
	shortest, longest := shortMin, shortMax
	switch k {
	case lasting:
		return 0
	case longRuns:
		shortest, longest = longMin, longMax
	case shortRuns:
	}
	return shortest + clock.Millis(rng.Int64N(int64(longest-shortest)))
}

// workOf returns the work of a run, by the id of its job. Tasks of one job take 60
// to 100 % of its length.
func workOf(task job.Task) worker.Work {
	work := worker.Work{Room: fleet.Room{MilliCPU: taskMilliCPU, MemoryMB: taskMemoryMB}, Usage: taskMilliCPU}
	length, err := strconv.ParseInt(string(task.Job[1:5]), 16, 64)
	if err != nil {
		length = int64(shortMin) // ids of other callers
	}
	const leastPercent, percents = 60, 41
	percent := leastPercent + xxhash.Sum64String(fmt.Sprint(task))%percents
	work.Length = clock.Millis(length * int64(percent) / 100)
	return work
}

// newSpec returns a job of a kind. Some short jobs have a second step.
func newSpec(k kind, length clock.Millis, rng *rand.Rand) job.Spec {
	step := job.Step{Count: 2, MilliCPU: taskMilliCPU, MemoryMB: taskMemoryMB, EstimateMS: int64(length)}
	steps := []job.Step{step}
	switch k {
	case lasting:
		steps[0].Lasting, steps[0].Image = true, "serve"
	case shortRuns:
		steps[0].Count = 4
		if rng.IntN(3) == 0 {
			steps = append(steps, step)
			steps[1].After = []int{0}
		}
	case longRuns:
	}
	return job.Spec{Text: "soak", Steps: steps}
}
