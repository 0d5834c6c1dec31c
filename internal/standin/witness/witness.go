// Package witness keeps what callers, workers and operators saw and judges by
// it alone whether what must always hold did hold. It knows nothing of the
// system and asks it nothing.
//
// Observers share one clock: in one process any [clock.Clock], among processes
// of one machine that of [SharedClock]. Events may arrive late or twice; they
// are judged by the time at which they happened.
//
// # Usage
//
//	record := witness.New(witness.Options{OutGraceMS: 5 * clock.Second})
//	record.Note(witness.Event{Kind: witness.TaskStarted, At: now, VM: "a-w-1", Job: id, Attempt: 1})
//	verdict := record.Verdict()
//	if verdict.Broken() { ... }
package witness

import (
	"sync"

	"github.com/oriolepier/oriolepier/internal/base/amount"
	"github.com/oriolepier/oriolepier/internal/base/clock"
)

const (
	// "A few seconds" of the promise that nothing starts in a domain taken out.
	defaultOutGrace = 5 * clock.Second
	// Phase of a run that ended because its VM did.
	lostWithVM = "lost"
	// Reads as "still running".
	never clock.Millis = 1 << 62
)

// Options set the limits that the verdict applies.
type Options struct {
	OutGraceMS clock.Millis // starts and requests are allowed so long after a mark; 0 means 5,000
}

// Witness is a shared record. Its methods may be called from any goroutine.
type Witness struct {
	options Options

	mu       sync.Mutex
	seen     map[string]int64 // highest sequence of each source
	requests map[string]*request
	works    map[string]*work
	runs     []run
	open     map[attempt]int // running attempts, as indexes of runs
	sizes    map[string]amount.Amount
	domains  map[string][]window
	vms      map[string][]window
	served   []served // requests that ran on VMs with a mark
}

// request is what is known of one request id.
type request struct {
	repeatable, sent, refused, answered, wrong, unknown bool

	ran int
}

// work is what callers know of one task key.
type work struct{ accepted, refused, cancelled bool }

// attempt names a running task on its VM.
type attempt struct {
	vm, job string
	number  int
}

// run is one run of a task on a worker.
type run struct {
	attempt
	domain, key   string
	start, end    clock.Millis
	size          amount.Amount
	phase         string
	done, saved   clock.Millis
	resumed, left string // checkpoints
}

// served is a request that ran on a VM.
type served struct {
	id, vm, domain string
	at             clock.Millis
}

// window is the time for which a mark held.
type window struct{ from, to clock.Millis }

// New returns an empty record.
func New(options Options) *Witness {
	if options.OutGraceMS == 0 {
		options.OutGraceMS = defaultOutGrace
	}
	return &Witness{
		options:  options,
		seen:     map[string]int64{},
		requests: map[string]*request{},
		works:    map[string]*work{},
		open:     map[attempt]int{},
		sizes:    map[string]amount.Amount{},
		domains:  map[string][]window{},
		vms:      map[string][]window{},
	}
}

// Note adds an observation.
func (witness *Witness) Note(event Event) {
	witness.mu.Lock()
	defer witness.mu.Unlock()
	if witness.repeated(event) {
		return
	}
	switch event.Kind {
	case Booted, Halted:
		witness.noteBoot(event)
	case TaskStarted:
		witness.noteStart(event)
	case TaskEnded:
		witness.noteEnd(event)
	case RequestRan:
		witness.noteRan(event)
	case TaskAccepted, TaskRefused, TaskCancelled:
		witness.noteWork(event)
	case DomainOut, DomainBack:
		witness.domains[event.Domain] = mark(witness.domains[event.Domain], event)
	case VMOut, VMBack:
		witness.vms[event.VM] = mark(witness.vms[event.VM], event)
	default:
		witness.noteRequest(event)
	}
}

func (witness *Witness) repeated(event Event) bool {
	if event.Sequence == 0 {
		return false
	}
	if event.Sequence <= witness.seen[event.Source] {
		return true
	}
	witness.seen[event.Source] = event.Sequence
	return false
}

func (witness *Witness) noteBoot(event Event) {
	if event.Kind == Booted {
		witness.sizes[event.VM] = event.Size
	}
	for key, index := range witness.open {
		if key.vm != event.VM {
			continue
		}
		witness.runs[index].end = event.At
		witness.runs[index].phase = lostWithVM
		delete(witness.open, key)
	}
}

func (witness *Witness) noteStart(event Event) {
	key := attempt{event.VM, event.Job, event.Attempt}
	witness.open[key] = len(witness.runs)
	witness.runs = append(witness.runs, run{
		attempt: key, domain: event.Domain, key: workKey(event),
		start: event.At, end: never, size: event.Size, resumed: event.Checkpoint, done: event.DoneMS,
	})
}

func (witness *Witness) noteEnd(event Event) {
	key := attempt{event.VM, event.Job, event.Attempt}
	index, found := witness.open[key]
	if !found {
		return // ended with its VM
	}
	delete(witness.open, key)
	run := &witness.runs[index]
	run.end, run.phase = event.At, event.Phase
	run.done, run.saved, run.left = event.DoneMS, event.SavedMS, event.Checkpoint
}

func (witness *Witness) noteRan(event Event) {
	witness.request(event.Request).ran++
	if len(witness.vms[event.VM]) > 0 || len(witness.domains[event.Domain]) > 0 {
		witness.served = append(witness.served, served{event.Request, event.VM, event.Domain, event.At})
	}
}

func (witness *Witness) noteWork(event Event) {
	known, found := witness.works[workKey(event)]
	if !found {
		known = &work{}
		witness.works[workKey(event)] = known
	}
	switch event.Kind {
	case TaskAccepted:
		known.accepted = true
	case TaskRefused:
		known.refused = true
	case TaskCancelled:
		known.cancelled = true
	}
}

func (witness *Witness) noteRequest(event Event) {
	known := witness.request(event.Request)
	switch event.Kind {
	case RequestSent:
		known.sent, known.repeatable = true, event.Repeatable
	case RequestAnswered:
		known.answered = true
	case RequestWrong:
		known.wrong = true
	case RequestRefused:
		known.refused = true
	case RequestUnknown:
		known.unknown = true
	}
}

func (witness *Witness) request(id string) *request {
	known, found := witness.requests[id]
	if !found {
		known = &request{repeatable: true}
		witness.requests[id] = known
	}
	return known
}

// workKey names the work of a task: the caller's key when the task carries it.
func workKey(event Event) string {
	if event.Key != "" {
		return event.Key
	}
	return event.Job
}

// mark opens or closes a window.
func mark(windows []window, event Event) []window {
	last := len(windows) - 1
	held := last >= 0 && windows[last].to == never
	out := event.Kind == DomainOut || event.Kind == VMOut
	switch {
	case out && !held:
		return append(windows, window{event.At, never})
	case !out && held:
		windows[last].to = event.At
	}
	return windows
}
