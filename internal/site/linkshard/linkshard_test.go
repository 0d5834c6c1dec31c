package linkshard

import (
	"context"
	"strings"
	"sync/atomic"
	"testing"
	"time"

	"github.com/google/go-cmp/cmp"
	"github.com/pkg/errors"

	"github.com/oriolepier/oriolepier/internal/base/clock"
	"github.com/oriolepier/oriolepier/internal/base/codec"
	"github.com/oriolepier/oriolepier/internal/schedule/fleet"
	"github.com/oriolepier/oriolepier/internal/schedule/job"
)

func TestLinksOfTheWorkersDomainMakeTheCalls(t *testing.T) {
	play(t, 2, func(r *rig) {
		for _, w := range r.workers {
			if outcome, _ := r.hold(w.ID); outcome != fleet.Accepted {
				t.Errorf("%s: hold %v, want accepted", w.ID, outcome)
			}
			if link := r.link(w.ID); link[:1] != w.Domain || r.seen(link+" "+w.ID+" hold") != 1 {
				t.Errorf("%s of domain %s is called by %s", w.ID, w.Domain, link)
			}
		}
	})
}

func TestOrdersAndTheirAnswers(t *testing.T) {
	play(t, 1, func(r *rig) {
		to := fleet.Address{ID: "w00"}
		answers := make(chan fleet.Answer, 3)
		take := func(answer fleet.Answer) { answers <- answer }
		dispatch := r.pool.Dispatch()
		dispatch.Start(fleet.Start{To: to}, take)
		dispatch.Stop(fleet.Stop{To: to}, take)
		dispatch.Pace(fleet.Pace{To: to}, take)
		for range 3 {
			if answer := <-answers; answer.Outcome != fleet.Accepted {
				t.Errorf("answer %v, want accepted", answer.Outcome)
			}
		}
		got := []int{r.seen("a0 w00 start"), r.seen("a0 w00 stop"), r.seen("a0 w00 pace")}
		if diff := cmp.Diff([]int{1, 1, 1}, got); diff != "" {
			t.Errorf("calls by the link (-want +got):\n%s", diff)
		}
	})
}

// What was handed to a killed link may have been carried out, so a start is
// unanswered; a hold goes to the next link, and no worker counts as silent.
func TestKilledLink(t *testing.T) {
	play(t, 2, func(r *rig) {
		link := r.link("w00")
		r.set(func() { r.slow["w00"] = 300 })
		r.group.Go(func() error {
			time.Sleep(100 * time.Millisecond)
			r.set(func() { r.slow["w00"] = 0 })
			r.kill(link)
			return nil
		})
		outcomes := make(chan fleet.Outcome, 2)
		to := fleet.Address{ID: "w00"}
		r.pool.Dispatch().Start(fleet.Start{To: to}, func(answer fleet.Answer) { outcomes <- answer.Outcome })
		r.pool.Dispatch().Hold(fleet.Hold{To: to}, func(report fleet.Report) { outcomes <- report.Outcome })
		got := map[fleet.Outcome]int{}
		got[<-outcomes]++
		got[<-outcomes]++
		if diff := cmp.Diff(map[fleet.Outcome]int{fleet.Unanswered: 1, fleet.Accepted: 1}, got); diff != "" {
			t.Errorf("start and hold (-want +got):\n%s", diff)
		}
		if next := r.link("w00"); next == link || next[:1] != "a" {
			// The start went unanswered, so this entry may call for a while.
			if next != ownAddress {
				t.Errorf("%s calls the worker of %s", next, link)
			}
		}
	})
}

// Only the workers of a lost link get another one.
func TestLostLinkMovesNoOtherWorkers(t *testing.T) {
	play(t, 3, func(r *rig) {
		before := map[string]string{}
		for _, w := range r.workers {
			before[w.ID] = r.link(w.ID)
		}
		r.kill("a1")
		time.Sleep(500 * time.Millisecond)
		for _, w := range r.workers {
			after := r.link(w.ID)
			if before[w.ID] != "a1" && after != before[w.ID] {
				t.Errorf("%s moved from %s to %s", w.ID, before[w.ID], after)
			}
			if before[w.ID] == "a1" && (after == "a1" || after == ownAddress) {
				t.Errorf("%s is called by %s after its link was lost", w.ID, after)
			}
		}
	})
}

// A link that was frozen carries out nothing that was sent before, and says so.
func TestFrozenLinkDropsWhatIsOld(t *testing.T) {
	play(t, 1, func(r *rig) {
		r.set(func() { r.frozen["a0"] = 3 * clock.Second })
		r.pool.Dispatch().Start(fleet.Start{To: fleet.Address{ID: "w00"}, Run: 1}, func(fleet.Answer) {})
		time.Sleep(5 * time.Second)
		if count := r.seen("a0 w00 start"); count != 0 {
			t.Errorf("a start of 3 s ago was carried out %d times", count)
		}
	})
}

// A link that the owner does not hear loses its workers within a second, and
// none of them counts as silent.
func TestLinkCutOffFromTheOwner(t *testing.T) {
	play(t, 2, func(r *rig) {
		link := r.link("w00")
		r.set(func() { r.mute[link] = true })
		outcome, took := r.hold("w00")
		if outcome != fleet.Accepted || took > clock.Second {
			t.Errorf("hold %v after %d ms, want accepted within a second", outcome, took)
		}
		if next := r.link("w00"); next == link {
			t.Errorf("%s still calls", link)
		}
	})
}

// A link that does not reach its workers is bypassed: its owner asks first.
func TestLinkCutOffFromItsWorkers(t *testing.T) {
	play(t, 1, func(r *rig) {
		r.set(func() { r.unlinked["a0"] = true })
		for range 3 {
			if outcome, _ := r.hold("w00"); outcome != fleet.Accepted {
				t.Errorf("hold %v, want accepted", outcome)
			}
		}
		if count := r.seen("a0 w00 hold"); count != 1 {
			t.Errorf("the link was asked %d times, want once", count)
		}
		r.set(func() { r.unlinked["a0"] = false })
		time.Sleep(ownSpan.Duration() + time.Second)
		if link := r.link("w00"); link != "a0" {
			t.Errorf("%s calls the worker once its link reaches it", link)
		}
	})
}

// A start that a link left unanswered is tried again from the owner's entry.
func TestUnansweredStartIsTriedFromElsewhere(t *testing.T) {
	play(t, 1, func(r *rig) {
		r.set(func() { r.unlinked["a0"] = true })
		got := []fleet.Outcome{r.start("w00"), r.start("w00")}
		if diff := cmp.Diff([]fleet.Outcome{fleet.Unanswered, fleet.Accepted}, got); diff != "" {
			t.Errorf("starts (-want +got):\n%s", diff)
		}
	})
}

// A worker that answers nobody is asked by its link and by the owner, and is then
// reported as what it is.
func TestSilentWorker(t *testing.T) {
	play(t, 1, func(r *rig) {
		r.set(func() { r.silent["w00"] = true })
		first, _ := r.hold("w00")
		second, _ := r.hold("w00")
		if first != fleet.Unanswered || second != fleet.Unanswered {
			t.Errorf("holds %v and %v, want unanswered", first, second)
		}
		if own := r.seen(ownAddress + " w00 hold"); own != 1 {
			t.Errorf("the owner's entry asked %d times, want once in two seconds", own)
		}
	})
}

// Once a newer owner has a session, the older one has none and gets none.
func TestNewerOwnerEndsTheOlderSession(t *testing.T) {
	play(t, 1, func(r *rig) {
		next := r.newPool(2)
		r.group.Go(func() error { return next.Serve(r.ctx) })
		next.SetWorkers(r.workers)
		time.Sleep(3 * time.Second)
		if link := r.link("w00"); link != ownAddress {
			t.Errorf("%s serves the owner of an earlier epoch", link)
		}
		if s := next.route("w00"); s == nil || s.entry.Address != "a0" {
			t.Error("the newer owner has no link")
		}
		err := r.shard("a0").Serve(r.ctx, Query{Epoch: 1}, Line{Open: func(Opening) bool { return true }})
		if !errors.Is(err, ErrSuperseded) {
			t.Errorf("error %v, want that a newer owner is known", err)
		}
	})
}

// A batch that arrives twice is carried out twice by the worker's own rules and
// answered once.
func TestBatchThatArrivesTwice(t *testing.T) {
	play(t, 1, func(r *rig) {
		r.set(func() { r.twice["a0"] = true })
		var answers atomic.Int64
		r.pool.Dispatch().Start(fleet.Start{To: fleet.Address{ID: "w00"}, Run: 1}, func(fleet.Answer) { answers.Add(1) })
		time.Sleep(time.Second)
		if answers.Load() != 1 {
			t.Errorf("%d answers, want one", answers.Load())
		}
	})
}

// What cannot be read costs a session, and the calls go on from elsewhere.
func TestMalformedResults(t *testing.T) {
	play(t, 1, func(r *rig) {
		r.set(func() { r.garbage["a0"] = true })
		for range 5 {
			if outcome, _ := r.hold("w00"); outcome != fleet.Accepted {
				t.Errorf("hold %v, want accepted", outcome)
			}
			time.Sleep(200 * time.Millisecond)
		}
	})
}

func TestMalformedOrdersEndTheSession(t *testing.T) {
	r := &rig{}
	in := make(chan []byte, 1)
	in <- []byte("no batch")
	err := r.bareShard().Serve(context.Background(), Query{Epoch: 1}, Line{
		In: in, Send: func([]byte) error { return nil }, Open: func(Opening) bool { return true },
	})
	if err == nil {
		t.Error("a batch that cannot be read did not end the session")
	}
}

// All entries restart at once: nothing is lost but the sessions.
func TestAllLinksRestart(t *testing.T) {
	play(t, 2, func(r *rig) {
		kept := append([]Entry{}, r.entries...)
		for _, entry := range kept {
			r.kill(entry.Address)
		}
		if outcome, _ := r.hold("w00"); outcome != fleet.Accepted || r.seen(ownAddress+" w00 hold") != 1 {
			t.Errorf("hold %v without links, want accepted from the owner's entry", outcome)
		}
		r.set(func() { r.entries = kept })
		time.Sleep(3 * time.Second)
		if link := r.link("w00"); link[:1] != "a" || link == ownAddress {
			t.Errorf("%s calls after the links are back", link)
		}
	})
}

// An entry that leaves gets no new orders, and answers what it has.
func TestLeavingLinkAnswersWhatItHas(t *testing.T) {
	play(t, 2, func(r *rig) {
		link := r.link("w00")
		r.set(func() { r.slow["w00"] = 300 })
		outcomes := make(chan fleet.Outcome, 1)
		r.pool.Dispatch().Start(fleet.Start{To: fleet.Address{ID: "w00"}}, func(answer fleet.Answer) { outcomes <- answer.Outcome })
		time.Sleep(50 * time.Millisecond)
		r.set(func() { r.entries = removed(r.entries, link) })
		if outcome := <-outcomes; outcome != fleet.Accepted {
			t.Errorf("start %v, want accepted", outcome)
		}
		if next := r.link("w00"); next == link {
			t.Errorf("%s gets orders while it leaves", link)
		}
	})
}

func TestFewWorkersAreCalledDirectly(t *testing.T) {
	play(t, 2, func(r *rig) {
		few := r.newPool(3)
		r.group.Go(func() error { return few.Serve(r.ctx) })
		few.SetWorkers(r.workers[:20])
		time.Sleep(time.Second)
		if s := few.route("w00"); s != nil {
			t.Errorf("%s calls for an owner that can do it itself", s.entry.Address)
		}
	})
}

// Fields of a newer version are left out, so that both run side by side.
func TestUnknownFieldsAreIgnored(t *testing.T) {
	newer := map[int]any{1: 5, 2: []any{map[int]any{1: 7, 5: map[int]any{4: 800, 99: "new"}, 98: true}}, 97: "more"}
	data, err := pack(newer)
	if err != nil {
		t.Fatal(err)
	}
	batch, err := decodeOrders(data)
	want := orders{Echo: 5, List: []order{{Number: 7, Hold: &fleet.Hold{WaitMS: 800}}}}
	if diff := cmp.Diff(want, batch); err != nil || diff != "" {
		t.Errorf("%v (-want +got):\n%s", err, diff)
	}
}

// A small batch that claims to hold very much costs no more than the limit.
func TestBatchThatUnpacksToTooMuch(t *testing.T) {
	bomb, err := pack(strings.Repeat("x", 16*codec.MaxRecordBytes))
	if err != nil {
		t.Fatal(err)
	}
	if _, err := decodeOrders(bomb); !errors.Is(err, codec.ErrTooLarge) {
		t.Errorf("error %v, want that it is too large", err)
	}
}

// bareShard answers no calls.
func (r *rig) bareShard() *Shard { return NewShard(ShardOptions{Clock: clock.New()}) }

func FuzzOrders(f *testing.F) {
	seed, err := pack(orders{Echo: 1, List: []order{{Number: 2, Stop: &fleet.Stop{Run: 3}}}})
	if err != nil {
		f.Fatal(err)
	}
	f.Add(seed)
	f.Fuzz(func(t *testing.T, data []byte) {
		batch, err := decodeOrders(data)
		for _, o := range batch.List {
			if err == nil && failed(o, fleet.NotSent).outcome() != fleet.NotSent {
				t.Error("an order without a result")
			}
		}
	})
}

func FuzzResults(f *testing.F) {
	seed, err := pack(results{Stamp: 1, List: []result{{Number: 2, Report: &fleet.Report{Ended: []fleet.End{{Run: 1}}}}}})
	if err != nil {
		f.Fatal(err)
	}
	f.Add(seed)
	f.Fuzz(func(_ *testing.T, data []byte) {
		batch, err := decodeResults(data)
		for _, done := range batch.List {
			if err != nil {
				return
			}
			_ = done.outcome().String() // must not be out of range
		}
	})
}

// The largest batches in either direction can be read.
func TestLargestBatches(t *testing.T) {
	const mostEnds = 500 // of one report
	var most orders
	for i := range maxBatchOrders {
		start := fleet.Start{Task: job.Task{Job: "5c0e7a21d94b36f8", Index: i}, Text: strings.Repeat("x", job.MaxTextBytes)}
		most.List = append(most.List, order{Number: int64(i), Start: &start})
	}
	packed, err := pack(most)
	if err != nil {
		t.Fatal(err)
	}
	if _, err := decodeOrders(packed); err != nil {
		t.Error(err)
	}
	report := fleet.Report{}
	for i := range mostEnds {
		report.Ended = append(report.Ended, fleet.End{
			Number: int64(i), Task: job.Task{Job: "5c0e7a21d94b36f8", Step: 9, Index: i}, Run: 9, Checkpoint: "00000bb87a21d94b",
		})
	}
	var answers results
	for i := range maxBatchResults {
		answers.List = append(answers.List, result{Number: int64(i), Report: &report})
	}
	if packed, err = pack(answers); err != nil {
		t.Fatal(err)
	}
	if _, err := decodeResults(packed); err != nil {
		t.Error(err)
	}
}
