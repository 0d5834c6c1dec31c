package dispatch_test

import (
	"fmt"
	"math/rand/v2"
	"slices"
	"testing"

	"pgregory.net/rapid"

	"github.com/oriolepier/oriolepier/internal/base/clock"
	"github.com/oriolepier/oriolepier/internal/config/pool"
	"github.com/oriolepier/oriolepier/internal/traffic/dispatch"
	"github.com/oriolepier/oriolepier/internal/traffic/limit"
	"github.com/oriolepier/oriolepier/internal/traffic/view"
)

// queueModel is the reference model of a pool's queue: plain lists, searched
// linearly.
type queueModel struct {
	waiting  []*dispatch.Ticket
	inFlight []*dispatch.Ticket
}

func (model *queueModel) queued(route string) int {
	count := 0
	for _, ticket := range model.waiting {
		if ticket.Route == route {
			count++
		}
	}
	return count
}

// TestQueueMatchesModel compares a pool with the model under random arrivals,
// ends of attempts, cancelled waits and marks.
func TestQueueMatchesModel(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		p, model, now := dispatch.New(rand.New(rand.NewPCG(1, 2))), &queueModel{}, clock.Hour
		settings := dispatch.Settings{Domain: "a", Entries: 1, Budget: limit.NewBudget(0).Updated(now, 1, 1)}
		settings.Pool.Config = pool.Pool{Slots: 3, Connections: 64}
		for i := range 3 {
			settings.Pool.Backends = append(settings.Pool.Backends, view.Backend{Name: fmt.Sprint(i), FailureDomain: "a"})
		}
		p.Update(now, settings)
		recordSent := func(ticket *dispatch.Ticket) {
			if ticket.Server.OutOfService {
				t.Fatalf("sent to %s, which is out", ticket.Server.Name)
			}
			model.inFlight = append(model.inFlight, ticket)
		}
		serveQueue := func() {
			for _, ticket := range p.ServeQueue(now) {
				if len(model.waiting) == 0 || model.waiting[0] != ticket {
					t.Fatalf("served a ticket that is not the oldest")
				}
				model.waiting = model.waiting[1:]
				if ticket.Server != nil {
					recordSent(ticket)
				}
			}
		}
		t.Repeat(map[string]func(*rapid.T){
			"arrive": func(t *rapid.T) {
				ticket := &dispatch.Ticket{Route: rapid.SampledFrom([]string{"r", "s"}).Draw(t, "route"), MaxQueued: 2, Deadline: now + 300}
				if p.TryAcquire(now, ticket) {
					if len(model.waiting) > 0 {
						t.Fatal("granted a slot while other tickets are waiting")
					}
					recordSent(ticket)
					return
				}
				full := model.queued(ticket.Route) >= ticket.MaxQueued
				if verdict := p.Enqueue(now, ticket).Verdict; (verdict == dispatch.Waiting) == full && verdict != dispatch.TooLate && verdict != dispatch.NoServer {
					t.Fatalf("%s with %d waiting", verdict, model.queued(ticket.Route))
				} else if verdict == dispatch.Waiting {
					model.waiting = append(model.waiting, ticket)
				}
				serveQueue()
			},
			"end": func(t *rapid.T) {
				if len(model.inFlight) == 0 {
					t.Skip()
				}
				i := rapid.IntRange(0, len(model.inFlight)-1).Draw(t, "which")
				ticket := model.inFlight[i]
				model.inFlight = slices.Delete(model.inFlight, i, i+1)
				p.Release(now, ticket, rapid.SampledFrom(dispatch.Results).Draw(t, "result"), 20)
				serveQueue()
			},
			"leave": func(t *rapid.T) {
				if len(model.waiting) == 0 {
					t.Skip()
				}
				i := rapid.IntRange(0, len(model.waiting)-1).Draw(t, "which")
				if !p.Cancel(model.waiting[i]) || p.Cancel(model.waiting[i]) {
					t.Fatal("a waiting ticket can be cancelled exactly once")
				}
				model.waiting = slices.Delete(model.waiting, i, i+1)
			},
			"pass time": func(t *rapid.T) {
				now += clock.Millis(rapid.IntRange(1, 400).Draw(t, "ms"))
				serveQueue()
			},
			"mark": func(t *rapid.T) {
				settings.Pool.Backends = slices.Clone(settings.Pool.Backends)
				settings.Pool.Backends[rapid.IntRange(0, 2).Draw(t, "vm")].Draining = rapid.Bool().Draw(t, "out")
				p.Update(now, settings)
				serveQueue()
			},
			"": func(t *rapid.T) {
				inFlight := 0
				for _, server := range p.Servers() {
					inFlight += server.InFlight
					if server.InFlight > 3 {
						t.Fatalf("%d in flight at 3 slots", server.InFlight)
					}
				}
				if inFlight != len(model.inFlight) || p.Waiting() != len(model.waiting) {
					t.Fatalf("%d in flight and %d waiting, want %d and %d", inFlight, p.Waiting(), len(model.inFlight), len(model.waiting))
				}
			},
		})
	})
}
