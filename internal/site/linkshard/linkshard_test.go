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

func TestHoldIsCalledByLinkOfWorkersDomain(t *testing.T) {
	runWithLinks(t, 2, func(r *harness) {
		for _, w := range r.workers {
			if outcome, _ := r.hold(w.ID); outcome != fleet.Accepted {
				t.Errorf("%s: hold %v, want accepted", w.ID, outcome)
			}
			if link := r.link(w.ID); link[:1] != w.Domain || r.countCalls(link+" "+w.ID+" hold") != 1 {
				t.Errorf("%s of domain %s is called by %s", w.ID, w.Domain, link)
			}
		}
	})
}

func TestDispatchThroughLink(t *testing.T) {
	runWithLinks(t, 1, func(r *harness) {
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
		got := []int{r.countCalls("a0 w00 start"), r.countCalls("a0 w00 stop"), r.countCalls("a0 w00 pace")}
		if diff := cmp.Diff([]int{1, 1, 1}, got); diff != "" {
			t.Errorf("calls by the link (-want +got):\n%s", diff)
		}
	})
}

// A killed link may have executed its pending orders, so a start counts as
// unanswered; a hold is sent to another link, and no worker counts as unresponsive.
func TestKilledLink(t *testing.T) {
	runWithLinks(t, 2, func(r *harness) {
		link := r.link("w00")
		r.setFaults(func() { r.answerDelay["w00"] = 300 })
		r.group.Go(func() error {
			time.Sleep(100 * time.Millisecond)
			r.setFaults(func() { r.answerDelay["w00"] = 0 })
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
			// After the unanswered start, this entry may call the worker directly.
			if next != ownerAddress {
				t.Errorf("%s calls the worker of %s", next, link)
			}
		}
	})
}

// Only the workers of a killed link are reassigned.
func TestKilledLinkReassignsOnlyItsWorkers(t *testing.T) {
	runWithLinks(t, 3, func(r *harness) {
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
			if before[w.ID] == "a1" && (after == "a1" || after == ownerAddress) {
				t.Errorf("%s is called by %s after its link was lost", w.ID, after)
			}
		}
	})
}

// A link that was suspended drops the batches that were sent before, and executes
// none of their orders.
func TestSuspendedLinkDropsStaleBatches(t *testing.T) {
	runWithLinks(t, 1, func(r *harness) {
		r.setFaults(func() { r.delayed["a0"] = 3 * clock.Second })
		r.pool.Dispatch().Start(fleet.Start{To: fleet.Address{ID: "w00"}, Run: 1}, func(fleet.Answer) {})
		time.Sleep(5 * time.Second)
		if count := r.countCalls("a0 w00 start"); count != 0 {
			t.Errorf("a start sent 3 s ago was executed %d times, want 0", count)
		}
	})
}

// A link from which the owner receives nothing loses its workers within a second,
// and none of them counts as unresponsive.
func TestLinkCutOffFromTheOwner(t *testing.T) {
	runWithLinks(t, 2, func(r *harness) {
		link := r.link("w00")
		r.setFaults(func() { r.muted[link] = true })
		outcome, took := r.hold("w00")
		if outcome != fleet.Accepted || took > clock.Second {
			t.Errorf("hold %v after %d ms, want accepted within a second", outcome, took)
		}
		if next := r.link("w00"); next == link {
			t.Errorf("%s still calls the worker", link)
		}
	})
}

// A worker that its link does not reach is called by the owner's entry until
// directCallPeriod has passed.
func TestLinkCutOffFromItsWorkers(t *testing.T) {
	runWithLinks(t, 1, func(r *harness) {
		r.setFaults(func() { r.cutOff["a0"] = true })
		for range 3 {
			if outcome, _ := r.hold("w00"); outcome != fleet.Accepted {
				t.Errorf("hold %v, want accepted", outcome)
			}
		}
		if count := r.countCalls("a0 w00 hold"); count != 1 {
			t.Errorf("the link sent %d holds, want 1", count)
		}
		r.setFaults(func() { r.cutOff["a0"] = false })
		time.Sleep(directCallPeriod.Duration() + time.Second)
		if link := r.link("w00"); link != "a0" {
			t.Errorf("%s calls the worker after its link reaches it again, want a0", link)
		}
	})
}

// A worker may have restarted since the hold that its link left unanswered, and number
// its ends anew.
func TestHoldSentAgainAcknowledgesNoEnds(t *testing.T) {
	runWithLinks(t, 1, func(r *harness) {
		r.setFaults(func() { r.cutOff["a0"] = true })
		r.holdWith(fleet.Hold{To: fleet.Address{ID: "w00"}, Acked: 7})
		if diff := cmp.Diff([]string{"a0 w00 7", "owner w00 0"}, r.acked); diff != "" {
			t.Errorf("acknowledged ends (-want +got):\n%s", diff)
		}
	})
}

// A retry of a start that a link left unanswered is sent from the owner's entry.
func TestStartUnansweredByLinkIsRetriedDirectly(t *testing.T) {
	runWithLinks(t, 1, func(r *harness) {
		r.setFaults(func() { r.cutOff["a0"] = true })
		got := []fleet.Outcome{r.start("w00"), r.start("w00")}
		if diff := cmp.Diff([]fleet.Outcome{fleet.Unanswered, fleet.Accepted}, got); diff != "" {
			t.Errorf("starts (-want +got):\n%s", diff)
		}
	})
}

// An unresponsive worker is called by its link and by the owner's entry, then
// reported as unanswered.
func TestUnresponsiveWorker(t *testing.T) {
	runWithLinks(t, 1, func(r *harness) {
		r.setFaults(func() { r.unresponsive["w00"] = true })
		first, _ := r.hold("w00")
		second, _ := r.hold("w00")
		if first != fleet.Unanswered || second != fleet.Unanswered {
			t.Errorf("holds %v and %v, want unanswered", first, second)
		}
		if own := r.countCalls(ownerAddress + " w00 hold"); own != 1 {
			t.Errorf("the owner's entry sent %d holds, want 1 within recheckInterval", own)
		}
	})
}

// A session of a newer owner ends the older owner's session, and the older owner is
// refused another.
func TestNewerOwnerEndsTheOlderSession(t *testing.T) {
	runWithLinks(t, 1, func(r *harness) {
		next := r.newPool(2)
		r.group.Go(func() error { return next.Serve(r.ctx) })
		next.SetWorkers(r.workers)
		time.Sleep(3 * time.Second)
		if link := r.link("w00"); link != ownerAddress {
			t.Errorf("%s serves the owner of an earlier epoch", link)
		}
		if s := next.linkSession("w00"); s == nil || s.entry.Address != "a0" {
			t.Error("the newer owner has no link")
		}
		err := r.shard("a0").Serve(r.ctx, OpenRequest{Epoch: 1}, ServerConn{Open: func(OpenReply) bool { return true }})
		if !errors.Is(err, ErrSuperseded) {
			t.Errorf("error %v, want ErrSuperseded", err)
		}
	})
}

// A batch that arrives twice is executed twice, which the worker's fencing rules
// cover, and answered once.
func TestDuplicatedBatchIsAnsweredOnce(t *testing.T) {
	runWithLinks(t, 1, func(r *harness) {
		r.setFaults(func() { r.duplicated["a0"] = true })
		var answers atomic.Int64
		r.pool.Dispatch().Start(fleet.Start{To: fleet.Address{ID: "w00"}, Run: 1}, func(fleet.Answer) { answers.Add(1) })
		time.Sleep(time.Second)
		if answers.Load() != 1 {
			t.Errorf("%d answers, want one", answers.Load())
		}
	})
}

// A malformed batch of results ends the session, and the holds are answered through
// another path.
func TestMalformedResults(t *testing.T) {
	runWithLinks(t, 1, func(r *harness) {
		r.setFaults(func() { r.corrupted["a0"] = true })
		for range 5 {
			if outcome, _ := r.hold("w00"); outcome != fleet.Accepted {
				t.Errorf("hold %v, want accepted", outcome)
			}
			time.Sleep(200 * time.Millisecond)
		}
	})
}

func TestMalformedOrdersEndTheSession(t *testing.T) {
	r := &harness{}
	in := make(chan []byte, 1)
	in <- []byte("no batch")
	err := r.newIdleShard().Serve(context.Background(), OpenRequest{Epoch: 1}, ServerConn{
		In: in, Send: func([]byte) error { return nil }, Open: func(OpenReply) bool { return true },
	})
	if err == nil {
		t.Error("a malformed batch did not end the session")
	}
}

// While all links restart at once, the owner's entry calls the workers.
func TestAllLinksRestart(t *testing.T) {
	runWithLinks(t, 2, func(r *harness) {
		saved := append([]Entry{}, r.entries...)
		for _, entry := range saved {
			r.kill(entry.Address)
		}
		if outcome, _ := r.hold("w00"); outcome != fleet.Accepted || r.countCalls(ownerAddress+" w00 hold") != 1 {
			t.Errorf("hold %v without links, want accepted from the owner's entry", outcome)
		}
		r.setFaults(func() { r.entries = saved })
		time.Sleep(3 * time.Second)
		if link := r.link("w00"); link[:1] != "a" || link == ownerAddress {
			t.Errorf("%s calls the worker after the links are back, want a link of its domain", link)
		}
	})
}

// A link whose entry is leaving gets no new orders and answers the pending ones.
func TestLeavingLinkCompletesPendingOrders(t *testing.T) {
	runWithLinks(t, 2, func(r *harness) {
		link := r.link("w00")
		r.setFaults(func() { r.answerDelay["w00"] = 300 })
		outcomes := make(chan fleet.Outcome, 1)
		r.pool.Dispatch().Start(fleet.Start{To: fleet.Address{ID: "w00"}}, func(answer fleet.Answer) { outcomes <- answer.Outcome })
		time.Sleep(50 * time.Millisecond)
		r.setFaults(func() { r.entries = withoutEntry(r.entries, link) })
		if outcome := <-outcomes; outcome != fleet.Accepted {
			t.Errorf("start %v, want accepted", outcome)
		}
		if next := r.link("w00"); next == link {
			t.Errorf("%s gets orders while it leaves", link)
		}
	})
}

func TestFewWorkersAreCalledWithoutLinks(t *testing.T) {
	runWithLinks(t, 2, func(r *harness) {
		few := r.newPool(3)
		r.group.Go(func() error { return few.Serve(r.ctx) })
		few.SetWorkers(r.workers[:20])
		time.Sleep(time.Second)
		if s := few.linkSession("w00"); s != nil {
			t.Errorf("%s calls for an owner with enough cores to call its workers directly", s.entry.Address)
		}
	})
}

// Unknown fields of a newer version are ignored, so that both versions can run in
// one cell.
func TestUnknownFieldsAreIgnored(t *testing.T) {
	newer := map[int]any{1: 5, 2: []any{map[int]any{1: 7, 5: map[int]any{4: 800, 99: "new"}, 98: true}}, 97: "more"}
	data, err := encodeBatch(newer)
	if err != nil {
		t.Fatal(err)
	}
	batch, err := decodeOrders(data)
	want := orders{Echo: 5, List: []order{{Number: 7, Hold: &fleet.Hold{WaitMS: 800}}}}
	if diff := cmp.Diff(want, batch); err != nil || diff != "" {
		t.Errorf("%v (-want +got):\n%s", err, diff)
	}
}

// A small batch that decompresses to more than the limit is refused.
func TestDecodeBatchAboveSizeLimit(t *testing.T) {
	packed, err := encodeBatch(strings.Repeat("x", 16*codec.MaxRecordBytes))
	if err != nil {
		t.Fatal(err)
	}
	if _, err := decodeOrders(packed); !errors.Is(err, codec.ErrTooLarge) {
		t.Errorf("error %v, want codec.ErrTooLarge", err)
	}
}

// newIdleShard returns a shard that cannot call workers.
func (r *harness) newIdleShard() *Shard { return NewShard(ShardOptions{Clock: clock.New()}) }

func FuzzOrders(f *testing.F) {
	seed, err := encodeBatch(orders{Echo: 1, List: []order{{Number: 2, Stop: &fleet.Stop{Run: 3}}}})
	if err != nil {
		f.Fatal(err)
	}
	f.Add(seed)
	f.Fuzz(func(t *testing.T, data []byte) {
		batch, err := decodeOrders(data)
		for _, o := range batch.List {
			if err == nil && failedResult(o, fleet.NotSent).outcome() != fleet.NotSent {
				t.Error("failedResult of an order lost its outcome")
			}
		}
	})
}

func FuzzResults(f *testing.F) {
	seed, err := encodeBatch(results{Stamp: 1, List: []result{{Number: 2, Report: &fleet.Report{Ended: []fleet.End{{Run: 1}}}}}})
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
			_ = done.outcome().String() // must not panic
		}
	})
}

// The largest batches in either direction stay within the decoding limit.
func TestLargestBatches(t *testing.T) {
	const maxEnds = 500 // ends in one report
	var largest orders
	for i := range maxBatchOrders {
		start := fleet.Start{Task: job.Task{Job: "5c0e7a21d94b36f8", Index: i}, Text: strings.Repeat("x", job.MaxTextBytes)}
		largest.List = append(largest.List, order{Number: int64(i), Start: &start})
	}
	packed, err := encodeBatch(largest)
	if err != nil {
		t.Fatal(err)
	}
	if _, err := decodeOrders(packed); err != nil {
		t.Error(err)
	}
	report := fleet.Report{}
	for i := range maxEnds {
		report.Ended = append(report.Ended, fleet.End{
			Number: int64(i), Task: job.Task{Job: "5c0e7a21d94b36f8", Step: 9, Index: i}, Run: 9, Checkpoint: "00000bb87a21d94b",
		})
	}
	var answers results
	for i := range maxBatchResults {
		answers.List = append(answers.List, result{Number: int64(i), Report: &report})
	}
	if packed, err = encodeBatch(answers); err != nil {
		t.Fatal(err)
	}
	if _, err := decodeResults(packed); err != nil {
		t.Error(err)
	}
}
