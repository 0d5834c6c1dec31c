package colocation_test

import (
	"slices"

	"github.com/oriolepier/oriolepier/internal/base/amount"
	"github.com/oriolepier/oriolepier/internal/base/clock"
	"github.com/oriolepier/oriolepier/internal/batch/colocation"
	"github.com/oriolepier/oriolepier/internal/batch/placement"
	"github.com/oriolepier/oriolepier/internal/batch/queue"
	"github.com/oriolepier/oriolepier/internal/config/route"
	"github.com/oriolepier/oriolepier/internal/platform/worker"
)

func need(t *task, item queue.Item) placement.Need {
	return placement.Need{
		Size: t.declared, Pools: []string{"batch"}, Class: t.class, Kind: kinds[t.kind],
		Job: t.id, Overdue: item.Overdue,
	}
}

// estimating is the policy of this project.
func estimating() policy {
	estimator := colocation.New(colocation.Options{TargetPercent: 130})
	return policy{
		name: "estimating", batch: true,
		place: func(r *run, t *task, item queue.Item) string {
			r.index.Harm, r.index.MaxHarm = estimator.Harm, colocation.BreachHarm
			vm, _ := r.index.Place(need(t, item))
			for tries := 0; vm == "" && t.class == route.Urgent && tries < 3; tries++ {
				where, lacking := r.index.Preempt(need(t, item))
				if where == "" {
					break
				}
				actions, enough := estimator.MakeRoom(r.now, where, lacking, seen(r, r.byName[where]))
				for _, action := range actions {
					r.obey(action)
				}
				if enough {
					break
				}
				r.index.Unhold(t.id)
			}
			return vm
		},
		placed: func(r *run, t *task) { estimator.Started(r.now, t.host.Name, kinds[t.kind], t.declared) },
		react: func(r *run, usages []worker.Usage) {
			estimator.Observe(r.now, usages)
			for _, h := range r.hosts {
				for _, action := range estimator.Decide(r.now, h.Name, colocation.Permits{Throttle: true, Evict: true}, seen(r, h)) {
					r.obey(action)
				}
			}
		},
	}
}

func seen(r *run, h *host) []colocation.Task {
	var tasks []colocation.Task
	for _, t := range h.tasks {
		tasks = append(tasks, colocation.Task{
			Job: t.id, Attempt: t.attempt, Kind: kinds[t.kind], Urgent: t.class == route.Urgent,
			Throttled: t.throttled, Stopping: t.stopping, Size: t.charged, Since: t.started, Lost: clock.Millis(t.done - t.saved),
		})
	}
	return tasks
}

func (r *run) obey(action colocation.Action) {
	t := r.tasks[action.Job]
	switch action.Do {
	case colocation.Evict:
		r.stop(t)
	default:
		t.throttled = action.Do == colocation.Throttle
		r.figures.throttles++
	}
}

// naive is first fit, no estimates, and evicts the newest task on a breach.
func naive() policy {
	return policy{
		name: "naive", batch: true, placed: func(*run, *task) {},
		place: func(r *run, t *task, _ queue.Item) string {
			for _, h := range r.hosts {
				held, _ := r.index.Get(h.Name)
				free := held.Size.Sub(held.Committed)
				if t.class == route.Batch {
					free = free.Sub(held.Reserve)
				}
				if !held.SetAside && free.Fits(t.declared) {
					return h.Name
				}
			}
			return ""
		},
		react: func(r *run, usages []worker.Usage) {
			for _, usage := range usages {
				breach := slices.ContainsFunc(usage.Services, func(s worker.Service) bool { return s.SlowdownPerc > 130 })
				tasks := r.byName[usage.VM].tasks
				at := len(tasks) - 1
				for at >= 0 && (tasks[at].class == route.Urgent || tasks[at].stopping) {
					at--
				}
				if breach && at >= 0 {
					r.stop(tasks[at])
				}
			}
		},
	}
}

// knowing sees the true sizes, slowdowns and loads without lag, and places
// only where no service passes its target.
func knowing() policy {
	return policy{
		name: "knowing", batch: true, unlost: true, placed: func(*run, *task) {}, react: func(*run, []worker.Usage) {},
		place: func(r *run, t *task, item queue.Item) string {
			cores := float64(t.used.MilliCores) / 1000
			r.index.Harm = func(vm, _ string, _ amount.Amount) float64 {
				h := r.byName[vm]
				sum := 0.0
				for _, service := range h.services {
					after := h.extra(service, t.kind, cores)
					sum += after - h.extra(service, 0, 0) + 100*max(after-0.3, 0)
				}
				return sum
			}
			vm, _ := r.index.Place(need(t, item))
			if vm == "" || t.class == route.Urgent {
				return vm
			}
			for _, service := range r.byName[vm].services {
				if r.byName[vm].extra(service, t.kind, cores) > 0.3 {
					return ""
				}
			}
			return vm
		},
	}
}

func alone() policy {
	return policy{name: "alone", react: func(*run, []worker.Usage) {}}
}
