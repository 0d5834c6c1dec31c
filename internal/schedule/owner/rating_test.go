package owner

import (
	"fmt"
	"math/rand/v2"
	"testing"

	"github.com/oriolepier/oriolepier/internal/schedule/job"
)

// Scores that are kept between the tasks of a step choose the same workers as
// scores made anew for each task: for tasks that fill beside lasting ones, known
// and unknown pairs, avoided workers, and tasks with a worker of their own.
func TestKeptScoresChooseLikeFreshOnes(t *testing.T) {
	rng := rand.New(rand.NewPCG(3, 5))
	for round := range 20 {
		rig := backlog(30)
		workers := rig.own.ordered
		spec := stepJob(fmt.Sprintf("%016x", 5000+round), job.Step{
			Count: 25, MilliCPU: 500 + rng.Int64N(4000), MemoryMB: 10, PerWorker: rng.IntN(2),
			Fills: round%2 == 0, Image: fmt.Sprint("fill-", rng.IntN(4)),
		})
		rig.own.Submit(spec, func(Verdict) {})
		j := rig.own.jobs[spec.ID]
		step := &j.steps[0]
		kept := rating{}
		for k := range step.tasks {
			task := &step.tasks[k]
			task.avoid = workers[rng.IntN(len(workers))].id
			fresh := rating{}
			want := rig.own.choose(&fresh, task, step, workers)
			got := rig.own.choose(&kept, task, step, workers)
			if got != want {
				t.Fatalf("round %d, task %d: another worker than with fresh scores", round, k)
			}
			if got == nil {
				break
			}
			rig.own.assign(task, got)
			rig.own.noteTrial(step, got)
		}
	}
}
