package owner

import (
	"fmt"
	"math/rand/v2"
	"testing"

	"github.com/oriolepier/oriolepier/internal/schedule/job"
)

// Scores cached between the tasks of a step must choose the same workers as
// scores computed for each task: with best-effort tasks beside long-running
// ones, known and unknown pairs of images, avoided workers and per-worker
// limits.
func TestCachedScoresChooseTheSameWorkerAsFreshScores(t *testing.T) {
	rng := rand.New(rand.NewPCG(3, 5))
	for round := range 20 {
		harness := backlogHarness(30)
		workers := harness.owner.sortedWorkers
		spec := jobSpec(fmt.Sprintf("%016x", 5000+round), job.Step{
			Count: 25, MilliCPU: 500 + rng.Int64N(4000), MemoryMB: 10, PerWorker: rng.IntN(2),
			Fills: round%2 == 0, Image: fmt.Sprint("best-effort-", rng.IntN(4)),
		})
		harness.owner.Submit(spec, func(Verdict) {})
		j := harness.owner.jobs[spec.ID]
		step := &j.steps[0]
		cached := rating{}
		for k := range step.tasks {
			task := &step.tasks[k]
			task.avoidWorker = workers[rng.IntN(len(workers))].id
			fresh := rating{}
			want := harness.owner.chooseWorker(&fresh, task, step, workers)
			got := harness.owner.chooseWorker(&cached, task, step, workers)
			if got != want {
				t.Fatalf("round %d, task %d: cached scores choose another worker than fresh ones", round, k)
			}
			if got == nil {
				break
			}
			harness.owner.assign(task, got)
			harness.owner.addTrial(step, got)
		}
	}
}
