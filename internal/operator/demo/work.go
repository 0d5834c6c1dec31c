package demo

import (
	"context"
	"fmt"
	"math/rand/v2"
	"sync"

	"golang.org/x/sync/errgroup"

	"github.com/oriolepier/oriolepier/internal/base/amount"
	"github.com/oriolepier/oriolepier/internal/base/clock"
	"github.com/oriolepier/oriolepier/internal/config/ledger"
	"github.com/oriolepier/oriolepier/internal/config/pool"
	"github.com/oriolepier/oriolepier/internal/config/route"
	"github.com/oriolepier/oriolepier/internal/standin/load"
	"github.com/oriolepier/oriolepier/internal/standin/machine"
)

// What is sent.
const (
	requestEvery    clock.Millis = 8
	taskEvery       clock.Millis = 150
	requestDeadline clock.Millis = 1500
	requestsAtOnce               = 400
	notRepeatable                = 3 // one request in so many is
	submittedTwice               = 4 // one task in so many is
	cancelledTasks               = 20
	answerBytes                  = 2000
	shortestTask    clock.Millis = 500
	longestTask     clock.Millis = 5000
	// A submission is given up after this; the log may be away for long.
	submitLimit = 30 * clock.Second
)

// figures are counts that callers keep beside the witness.
type figures struct {
	mu          sync.Mutex
	resubmitted int
	otherID     int // resubmissions that were given another id
	cancelled   int
	unaccepted  int // tasks whose submission was given up
}

// send sends requests and tasks until sending ends; what was begun is finished
// under life.
func (stage *stage) send(sending, life context.Context, group *errgroup.Group) {
	group.Go(func() error {
		var flying errgroup.Group
		flying.SetLimit(requestsAtOnce)
		for number := 0; stage.site.Clock.Sleep(sending, requestEvery) == nil; number++ {
			flying.Go(func() error {
				stage.request(life, number)
				return nil
			})
		}
		return flying.Wait()
	})
	group.Go(func() error {
		var flying errgroup.Group
		lots := rand.New(rand.NewPCG(stage.options.Seed, 4))
		for number := 1; stage.site.Clock.Sleep(sending, taskEvery) == nil; number++ {
			run := shortestTask + clock.Millis(lots.Int64N(int64(longestTask-shortestTask)))
			flying.Go(func() error {
				stage.task(life, number, run)
				return nil
			})
		}
		return flying.Wait()
	})
}

func (stage *stage) request(ctx context.Context, number int) {
	want := load.Request{Path: "/ration/daily", AnswerBytes: answerBytes, DeadlineMS: requestDeadline}
	if number%notRepeatable == 0 {
		want.Path, want.NotRepeatable, want.Body = "/order/new", true, []byte("feed")
	}
	stage.caller.Request(ctx, want)
}

// task submits a task, some again through another entry, and cancels a few.
func (stage *stage) task(ctx context.Context, number int, run clock.Millis) {
	ctx, cancel := context.WithTimeout(ctx, submitLimit.Duration())
	defer cancel()
	task := load.Task{
		Key: fmt.Sprintf("forecast-%03d", number), Route: "forecast", Kind: "forecast",
		Size: amount.Amount{MilliCores: 1000, MemoryMB: 2000}, RunMS: run, Payload: machine.Payload{RunMS: run},
	}
	id, err := stage.caller.Submit(ctx, task)
	if err != nil || id == "" {
		stage.figures.note(func(figures *figures) { figures.unaccepted++ })
		return
	}
	if number%submittedTwice == 0 {
		stage.resubmit(ctx, task, id)
	}
	if number%cancelledTasks == 0 && stage.caller.Cancel(ctx, id, task.Key) == nil {
		stage.figures.note(func(figures *figures) { figures.cancelled++ })
	}
}

func (stage *stage) resubmit(ctx context.Context, task load.Task, id string) {
	again, err := stage.caller.Submit(ctx, task)
	if err != nil {
		return // the first one was accepted; nothing is owed
	}
	stage.figures.note(func(figures *figures) {
		figures.resubmitted++
		if again != id {
			figures.otherID++
		}
	})
}

func (figures *figures) note(change func(*figures)) {
	figures.mu.Lock()
	defer figures.mu.Unlock()
	change(figures)
}

// demoTables are what the operator publishes.
func demoTables() ledger.Tables {
	urgent := func(name string, repeatable bool, retries int) route.Route {
		return route.Route{
			Name: name, Match: route.Match{PathPrefix: "/" + name}, Class: route.Urgent, Team: "kennel", Pools: []string{"town"},
			DeadlineMS: requestDeadline, Repeatable: repeatable, RetryPercent: retries,
			MaxRequestBytes: 64 << 10, MaxAnswerBytes: 64 << 10, MaxQueued: 1000,
		}
	}
	batch := route.Route{
		Name: "forecast", Class: route.Batch, Team: "kennel", Pools: []string{"town"}, DeadlineMS: 10 * clock.Minute,
		MaxRequestBytes: 64 << 10, MaxAnswerBytes: 64 << 10, MaxQueued: 10_000, MaxAttempts: 5,
	}
	tables := ledger.Tables{
		Routes: route.Table{
			Routes: []route.Route{urgent("ration", true, 20), urgent("order", false, 20), batch},
			Teams:  []route.Team{{Name: "kennel", Quota: amount.Amount{MilliCores: 40_000, MemoryMB: 160_000}}},
		},
		Pools: pool.Table{Pools: []pool.Pool{{
			Name: "town", FailureDomains: domains, Slots: slots, Connections: connections, ReservePercent: 20,
			HoldMS: 20 * clock.Second, LeaseMS: 6 * clock.Second, AllowThrottle: true, AllowEvict: true,
			WarmupMS: 1 * clock.Second, MaxMovesPerSec: 20,
		}}},
	}
	for _, domain := range domains {
		tables.Pools.Domains = append(tables.Pools.Domains, pool.Domain{Name: domain, Cells: 1})
	}
	return tables
}
