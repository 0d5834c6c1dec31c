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
		rig := backlogBench(30)
		workers := rig.own.ordered
		spec := stepJob(fmt.Sprintf("%016x", 5000+round), job.Step{
			Count: 25, MilliCPU: 500 + rng.Int64N(4000), MemoryMB: 10, PerWorker: rng.IntN(2),
			Fills: round%2 == 0, Image: fmt.Sprint("fill-", rng.IntN(4)),
		})
		rig.own.Submit(spec, func(Verdict) {})
		j := rig.own.jobs[spec.ID]
		step := &j.steps[0]
		cached := rating{}
		for k := range step.tasks {
			task := &step.tasks[k]
			task.avoid = workers[rng.IntN(len(workers))].id
			fresh := rating{}
			want := rig.own.chooseWorker(&fresh, task, step, workers)
			got := rig.own.chooseWorker(&cached, task, step, workers)
			if got != want {
				t.Fatalf("round %d, task %d: cached scores choose another worker than fresh ones", round, k)
			}
			if got == nil {
				break
			}
			rig.own.assign(task, got)
			rig.own.addTrial(step, got)
		}
	}
}
