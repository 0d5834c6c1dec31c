// Package machine is the stand-in of one worker VM: a backend server with
// slots, a connection limit and a guard, and the agent that runs tasks under
// leases by the VM's own clock.
//
// A machine obeys. It refuses what the contract says that it refuses (another
// boot, a start past its time, a tombstone), but not overcommitment or a
// second run of a job: those it carries out and reports to the witness, so
// that the system's faults show.
//
// Tasks are only accounted for: a task of run_ms 400 has finished when 400 ms
// of work were done at the speed that throttling allows. All is worked out
// when somebody asks, from the clock that was given, so it works in virtual
// time and needs no goroutine.
//
// # Usage
//
//	vm := machine.New(machine.Options{VM: row, Clock: clk, Slots: 8, Connections: 64, GuardOn: true, Observe: record.Observer()})
//	err := vm.Serve(ctx, requests, agent)        // over HTTP
//	client := machine.Agents(vm, other)          // or directly
//	vm.SetFaults(machine.Faults{Hang: true})
package machine

import (
	"context"
	"fmt"
	"math/rand/v2"
	"sync"

	"github.com/oriolepier/oriolepier/internal/base/clock"
	"github.com/oriolepier/oriolepier/internal/platform/inventory"
	"github.com/oriolepier/oriolepier/internal/platform/worker"
	"github.com/oriolepier/oriolepier/internal/standin/witness"
)

const (
	// Service time of a request that does not ask for another.
	defaultService clock.Millis = 5
	// Work of a task whose payload does not say.
	defaultRun = clock.Second
	// A throttled task works at this share of its speed.
	defaultThrottledSpeed = 25
	// Spread of service times around their mean, in percent either way.
	jitterPercent = 20
	// A task on a worker that fails everything ends after so much work.
	failAfter clock.Millis = 10
	// Requests of one service from which its slowdown and p99 are taken.
	keptLatencies = 256
	// What a running request takes, in usage reports.
	milliCoresPerRequest = 500
	// Bodies of requests and the answers that can be asked for.
	maxBodyBytes   = 8 << 20
	maxAnswerBytes = 8 << 20
)

// Options set up a machine.
type Options struct {
	VM             inventory.VM
	Clock          clock.Clock
	Life           string // starts the names of boots; empty for the VM's name
	Seed           uint64
	Slots          int // requests that run at once
	Connections    int // on the request listener; 0 for no limit
	GuardOn        bool
	Noise          Noise
	ServiceMS      clock.Millis // 0 means 5
	ThrottledSpeed int          // percent; 0 means 25
	CheckpointMS   clock.Millis // time that a checkpoint at a stop takes
	AutoSaveMS     clock.Millis // work between checkpoints of a running task; 0 for none
	DriftPPM       int64        // how much faster the VM's clock runs, in millionths
	Observe        witness.Observer
}

// Faults are the switches of what goes wrong. Those of requests hit the share
// Percent of them, all when it is 0.
type Faults struct {
	Percent      int          `json:"percent"`
	Hang         bool         `json:"hang"`          // taken, run, never answered; holds its slot
	DropTaken    bool         `json:"drop_taken"`    // taken, run, connection closed
	DropUnrun    bool         `json:"drop_unrun"`    // taken, not run, connection closed
	ResetMid     bool         `json:"reset_mid"`     // connection closed half way through the answer
	ShortBody    bool         `json:"short_body"`    // fewer bytes than the answer should have, with a length that fits
	WrongID      bool         `json:"wrong_id"`      // the answer of another request
	LyingRefusal bool         `json:"lying_refusal"` // run, then refused as not run
	RefuseAll    bool         `json:"refuse_all"`    // the guard lets nothing in
	SlowMS       clock.Millis `json:"slow_ms"`       // more service time

	FailTasks     bool         `json:"fail_tasks"`      // every task started from now on fails
	AgentDown     bool         `json:"agent_down"`      // calls break off without effect
	AgentLoseNext int          `json:"agent_lose_next"` // so many calls take effect and stay unanswered
	AgentSlowMS   clock.Millis `json:"agent_slow_ms"`   // of each call, before it takes effect
}

// Machine is one worker VM. Its methods may be called from any goroutine.
type Machine struct {
	options Options
	slots   chan struct{}

	mu     sync.Mutex
	lots   *rand.Rand
	faults Faults
	boot   string
	boots  int
	bootAt clock.Millis
	life   context.Context // ends with this life of the VM
	halt   context.CancelFunc
	halted bool
	tasks  map[name]*task
	served map[string]*latencies
	stats  Stats
}

// Stats counts what the backend server saw.
type Stats struct {
	Requests            int64 `json:"requests"` // that reached the handler
	Ran                 int64 `json:"ran"`
	Refused             int64 `json:"refused"`
	Running             int   `json:"running"`
	MostRunning         int   `json:"most_running"`
	Connections         int   `json:"connections"`
	MostConnections     int   `json:"most_connections"`
	ConnectionsRefused  int64 `json:"connections_refused"`
	AgentCalls          int64 `json:"agent_calls"`
	AgentCallsUnobeyed  int64 `json:"agent_calls_unobeyed"`
	TasksStarted        int64 `json:"tasks_started"`
	TasksFinished       int64 `json:"tasks_finished"`
	LeasesLapsed        int64 `json:"leases_lapsed"`
	ThrottleOrders      int64 `json:"throttle_orders"`
	StopOrders          int64 `json:"stop_orders"`
	CheckpointsResumed  int64 `json:"checkpoints_resumed"`
	StartsRefused       int64 `json:"starts_refused"`
	RenewalsOfOtherBoot int64 `json:"renewals_of_other_boot"`
}

// New returns a machine that has just booted.
func New(options Options) *Machine {
	if options.Observe == nil {
		options.Observe = func(context.Context, witness.Event) {}
	}
	if options.Life == "" {
		options.Life = options.VM.Name
	}
	if options.ServiceMS == 0 {
		options.ServiceMS = defaultService
	}
	if options.ThrottledSpeed == 0 {
		options.ThrottledSpeed = defaultThrottledSpeed
	}
	machine := &Machine{
		options: options,
		slots:   make(chan struct{}, max(1, options.Slots)),
		lots:    rand.New(rand.NewPCG(options.Seed, 2)),
		served:  map[string]*latencies{},
	}
	machine.mu.Lock()
	defer machine.mu.Unlock()
	machine.start()
	return machine
}

// VM returns the machine's row of the list.
func (machine *Machine) VM() inventory.VM { return machine.options.VM }

// SetFaults replaces all switches.
func (machine *Machine) SetFaults(faults Faults) {
	machine.mu.Lock()
	defer machine.mu.Unlock()
	machine.faults = faults
}

// Stats returns the counts so far.
func (machine *Machine) Stats() Stats {
	machine.mu.Lock()
	defer machine.mu.Unlock()
	return machine.stats
}

// Restart ends this life of the VM at once and begins another: a new boot, the
// worker's clock at zero, no task, no tombstone.
func (machine *Machine) Restart() {
	machine.mu.Lock()
	defer machine.mu.Unlock()
	machine.stop()
	machine.start()
}

// Shutdown ends the VM at once and for good.
func (machine *Machine) Shutdown() {
	machine.mu.Lock()
	defer machine.mu.Unlock()
	machine.stop()
}

func (machine *Machine) start() {
	machine.boots++
	machine.boot = fmt.Sprintf("%s#%d", machine.options.Life, machine.boots)
	machine.bootAt = machine.options.Clock.Now()
	machine.life, machine.halt = context.WithCancel(context.Background())
	machine.halted = false
	machine.tasks = map[name]*task{}
	machine.observe(witness.Event{Kind: witness.Booted, At: machine.bootAt, Size: machine.options.VM.Size})
}

func (machine *Machine) stop() {
	if machine.halted {
		return
	}
	machine.settle()
	machine.halted = true
	machine.halt()
	machine.tasks = map[name]*task{}
	machine.observe(witness.Event{Kind: witness.Halted, At: machine.options.Clock.Now()})
}

// present returns the context of this life of the VM, or false when the VM has
// halted.
func (machine *Machine) present() (context.Context, bool) {
	machine.mu.Lock()
	defer machine.mu.Unlock()
	return machine.life, !machine.halted
}

// now reads the worker's clock.
func (machine *Machine) now() worker.Time {
	elapsed := machine.options.Clock.Now() - machine.bootAt
	return worker.Time(elapsed + elapsed*clock.Millis(machine.options.DriftPPM)/million)
}

const million = 1_000_000

// shared converts a reading of the worker's clock to the shared clock.
func (machine *Machine) shared(at worker.Time) clock.Millis {
	return machine.bootAt + clock.Millis(at)*million/(million+clock.Millis(machine.options.DriftPPM))
}

// observe tells the witness, with the VM's name and domain. It is called under
// the lock, so that the witness hears of things in their order.
func (machine *Machine) observe(event witness.Event) {
	event.VM = machine.options.VM.Name
	event.Domain = machine.options.VM.FailureDomain
	machine.options.Observe(context.Background(), event)
}
