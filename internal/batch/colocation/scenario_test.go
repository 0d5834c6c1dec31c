package colocation_test

import (
	"fmt"
	"slices"
	"testing"

	"golang.org/x/sync/errgroup"

	"github.com/oriolepier/oriolepier/internal/base/clock"
	"github.com/oriolepier/oriolepier/internal/batch/placement"
)

// scenario is what happens to a site beside its load.
type scenario struct {
	name     string
	measured clock.Millis
	during   func(r *run, since clock.Millis) // since the measurement began
}

var scenarios = []scenario{
	{"steady", 20 * clock.Minute, func(*run, clock.Millis) {}},
	{"noisy_waves", 16 * clock.Minute, func(r *run, since clock.Millis) {
		r.noisy = since%(8*clock.Minute) < 2*clock.Minute
	}},
	{"reports_stop", 16 * clock.Minute, func(r *run, since clock.Millis) {
		r.quiet = since >= 3*clock.Minute && since < 9*clock.Minute
	}},
	{"domain_out_and_back", 12 * clock.Minute, func(r *run, since clock.Millis) {
		if since < 8*clock.Minute {
			r.leave("b")
			return
		}
		r.back("b", since-8*clock.Minute)
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
	warmUp       clock.Millis = 8 * clock.Minute
	warmRamp     clock.Millis = clock.Minute // of a domain that came back
	movesPerTick              = 10           // of one that leaves
)

// measure runs a site to steady load and then through a scenario.
func measure(site site, policy policy, scenario scenario) figures {
	r := newRun(site, policy)
	begin := r.now + warmUp
	for r.now < begin+scenario.measured {
		r.measuring = r.now >= begin
		if r.measuring {
			scenario.during(r, r.now-begin)
		}
		r.step()
	}
	for service := range r.figures.latencies {
		r.figures.p99[service] = percentile(r.figures.latencies[service], 0.99)
	}
	r.figures.latencies = [4][]float64{}
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
	for service := range f.p99 {
		worst = max(worst, f.p99[service]/alone.p99[service])
	}
	return worst
}

func (f figures) line(name string, alone, bound figures) string {
	return fmt.Sprintf("%-10s work %.3f of bound, p99 x%.2f, %.1f evicted per 1000 starts, lost %.2f%%, at most %d in a lag, %d throttles, slow %.1f%%, urgent wait p99 %.1f s, %d wait",
		name, f.work/bound.work, f.slowdown(alone), 1000*float64(f.evictions)/float64(max(f.starts, 1)),
		100*f.lost/max(f.work, 1), f.worst, f.throttles, 100*f.slow/max(f.work, 1), percentile(f.waits, 0.99)/1000, f.waiting)
}

// beside runs all policies through a scenario with the same load.
func beside(site site, scenario scenario) (ours, twin, bound, single figures) {
	policies := []policy{estimating(), naive(), knowing(), alone()}
	got := make([]figures, len(policies))
	var group errgroup.Group
	for at, policy := range policies {
		group.Go(func() error {
			got[at] = measure(site, policy, scenario)
			return nil
		})
	}
	_ = group.Wait()
	return got[0], got[1], got[2], got[3]
}

// TestPolicy measures what users measure, beside the naive policy and the
// bound of one that knows everything, and holds the project's policy to the
// targets.
func TestPolicy(t *testing.T) {
	for _, site := range []site{maraval, tsetseg} {
		for _, scenario := range scenarios {
			t.Run(site.name+"/"+scenario.name, func(t *testing.T) {
				t.Parallel()
				ours, twin, bound, single := beside(site, scenario)
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
	if f.over > 0 {
		t.Errorf("workers were committed beyond their size in %d ticks", f.over)
	}
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

// BenchmarkPolicy gives the same figures over six loads, at the steady demand
// and near saturation; one run of each is enough (-benchtime 1x).
func BenchmarkPolicy(b *testing.B) {
	for _, site := range []site{maraval, tsetseg} {
		for _, demand := range []float64{0.7, 0.9} {
			for _, scenario := range scenarios {
				site.demand = demand
				for _, who := range []string{"estimating", "naive"} {
					b.Run(fmt.Sprintf("%s/%.0f/%s/%s", site.name, 100*demand, scenario.name, who), func(b *testing.B) {
						for b.Loop() {
							seeds(b, site, scenario, who)
						}
					})
				}
			}
		}
	}
}

func seeds(b *testing.B, site site, scenario scenario, who string) {
	const count = 6
	least, slowest, wait := 2.0, 0.0, 0.0
	var work, evicted, lost float64
	for seed := range uint64(count) {
		site.seed = seed + 1
		got, twin, bound, single := beside(site, scenario)
		if who == "naive" {
			got = twin
		}
		least = min(least, got.work/bound.work)
		work += got.work / bound.work / count
		slowest = max(slowest, got.slowdown(single))
		evicted += 1000 * float64(got.evictions) / float64(got.starts) / count
		lost += 100 * got.lost / got.work / count
		wait = max(wait, percentile(got.waits, 0.99)/1000)
	}
	b.ReportMetric(0, "ns/op")
	b.ReportMetric(work, "work")
	b.ReportMetric(least, "least-work")
	b.ReportMetric(slowest, "most-p99")
	b.ReportMetric(evicted, "evicted/1000")
	b.ReportMetric(lost, "lost-%")
	b.ReportMetric(wait, "most-wait-s")
}
