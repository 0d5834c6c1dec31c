package dispatch_test

import (
	"fmt"
	"slices"
	"testing"
)

// The two deployments of today. Service times are log-normal around 20 ms;
// half the workers have a batch neighbour that slows them up to tenfold.
var deployments = []setup{
	{
		name: "maraval", domains: 3, workersPerDomain: 22, entriesPerDomain: 3, slots: 8, near: 0.1, far: 1.5,
		meanMS: 20, deadlineMS: 300, seconds: 1, repeatable: true, retryShare: 10,
	},
	{
		name: "tsetseg", domains: 3, workersPerDomain: 17, entriesPerDomain: 3, slots: 8, near: 0.1, far: 0.5,
		meanMS: 20, deadlineMS: 300, seconds: 1, repeatable: true, retryShare: 10,
	},
}

func steady(load float64) func(float64) float64 { return func(float64) float64 { return load } }

// pooled joins runs of several seeds.
func pooled(s setup, seeds int, policy func(setup, uint64) tally) tally {
	var all tally
	for seed := range seeds {
		one := policy(s, uint64(seed))
		all.offered += one.offered
		all.answered += one.answered
		all.refused += one.refused
		all.late += one.late
		all.failed += one.failed
		all.retries += one.retries
		all.guard += one.guard
		all.latencies = append(all.latencies, one.latencies...)
	}
	slices.Sort(all.latencies)
	return all
}

// each runs a test for both deployments.
func each(t *testing.T, run func(t *testing.T, s setup)) {
	for _, s := range deployments {
		t.Run(s.name, func(t *testing.T) {
			t.Parallel()
			run(t, s)
		})
	}
}

func TestTailUnderNoise(t *testing.T) {
	t.Parallel()
	each(t, func(t *testing.T, s setup) {
		for _, load := range []float64{0.5, 0.85} {
			s.noisy, s.load = true, steady(load)
			us, twin, best := pooled(s, 2, ours), pooled(s, 2, naive), pooled(s, 2, knowing)
			t.Logf("load %.2f\n ours    %v\n naive   %v\n knowing %v", load, us, twin, best)
			if us.quantile(.99) > twin.quantile(.99)/3 {
				t.Errorf("load %.2f: p99 %.1f ms is above a third of the naive %.1f ms", load, us.quantile(.99), twin.quantile(.99))
			}
			if us.quantile(.99) > best.quantile(.99)*1.5 {
				t.Errorf("load %.2f: p99 %.1f ms is above 1.5 times the all-knowing %.1f ms", load, us.quantile(.99), best.quantile(.99))
			}
			if us.refused > us.offered/1000 {
				t.Errorf("load %.2f: %d of %d refused", load, us.refused, us.offered)
			}
		}
	})
}

func TestGoodputUnderOverload(t *testing.T) {
	t.Parallel()
	each(t, func(t *testing.T, s setup) {
		for _, s.noisy = range []bool{false, true} {
			s.load = steady(2)
			us := ours(s, 1)
			t.Logf("noisy %t: %v", s.noisy, us)
			if capacity := float64(us.offered) / 2; float64(us.answered) < 0.9*capacity {
				t.Errorf("noisy %t: %d answers, of which the slots carry %.0f", s.noisy, us.answered, capacity)
			}
			if !s.noisy && us.late+us.failed > 0 { // noise that sets in after the send makes a few late: docs/REQUESTS.md
				t.Errorf("%d accepted requests were late and %d failed", us.late, us.failed)
			}
		}
	})
}

// TestTenfoldStep goes from a tenth of the load to all of it, and beyond.
func TestTenfoldStep(t *testing.T) {
	t.Parallel()
	each(t, func(t *testing.T, s setup) {
		s.noisy, s.load = true, func(second float64) float64 {
			if second < 0.5 {
				return 0.08
			}
			return 0.8
		}
		us := ours(s, 1)
		t.Log(us)
		if us.refused+us.late+us.failed > us.offered/1000 {
			t.Errorf("%d refused, %d late, %d failed of %d", us.refused, us.late, us.failed, us.offered)
		}
	})
}

func TestThirdOfWorkersFails(t *testing.T) {
	t.Parallel()
	for _, kind := range []string{"refuse", "reset", "hang", "gone"} {
		each(t, func(t *testing.T, s setup) {
			s.load = steady(0.5)
			s.fault = func(w *world, at float64) {
				for _, b := range w.workers {
					b.broken = ""
					if at >= 300 && b.id%3 == 0 {
						b.broken = kind
					}
				}
			}
			us := ours(s, 1)
			t.Log(kind, us)
			if us.retries > us.offered/10 {
				t.Errorf("%s: %d retries for %d requests", kind, us.retries, us.offered)
			}
			// What a hung worker held is lost, and one more request of each entry.
			failing := s.domains * s.workersPerDomain / 3
			if lost := us.offered - us.answered; lost > failing*(s.slots+s.domains*s.entriesPerDomain) {
				t.Errorf("%s: %d of %d not answered", kind, lost, us.offered)
			}
		})
	}
}

func TestDomainLost(t *testing.T) {
	t.Parallel()
	each(t, func(t *testing.T, s setup) {
		s.load = steady(0.5)
		s.entryGone = func(domain int, at float64) bool { return domain == 2 && at >= 500 }
		s.fault = func(w *world, at float64) {
			for _, b := range w.workers {
				b.lost = at >= 500 && b.domain == 2
				if b.lost {
					b.broken = "gone"
				}
			}
		}
		us := ours(s, 1)
		t.Log(us)
		if us.refused > 0 {
			t.Errorf("%d refused while two failure domains have the slots", us.refused)
		}
	})
}

// TestDomainOutAndBack marks a failure domain out and back in: nothing is
// refused, and the return slows nobody down.
func TestDomainOutAndBack(t *testing.T) {
	t.Parallel()
	each(t, func(t *testing.T, s setup) {
		s.load, s.seconds = steady(0.5), 1.5
		s.marks = func(at float64) (out bool, since float64) { return at >= 500 && at < 1000, 1000 }
		us := ours(s, 1)
		t.Log(us)
		if us.answered != us.offered {
			t.Errorf("%d of %d answered", us.answered, us.offered)
		}
		s.marks = nil
		if calm := ours(s, 1); us.quantile(.99) > calm.quantile(.99)*1.5 {
			t.Errorf("p99 %.1f ms, %.1f ms without the marks", us.quantile(.99), calm.quantile(.99))
		}
	})
}

// BenchmarkPolicy gives the figures of docs/REQUESTS.md.
func BenchmarkPolicy(b *testing.B) {
	for _, s := range deployments {
		for _, load := range []float64{0.5, 0.7, 0.85, 1.5} {
			for name, policy := range map[string]func(setup, uint64) tally{"ours": ours, "naive": naive, "knowing": knowing} {
				s.noisy, s.load, s.seconds = true, steady(load), 4
				if load > 1 && name == "naive" {
					s.seconds = 1 // its retries grow without bound
				}
				b.Run(fmt.Sprintf("%s/load=%.2f/%s", s.name, load, name), func(b *testing.B) {
					var got tally
					for b.Loop() {
						got = pooled(s, 3, policy)
					}
					b.ReportMetric(got.quantile(.5), "p50_ms")
					b.ReportMetric(got.quantile(.99), "p99_ms")
					b.ReportMetric(got.quantile(.999), "p99.9_ms")
					b.ReportMetric(share(got.refused+got.late+got.failed, got.offered), "unanswered_%")
					b.ReportMetric(share(got.retries, got.offered), "retries_%")
				})
			}
		}
	}
}
