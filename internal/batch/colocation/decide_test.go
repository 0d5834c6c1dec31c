package colocation_test

import (
	"fmt"
	"slices"
	"testing"

	"github.com/google/go-cmp/cmp"
	"pgregory.net/rapid"

	"github.com/oriolepier/oriolepier/internal/base/amount"
	"github.com/oriolepier/oriolepier/internal/base/clock"
	"github.com/oriolepier/oriolepier/internal/batch/colocation"
	"github.com/oriolepier/oriolepier/internal/platform/worker"
)

const vms = 20

// usage is a report of one VM with two batch tasks and an urgent one.
func usage(vm string, age clock.Millis, slowdown int) worker.Usage {
	report := worker.Usage{VM: vm, AgeMS: age, Services: []worker.Service{{Name: "ration", SlowdownPerc: slowdown}}}
	for at, kind := range []string{"quiet", "loud", "urgent"} {
		report.TaskUsage = append(report.TaskUsage, worker.TaskUsage{
			Job: vm + kind, Attempt: 1, Kind: kind, Used: amount.Amount{MilliCores: int64(1000 * (at + 1))},
		})
	}
	return report
}

// TestDecisionsKeepTheirBounds drives an estimator with reports that are late,
// missing or wrong and checks every action: one for each VM until a report was
// measured after it, only what is permitted, never an urgent task, a throttle
// before an eviction, and few evictions in a lag.
func TestDecisionsKeepTheirBounds(t *testing.T) {
	const lag = 10 * clock.Second
	rapid.Check(t, func(t *rapid.T) {
		permits := colocation.Permits{Throttle: rapid.Bool().Draw(t, "throttle"), Evict: rapid.Bool().Draw(t, "evict")}
		estimator := colocation.New(colocation.Options{Lag: lag})
		measured, acted := map[string]clock.Millis{}, map[string]clock.Millis{}
		throttled := map[string]bool{}
		var evicted []clock.Millis
		now := clock.Hour
		for range rapid.IntRange(1, 60).Draw(t, "rounds") {
			now += clock.Millis(rapid.IntRange(1, 10_000).Draw(t, "pause"))
			for i := range vms {
				vm := fmt.Sprint("vm-", i, "/")
				if i%4 != 3 || rapid.IntRange(0, 3).Draw(t, "arrives") == 0 {
					age := clock.Millis(rapid.IntRange(0, 40_000).Draw(t, "age"))
					estimator.Observe(now, []worker.Usage{usage(vm, age, rapid.SampledFrom([]int{90, 140, 400}).Draw(t, "slowdown"))})
					measured[vm] = max(measured[vm], now-age)
				}
				tasks := []colocation.Task{
					{Job: vm + "quiet", Attempt: 1, Kind: "quiet", Throttled: throttled[vm+"quiet"]},
					{Job: vm + "loud", Attempt: 1, Kind: "loud", Throttled: throttled[vm+"loud"]},
					{Job: vm + "urgent", Attempt: 1, Kind: "urgent", Urgent: true},
				}
				actions := estimator.Decide(now, vm, permits, tasks)
				if len(actions) == 0 {
					continue
				}
				action := actions[0]
				late := now-measured[vm] > 3*lag || (acted[vm] > 0 && (measured[vm] <= acted[vm] || now-acted[vm] < lag))
				if len(actions) > 1 || late || action.VM != vm || action.Job == vm+"urgent" {
					t.Fatalf("at %d, measured %d, last action %d: %+v", now, measured[vm], acted[vm], actions)
				}
				acted[vm] = now
				switch action.Do {
				case colocation.Evict:
					if !permits.Evict || permits.Throttle && !throttled[vm+"quiet"] && !throttled[vm+"loud"] {
						t.Fatalf("evicted %+v", action)
					}
					evicted = append(evicted, now)
				default:
					if !permits.Throttle || throttled[action.Job] == (action.Do == colocation.Throttle) {
						t.Fatalf("%+v, throttled before: %v", action, throttled[action.Job])
					}
					throttled[action.Job] = action.Do == colocation.Throttle
				}
			}
			recent := 0
			for _, at := range evicted {
				if now-at < lag {
					recent++
				}
			}
			if recent > vms/20 {
				t.Fatalf("%d evictions in one lag", recent)
			}
		}
	})
}

// TestThrottleThenEvict follows a breach that throttling does not end.
func TestThrottleThenEvict(t *testing.T) {
	estimator := colocation.New(colocation.Options{})
	tasks := []colocation.Task{
		{Job: "vm/quiet", Attempt: 1, Kind: "quiet", Lost: 50 * clock.Second},
		{Job: "vm/loud", Attempt: 1, Kind: "loud", Lost: 2 * clock.Second},
	}
	permits := colocation.Permits{Throttle: true, Evict: true}
	got := []string{}
	for now := clock.Hour; now < clock.Hour+clock.Minute; now += 5 * clock.Second {
		estimator.Observe(now, []worker.Usage{usage("vm/", 5*clock.Second, 180)})
		for _, action := range estimator.Decide(now, "vm/", permits, tasks) {
			got = append(got, fmt.Sprint((now-clock.Hour)/clock.Second, " ", action.Do, " ", action.Job))
			at := slices.IndexFunc(tasks, func(task colocation.Task) bool { return task.Job == action.Job })
			tasks[at].Throttled = true
			tasks[at].Stopping = action.Do == colocation.Evict
		}
	}
	want := []string{"5 throttle vm/loud", "15 evict vm/loud", "25 evict vm/quiet"}
	if diff := cmp.Diff(want, got); diff != "" {
		t.Errorf("actions differ (-want +got):\n%s", diff)
	}
}

// TestThrottlesAnew shows that a breach long after throttled tasks have ended
// is met by throttling again.
func TestThrottlesAnew(t *testing.T) {
	estimator := colocation.New(colocation.Options{})
	permits := colocation.Permits{Throttle: true, Evict: true}
	tasks := []colocation.Task{{Job: "vm/quiet", Kind: "quiet"}, {Job: "vm/loud", Kind: "loud"}}
	got := []colocation.Do{}
	for now := clock.Millis(0); now < 20*clock.Minute; now += 5 * clock.Second {
		slowdown := 100
		if now%(10*clock.Minute) < 30*clock.Second {
			slowdown = 180
		}
		estimator.Observe(clock.Hour+now, []worker.Usage{usage("vm/", clock.Second, slowdown)})
		for _, action := range estimator.Decide(clock.Hour+now, "vm/", permits, tasks) {
			got = append(got, action.Do)
		}
	}
	want := []colocation.Do{
		colocation.Throttle, colocation.Evict, colocation.Evict,
		colocation.Throttle, colocation.Evict, colocation.Evict,
	}
	if diff := cmp.Diff(want, got); diff != "" {
		t.Errorf("actions differ (-want +got):\n%s", diff)
	}
}

// TestHarmWithoutReports shows that starts which no report will ever show do
// not pile up until a VM looks full.
func TestHarmWithoutReports(t *testing.T) {
	estimator := colocation.New(colocation.Options{})
	estimator.Observe(0, []worker.Usage{usage("vm/", 0, 100)})
	size := amount.Amount{MilliCores: 1000}
	before := estimator.Harm("vm/", "quiet", size)
	for now := clock.Millis(0); now < clock.Hour; now += 20 * clock.Second {
		estimator.Started(now, "vm/", "quiet", size)
	}
	if harm := estimator.Harm("vm/", "quiet", size); harm > before+0.01 {
		t.Errorf("harm grew from %f to %f", before, harm)
	}
}

// TestOldReportsAreIgnored shows that reports which come out of order, or
// twice, change nothing.
func TestOldReportsAreIgnored(t *testing.T) {
	estimator := colocation.New(colocation.Options{})
	estimator.Observe(clock.Hour, []worker.Usage{usage("vm/", 0, 100)})
	before := estimator.Harm("vm/", "loud", amount.Amount{MilliCores: 1000})
	for range 5 {
		estimator.Observe(clock.Hour, []worker.Usage{usage("vm/", clock.Second, 400), usage("vm/", 0, 400)})
	}
	if diff := cmp.Diff(before, estimator.Harm("vm/", "loud", amount.Amount{MilliCores: 1000})); diff != "" {
		t.Errorf("harm differs (-before +after):\n%s", diff)
	}
	tasks := []colocation.Task{{Job: "vm/loud", Kind: "loud"}}
	if got := estimator.Decide(clock.Hour, "vm/", colocation.Permits{Throttle: true, Evict: true}, tasks); got != nil {
		t.Errorf("old reports led to %+v", got)
	}
}

// TestMakeRoom shows the choice of tasks that make way.
func TestMakeRoom(t *testing.T) {
	cores := func(c int64) amount.Amount { return amount.Amount{MilliCores: 1000 * c} }
	tasks := []colocation.Task{
		{Job: "small", Size: cores(1), Lost: 1000},
		{Job: "costly", Size: cores(4), Lost: 600_000},
		{Job: "right", Size: cores(4), Lost: 10_000},
		{Job: "urgent", Size: cores(8), Urgent: true},
		{Job: "stopping", Size: cores(1), Stopping: true},
	}
	want := map[int64]string{1: "true", 2: "true small", 5: "true right", 6: "true right small", 10: "true right small costly", 11: "false"}
	for lacking, expected := range want {
		estimator := colocation.New(colocation.Options{})
		actions, enough := estimator.MakeRoom(0, "vm", cores(lacking), tasks)
		got := fmt.Sprint(enough)
		for _, action := range actions {
			got += " " + action.Job
		}
		if diff := cmp.Diff(expected, got); diff != "" {
			t.Errorf("for %d cores (-want +got):\n%s", lacking, diff)
		}
	}
}
