package cell

import (
	"fmt"
	"testing"

	"github.com/google/go-cmp/cmp"
	"pgregory.net/rapid"

	"github.com/oriolepier/oriolepier/internal/base/amount"
	"github.com/oriolepier/oriolepier/internal/base/clock"
	"github.com/oriolepier/oriolepier/internal/batch/job"
	"github.com/oriolepier/oriolepier/internal/config/route"
	"github.com/oriolepier/oriolepier/internal/platform/stream"
	"github.com/oriolepier/oriolepier/internal/platform/worker"
)

// twin is the state machine written naively: it keeps what it accepted as a
// plain list, recounts everything each time, and forgets nothing.
type twin struct {
	epoch int64
	owner string
	seen  map[string]bool
	jobs  map[string]*twinJob
	drops map[string]bool
}

type twinJob struct {
	spec              job.Spec
	phase             job.Phase
	attempt, failures int
	evicted, hand     int
	vm, resume        string
	cancel, guest     bool
	result            bool
}

func (t *twin) apply(batch Batch, bodies []any) {
	key := fmt.Sprint(batch.Writer, batch.Sequence)
	if t.seen[key] {
		return
	}
	t.seen[key] = true
	for _, body := range bodies {
		t.one(body)
	}
}

func (t *twin) rules(epoch int64) bool { return t.owner != "" && epoch == t.epoch }

func (t *twin) one(body any) {
	switch b := body.(type) {
	case Claim:
		if b.Epoch == t.epoch+1 {
			t.epoch, t.owner = b.Epoch, b.Entry
		}
	case Handover:
		if t.rules(b.Epoch) {
			t.owner = ""
		}
	case Submit:
		id := job.ID("a.0", b.Spec.Caller, b.Spec.Key)
		if t.jobs[id] == nil {
			t.jobs[id] = &twinJob{spec: b.Spec, phase: job.Queued}
		}
	case Drop:
		if t.rules(b.Epoch) {
			t.drops[b.VM] = true
		}
	case Readmit:
		if t.rules(b.Epoch) && t.committed(b.VM).IsZero() {
			delete(t.drops, b.VM)
		}
	case Receipt:
		if known := t.jobs[b.ID]; known == nil || known.hand < b.Hand && !known.result && t.over(known) {
			t.jobs[b.ID] = &twinJob{spec: b.Spec, phase: job.Queued, attempt: b.Attempt, hand: b.Hand, guest: true, resume: b.Resume}
		}
	default:
		t.ofJob(body)
	}
}

func (t *twin) over(one *twinJob) bool { return one.phase.Over() || one.phase == job.Returned }

func (t *twin) finish(one *twinJob, phase job.Phase) { one.phase, one.result = phase, one.guest }

func (t *twin) ofJob(body any) {
	switch b := body.(type) {
	case Cancel:
		one := t.jobs[b.ID]
		if one == nil || t.over(one) {
			return
		}
		one.cancel = true
		switch one.phase {
		case job.Queued:
			t.finish(one, job.Cancelled)
		case job.Running:
			one.phase = job.Evicting
		}
	case Start:
		one := t.jobs[b.ID]
		if one == nil || !t.rules(b.Epoch) || one.phase != job.Queued || b.Attempt != one.attempt+1 || t.drops[b.VM] {
			return
		}
		if !b.Whole.Fits(t.committed(b.VM).Add(one.spec.Size)) {
			return
		}
		one.phase, one.attempt, one.vm = job.Running, b.Attempt, b.VM
	case End:
		t.end(b)
	case Evict:
		if one := t.jobs[b.ID]; one != nil && t.rules(b.Epoch) && one.phase == job.Running && one.attempt == b.Attempt {
			one.phase = job.Evicting
		}
	case Park:
		if one := t.jobs[b.ID]; one != nil && t.rules(b.Epoch) && one.phase == job.Queued {
			t.finish(one, job.Parked)
		}
	case Hand:
		if one := t.jobs[b.ID]; one != nil && t.rules(b.Epoch) && one.phase == job.Queued && !one.guest && b.Hand == one.hand+1 {
			one.phase, one.hand = job.Handed, b.Hand
		}
	case GiveBack:
		if one := t.jobs[b.ID]; one != nil && t.rules(b.Epoch) && one.phase == job.Queued && one.guest && b.Hand == one.hand {
			t.finish(one, job.Returned)
		}
	case Delivered:
		if one := t.jobs[b.ID]; one != nil && one.hand == b.Hand {
			one.result = false
		}
	case Result:
		t.back(b)
	}
}

func (t *twin) end(b End) {
	one := t.jobs[b.ID]
	if one == nil || one.attempt != b.Attempt || one.phase != job.Running && one.phase != job.Evicting {
		return
	}
	evicting := one.phase == job.Evicting
	if b.Checkpoint != "" {
		one.resume = b.Checkpoint
	}
	one.phase = job.Queued
	switch {
	case b.Phase == worker.Finished:
		t.finish(one, job.Finished)
		return
	case b.Phase == worker.Failed:
		one.failures++
		if one.failures >= one.spec.MaxAttempts && !one.cancel {
			t.finish(one, job.Parked)
			return
		}
	case evicting && !one.cancel:
		one.evicted++
	}
	if one.cancel {
		t.finish(one, job.Cancelled)
	}
}

func (t *twin) back(b Result) {
	one := t.jobs[b.ID]
	if one == nil || one.phase != job.Handed || one.hand != b.Hand {
		return
	}
	one.attempt, one.failures, one.evicted, one.resume, one.vm = b.Attempt, b.Failures, b.Evicted, b.Resume, b.VM
	switch {
	case b.Phase != job.Returned:
		t.finish(one, b.Phase)
	case one.cancel:
		t.finish(one, job.Cancelled)
	default:
		one.phase = job.Queued
	}
}

func (t *twin) committed(vm string) amount.Amount {
	sum := amount.Amount{}
	for _, one := range t.jobs {
		if one.vm == vm && (one.phase == job.Running || one.phase == job.Evicting) {
			sum = sum.Add(one.spec.Size)
		}
	}
	return sum
}

var whole = amount.Amount{MilliCores: 4000, MemoryMB: 4000}

func specOf(key int) job.Spec {
	return job.Spec{
		Caller: "caller", Key: fmt.Sprint(key), Route: "r", Team: "team", Class: route.Batch, Pools: []string{"batch"},
		Payload: "payload", Size: amount.Amount{MilliCores: int64(1000 + key%3*1000), MemoryMB: 500}, MaxAttempts: 2,
	}
}

// drawBody returns a record about few jobs, workers and epochs, so that races
// between them are common.
func drawBody(t *rapid.T, state *State) any {
	n := func(label string, low, high int) int { return rapid.IntRange(low, high).Draw(t, label) }
	key := n("key", 0, 2)
	id := job.ID("a.0", "caller", fmt.Sprint(key))
	guest := job.ID("b.0", "caller", fmt.Sprint(key))
	if n("guest", 0, 1) == 0 {
		id = guest
	}
	vm := fmt.Sprint("vm", n("vm", 0, 1))
	at := state.Epoch() - int64(n("stale", 0, 4)/4)
	attempt, hand := n("attempt", 0, 1), n("hand", 0, 1)
	if known, ok := state.Job(id); ok {
		attempt, hand = attempt+known.Attempt, hand+known.Hand
	}
	switch n("kind", 0, 16) {
	case 0, 1:
		return Submit{Spec: specOf(key)}
	case 2:
		return Cancel{ID: id}
	case 3:
		return Claim{Epoch: at + int64(n("next", 0, 1)), Entry: "e", Domain: "a"}
	case 4, 5, 6:
		return Start{Epoch: at, ID: id, Attempt: attempt, VM: vm, Boot: "boot", Whole: whole}
	case 7, 8, 9:
		phases := []worker.Phase{worker.Finished, worker.Failed, worker.Stopped, worker.Lapsed, worker.Tombstone}
		return End{ID: id, Attempt: attempt, Phase: phases[n("phase", 0, 4)], Checkpoint: []string{"", "c"}[n("saved", 0, 1)]}
	case 10:
		return Evict{Epoch: at, ID: id, Attempt: attempt}
	case 11:
		return []any{Park{Epoch: at, ID: id, Reason: "why"}, Handover{Epoch: at}}[n("rare", 0, 1)]
	case 12:
		return []any{Drop{Epoch: at, VM: vm}, Readmit{Epoch: at, VM: vm}}[n("drop", 0, 1)]
	case 13:
		return Hand{Epoch: at, ID: id, Hand: hand, To: "b.0"}
	case 14:
		return Receipt{From: "b.0", ID: guest, Hand: n("taken", 1, 2), Spec: specOf(key), Attempt: attempt}
	case 15:
		return []any{GiveBack{Epoch: at, ID: guest, Hand: hand}, Delivered{ID: guest, Hand: hand}}[n("back", 0, 1)]
	}
	phases := []job.Phase{job.Finished, job.Returned, job.Parked}
	return Result{ID: id, Hand: hand, Phase: phases[n("phase", 0, 2)], Attempt: attempt}
}

func encodeAny(body any) []byte {
	return append([]byte{byte(kindOf(body))}, mustMarshal(body)...)
}

// The state agrees with the naive twin, and a reader that begins from a
// snapshot at any point has the same state as one that read everything.
func TestStateAgreesWithNaiveTwin(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		state := New("a.0")
		naive := &twin{seen: map[string]bool{}, jobs: map[string]*twinJob{}, drops: map[string]bool{}}
		var late *State
		for offset := range stream.Offset(rapid.IntRange(1, 60).Draw(t, "length")) {
			batch := Batch{Writer: rapid.SampledFrom([]string{"w1", "w2"}).Draw(t, "writer"), Sequence: uint64(rapid.IntRange(1, 40).Draw(t, "sequence"))}
			var bodies []any
			for range rapid.IntRange(1, 4).Draw(t, "records") {
				body := drawBody(t, state)
				bodies = append(bodies, body)
				batch.Records = append(batch.Records, encodeAny(body))
			}
			rec := stream.Record{Offset: offset + 1, Data: EncodeBatch(batch)}
			state.Apply(rec)
			naive.apply(batch, bodies)
			if late != nil {
				late.Apply(rec)
			}
			if rapid.IntRange(0, 9).Draw(t, "snapshot") == 0 {
				late = restoreFrom(t, state)
			}
			compareTwins(t, state, naive)
		}
		if late != nil && late.Hash() != state.Hash() {
			t.Fatal("a reader that began from a snapshot has another state")
		}
	})
}

func restoreFrom(t *rapid.T, state *State) *State {
	found := NewCollector(Rules{})
	for index, record := range Chunks(state.Applied(), state.Snapshot()) {
		batch := Batch{Writer: "w", Sequence: uint64(index + 1), Records: [][]byte{record}}
		found.Add(stream.Record{Offset: state.Applied() + stream.Offset(index) + 1, Data: EncodeBatch(batch)})
	}
	if found.State() == nil {
		t.Fatal("the snapshot does not restore")
	}
	return found.State()
}

func compareTwins(t *rapid.T, state *State, naive *twin) {
	type row struct {
		Phase                            job.Phase
		Attempt, Failures, Evicted, Hand int
		Resume                           string
		Cancel, Result                   bool
	}
	got, want := map[string]row{}, map[string]row{}
	state.Jobs(func(one *Job) bool {
		got[one.ID] = row{one.Phase, one.Attempt, one.Failures, one.Evicted, one.Hand, one.Resume, one.Cancel, one.Result}
		return true
	})
	for id, one := range naive.jobs {
		want[id] = row{one.phase, one.attempt, one.failures, one.evicted, one.hand, one.resume, one.cancel, one.result}
	}
	if diff := cmp.Diff(want, got); diff != "" {
		t.Fatal(diff)
	}
	for _, vm := range []string{"vm0", "vm1"} {
		kept := amount.Amount{}
		if state.VM(vm) != nil {
			kept = state.VM(vm).Committed
		}
		if kept != naive.committed(vm) || !whole.Fits(kept) {
			t.Fatalf("%s: committed %v, twin %v", vm, kept, naive.committed(vm))
		}
	}
	if name, _ := state.Owner(); state.Epoch() != naive.epoch || name != naive.owner {
		t.Fatal("another owner")
	}
}

func feed(state *State, records ...[]byte) []Event {
	batch := Batch{Writer: "w", Sequence: uint64(state.Applied()) + 1, Records: records}
	return state.Apply(stream.Record{Offset: state.Applied() + 1, Data: EncodeBatch(batch)})
}

func TestFencesOlderEpochsAndFullWorkers(t *testing.T) {
	committed := func(rules Rules) int64 {
		state := NewWith("a.0", rules)
		feed(state, Encode(Claim{Epoch: 1, Entry: "old"}), Encode(Claim{Epoch: 2, Entry: "new"}))
		for key := range 6 {
			feed(state, Encode(Submit{Spec: specOf(key)}))
			id := job.ID("a.0", "caller", fmt.Sprint(key))
			feed(state, Encode(Start{Epoch: 1, ID: id, Attempt: 1, VM: "vm0", Whole: whole}))
		}
		if state.VM("vm0") == nil {
			return 0
		}
		return state.VM("vm0").Committed.MilliCores
	}
	got := []int64{committed(Rules{}), committed(Rules{NoFence: true}), committed(Rules{NoFence: true, NoRoom: true})}
	if diff := cmp.Diff([]int64{0, 4000, 12000}, got); diff != "" {
		t.Error(diff)
	}
}

func TestRefusesWhatItCannotRead(t *testing.T) {
	for name, one := range map[string]struct {
		data      []byte
		untrusted bool
	}{
		"foreign bytes":  {[]byte("not ours"), false},
		"empty":          {nil, false},
		"newer version":  {[]byte{magic, version + 1, 0xa0}, true},
		"broken batch":   {[]byte{magic, version, 0xff, 0xff}, false},
		"unknown kind":   {EncodeBatch(Batch{Writer: "w", Sequence: 9, Records: [][]byte{{200, 0xa0}}}), true},
		"broken record":  {EncodeBatch(Batch{Writer: "w", Sequence: 9, Records: [][]byte{{1, 0xff}, {}}}), false},
		"huge claim":     {append([]byte{magic, version}, 0xa1, 0x03, 0x9b, 0x7f, 0xff, 0xff, 0xff, 0xff, 0xff, 0xff, 0xff), false},
		"oversized name": {EncodeBatch(Batch{Writer: string(make([]byte, 600)), Sequence: 1}), false},
	} {
		state := New("a.0")
		state.Apply(stream.Record{Offset: 1, Data: one.data})
		if (state.Untrusted() != "") != one.untrusted || state.Len() != 0 || state.Applied() != 1 {
			t.Errorf("%s: untrusted %q, jobs %d", name, state.Untrusted(), state.Len())
		}
	}
}

func FuzzApply(f *testing.F) {
	f.Add(EncodeBatch(Batch{Writer: "w", Sequence: 1, Records: [][]byte{Encode(Submit{Spec: specOf(1)})}}))
	f.Add(EncodeBatch(Batch{Writer: "w", Sequence: 1, Records: [][]byte{Encode(Chunk{At: 1, Count: 1, Data: New("a.0").Snapshot()[0]})}}))
	f.Fuzz(func(t *testing.T, data []byte) {
		state, found := New("a.0"), NewCollector(Rules{})
		rec := stream.Record{Offset: 1, Data: data}
		state.Apply(rec)
		found.Add(rec)
		if again := New("a.0"); again.Apply(rec) != nil && again.Hash() != state.Hash() {
			t.Error("the same bytes gave two states")
		}
	})
}

func TestForgetsEndedJobsAfterTheirMemory(t *testing.T) {
	state := New("a.0")
	feed(state, Encode(Claim{Epoch: 1, Entry: "e"}), Encode(Submit{Spec: specOf(1)}), Encode(Cancel{ID: job.ID("a.0", "caller", "1")}))
	for passed := clock.Millis(0); passed <= Memory; passed += clock.Hour {
		if state.Len() != 1 || feed(state, Encode(Submit{Spec: specOf(1)}))[0].Valid {
			t.Fatalf("the key was forgotten after %d ms", passed)
		}
		feed(state, Encode(Heartbeat{Epoch: 1, Elapsed: clock.Hour, Entry: "e"}))
	}
	if state.Len() != 0 || state.Ended() != 0 || !feed(state, Encode(Submit{Spec: specOf(1)}))[0].Valid {
		t.Error("the key is remembered for ever")
	}
}
