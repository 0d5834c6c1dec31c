package machine

import (
	"encoding/json"
	"fmt"
	"strconv"
	"strings"

	"github.com/oriolepier/oriolepier/internal/base/amount"
	"github.com/oriolepier/oriolepier/internal/base/clock"
	"github.com/oriolepier/oriolepier/internal/platform/worker"
	"github.com/oriolepier/oriolepier/internal/standin/witness"
)

const (
	fullSpeed = 100 // percent
	// Kept apart from job ids, which hold no colon.
	checkpointParts = ":"
)

// Payload is what a task's payload says in JSON; all of it may be absent.
type Payload struct {
	Key         string       `json:"key,omitempty"`          // names the work to the witness
	RunMS       clock.Millis `json:"run_ms,omitempty"`       // work in it; 0 means 1,000
	Fail        bool         `json:"fail,omitempty"`         // fails at the end of it
	UsePercent  int64        `json:"use_percent,omitempty"`  // of the declared size that it really uses; 0 means 100
	UsedMemory  int64        `json:"used_memory,omitempty"`  // in MB, instead of the share
	NeverEnding bool         `json:"never_ending,omitempty"` // runs until it is stopped
}

// name is that of one attempt.
type name struct {
	job     string
	attempt int
}

// task is one attempt on this machine.
type task struct {
	order     worker.StartOrder
	payload   Payload
	phase     worker.Phase
	lease     worker.Time
	throttled bool
	failing   bool
	worked    clock.Millis // in hundredths of work, up to since
	since     worker.Time
	saved     string // newest complete checkpoint
	reason    string
}

func newTask(order worker.StartOrder, now worker.Time) *task {
	fresh := &task{order: order, phase: worker.Running, lease: order.LeaseUntil, since: now, saved: order.Resume}
	if err := json.Unmarshal([]byte(order.Payload), &fresh.payload); err != nil {
		fresh.payload = Payload{} // payloads of others mean nothing here
	}
	if fresh.payload.RunMS <= 0 {
		fresh.payload.RunMS = defaultRun
	}
	fresh.failing = fresh.payload.Fail
	fresh.worked = progressOf(order.Resume) * fullSpeed
	return fresh
}

// done returns the work done, in milliseconds at full speed.
func (task *task) done() clock.Millis { return task.worked / fullSpeed }

func (task *task) speed(throttled int) clock.Millis {
	if task.throttled {
		return clock.Millis(throttled)
	}
	return fullSpeed
}

// advance counts the work done up to a time.
func (task *task) advance(to worker.Time, throttled int) {
	task.worked += clock.Millis(to-task.since) * task.speed(throttled)
	task.since = to
}

// endsAt returns when the task ends if nothing changes, and how.
func (task *task) endsAt(throttled int) (worker.Time, worker.Phase) {
	if task.payload.NeverEnding && !task.failing {
		return task.lease, worker.Lapsed
	}
	speed := task.speed(throttled)
	left := max(0, task.payload.RunMS*fullSpeed-task.worked)
	end := task.since + worker.Time((left+speed-1)/speed)
	switch {
	case end > task.lease:
		return task.lease, worker.Lapsed
	case task.failing:
		return end, worker.Failed
	}
	return end, worker.Finished
}

// used is what the task really takes.
func (task *task) used() amount.Amount {
	size := task.order.Size
	if share := task.payload.UsePercent; share > 0 {
		size.MilliCores = size.MilliCores * share / 100
		size.MemoryMB = size.MemoryMB * share / 100
	}
	if task.payload.UsedMemory > 0 {
		size.MemoryMB = task.payload.UsedMemory
	}
	return size
}

// progress is the share of the work that is done, in percent.
func (task *task) progress() int {
	if task.payload.NeverEnding {
		return 0
	}
	return int(min(fullSpeed, task.done()*fullSpeed/task.payload.RunMS))
}

func (task *task) report() worker.Task {
	return worker.Task{
		Job: task.order.Job, Attempt: task.order.Attempt, Cell: task.order.Cell, Phase: task.phase,
		Checkpoint: task.saved, Throttled: task.throttled, Size: task.order.Size, Reason: task.reason,
	}
}

// checkpoint names a state of a task; the platform would keep the state itself.
func (task *task) checkpoint(done clock.Millis) string {
	return strings.Join([]string{task.order.Job, strconv.Itoa(task.order.Attempt), strconv.FormatInt(int64(done), 10)}, checkpointParts)
}

// progressOf returns the work that a checkpoint holds.
func progressOf(checkpoint string) clock.Millis {
	done, err := strconv.ParseInt(checkpoint[strings.LastIndex(checkpoint, checkpointParts)+1:], 10, 64)
	if err != nil {
		return 0
	}
	return clock.Millis(done)
}

// Settle ends the tasks whose end or whose lease's end has passed.
func (machine *Machine) Settle() {
	machine.mu.Lock()
	defer machine.mu.Unlock()
	machine.settle()
}

func (machine *Machine) settle() {
	now := machine.now()
	for _, task := range machine.tasks {
		if task.phase != worker.Running {
			continue
		}
		end, phase := task.endsAt(machine.options.ThrottledSpeed)
		if end <= now {
			machine.end(task, end, phase, "")
			continue
		}
		machine.autoSave(task, now)
	}
}

// autoSave takes the checkpoint that a running task last completed by itself.
func (machine *Machine) autoSave(task *task, now worker.Time) {
	task.advance(now, machine.options.ThrottledSpeed)
	every := machine.options.AutoSaveMS
	if every <= 0 {
		return
	}
	if done := task.done() / every * every; done > progressOf(task.saved) {
		task.saved = task.checkpoint(done)
	}
}

// end closes a running task at a time of the worker's clock.
func (machine *Machine) end(task *task, at worker.Time, phase worker.Phase, reason string) {
	machine.autoSave(task, at)
	task.phase, task.reason = phase, reason
	switch phase {
	case worker.Finished:
		machine.stats.TasksFinished++
	case worker.Lapsed:
		machine.stats.LeasesLapsed++
		task.reason = "lease lapsed"
	case worker.Failed:
		task.reason = fmt.Sprintf("failed after %d ms of work", task.done())
	}
	machine.observe(witness.Event{
		Kind: witness.TaskEnded, At: machine.shared(at), Phase: string(phase),
		Job: task.order.Job, Key: task.payload.Key, Attempt: task.order.Attempt, Size: task.order.Size,
		DoneMS: task.done(), SavedMS: progressOf(task.saved), Checkpoint: task.saved,
	})
}
