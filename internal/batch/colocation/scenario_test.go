package colocation_test

import (
	"fmt"
	"slices"
	"testing"

	"golang.org/x/sync/errgroup"

	"github.com/oriolepier/oriolepier/internal/base/clock"
	"github.com/oriolepier/oriolepier/internal/batch/placement"
)

const (
	warmUp   clock.Millis = 8 * clock.Minute
	measured clock.Millis = 20 * clock.Minute
)

// scenario is what happens to a site beside its load.
type scenario struct {
	name   string
	during func(r *run, since clock.Millis) // since the measurement began
}

var scenarios = []scenario{
	{"steady", func(*run, clock.Millis) {}},
	{"reports_stop", func(r *run, since clock.Millis) {
		r.quiet = since >= 3*clock.Minute && since < 9*clock.Minute
	}},
	{"domain_out_and_back", func(r *run, since clock.Millis) {
		switch {
		case since >= 2*clock.Minute && since < 8*clock.Minute:
			r.leave("b")
		case since >= 8*clock.Minute:
			r.back("b", since-8*clock.Minute)
		}
	}},
}

// leave stops starts in a domain and moves its tasks off at a pace.
func (r *run) leave(domain string) {
	left := movesPerTick
	for _, h := range r.hosts {
		if h.Domain != domain {
			continue
		}
		held, _ := r.index.Get(h.Name)
		if !held.SetAside {
			held.SetAside = true
			r.index.Put(held)
		}
		for _, t := range h.tasks {
			if left > 0 && !t.stopping {
				r.stop(t)
				left--
			}
		}
	}
}

// back takes a domain into service again, its reserve falling from all.
func (r *run) back(domain string, since clock.Millis) {
	if since > warmRamp+reportEvery || since%reportEvery != 0 {
		return
	}
	for _, h := range r.hosts {
		if h.Domain != domain {
			continue
		}
		held, _ := r.index.Get(h.Name)
		held.SetAside = false
		held.Reserve = placement.Ramp(held.Size, h.Reserve, since, warmRamp)
		r.index.Put(held)
	}
	r.queue.Freed()
}

const (
	movesPerTick              = 10
	warmRamp     clock.Millis = clock.Minute
)

// measure runs a site to steady load and then through a scenario.
func measure(site site, policy policy, scenario scenario) figures {
	r := newRun(site, policy)
	begin := r.now + warmUp
	for r.now < begin+measured {
		r.measuring = r.now >= begin
		scenario.during(r, r.now-begin)
		r.step()
	}
	r.figures.waiting = r.queue.Len()
	return r.figures
}

func percentile(values []float64, part float64) float64 {
	if len(values) == 0 {
		return 0
	}
	sorted := slices.Sorted(slices.Values(values))
	return sorted[min(int(part*float64(len(sorted))), len(sorted)-1)]
}

// slowdown returns the largest ratio of the services' p99 to running alone.
func (f figures) slowdown(alone figures) float64 {
	worst := 0.0
	for service := range f.latencies {
		worst = max(worst, percentile(f.latencies[service], 0.99)/percentile(alone.latencies[service], 0.99))
	}
	return worst
}

func (f figures) line(name string, alone, bound figures) string {
	return fmt.Sprintf("%-10s work %.3f of bound, p99 x%.2f, %.1f evicted per 1000 starts, lost %.2f%%, at most %d in a lag, %d throttles, slow %.1f%%, urgent wait p99 %.1f s, %d wait",
		name, f.work/bound.work, f.slowdown(alone), 1000*float64(f.evictions)/float64(max(f.starts, 1)),
		100*f.lost/max(f.work, 1), f.worst, f.throttles, 100*f.slow/max(f.work, 1), percentile(f.waits, 0.99)/1000, f.waiting)
}

// TestPolicy measures what users measure, beside the naive policy and the
// bound of one that knows everything, and holds the project's policy to the
// targets.
func TestPolicy(t *testing.T) {
	for _, site := range []site{maraval, tsetseg} {
		for _, scenario := range scenarios {
			t.Run(site.name+"/"+scenario.name, func(t *testing.T) {
				t.Parallel()
				policies := []policy{estimating(), naive(), knowing(), alone()}
				got := make([]figures, len(policies))
				var group errgroup.Group
				for at, policy := range policies {
					group.Go(func() error {
						got[at] = measure(site, policy, scenario)
						return nil
					})
				}
				if err := group.Wait(); err != nil {
					t.Fatal(err)
				}
				ours, twin, bound, single := got[0], got[1], got[2], got[3]
				t.Log(ours.line("estimating", single, bound))
				t.Log(twin.line("naive", single, bound))
				t.Log(bound.line("knowing", single, bound))
				ours.check(t, single, bound)
			})
		}
	}
}

// check holds figures to the targets.
func (f figures) check(t *testing.T, alone, bound figures) {
	t.Helper()
	if got := f.work / bound.work; got < 0.95 {
		t.Errorf("batch work is %.3f of the bound's, want 0.95", got)
	}
	if got := f.slowdown(alone); got > 1.3 {
		t.Errorf("urgent p99 is %.2f of running alone, want 1.30", got)
	}
	if got := f.lost / f.work; got > 0.01 {
		t.Errorf("%.2f%% of work was thrown away, want 1%%", 100*got)
	}
	if got := percentile(f.waits, 0.99); got >= 3900 {
		t.Errorf("urgent tasks wait %.0f ms at p99, want under 3900", got)
	}
}
