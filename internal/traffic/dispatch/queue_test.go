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

// twin is the naive bookkeeping of a pool: plain lists, searched whole.
type twin struct {
	waiting []*dispatch.Ticket
	flying  []*dispatch.Ticket
}

func (w *twin) queued(route string) int {
	count := 0
	for _, ticket := range w.waiting {
		if ticket.Route == route {
			count++
		}
	}
	return count
}

// TestQueueAgainstItsTwin runs random arrivals, ends, departures and marks.
func TestQueueAgainstItsTwin(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		under, model, now := dispatch.New(rand.New(rand.NewPCG(1, 2))), &twin{}, clock.Hour
		setting := dispatch.Setting{Domain: "a", Entries: 1, Budget: limit.NewBudget(0).With(now, 1, 1)}
		setting.Pool.Config = pool.Pool{Slots: 3, Connections: 64}
		for i := range 3 {
			setting.Pool.Backends = append(setting.Pool.Backends, view.Backend{Name: fmt.Sprint(i), FailureDomain: "a"})
		}
		under.Update(now, setting)
		send := func(ticket *dispatch.Ticket) {
			if ticket.Server.Out {
				t.Fatalf("sent to %s, which is out", ticket.Server.Name)
			}
			model.flying = append(model.flying, ticket)
		}
		settle := func() {
			for _, ticket := range under.Serve(now) {
				if len(model.waiting) == 0 || model.waiting[0] != ticket {
					t.Fatalf("served a ticket that is not the oldest")
				}
				model.waiting = model.waiting[1:]
				if ticket.Server != nil {
					send(ticket)
				}
			}
		}
		t.Repeat(map[string]func(*rapid.T){
			"arrive": func(t *rapid.T) {
				ticket := &dispatch.Ticket{Route: rapid.SampledFrom([]string{"r", "s"}).Draw(t, "route"), MaxQueued: 2, Deadline: now + 300}
				if under.Try(now, ticket) {
					if len(model.waiting) > 0 {
						t.Fatal("overtook the queue")
					}
					send(ticket)
					return
				}
				full := model.queued(ticket.Route) >= ticket.MaxQueued
				if verdict := under.Wait(now, ticket).Verdict; (verdict == dispatch.Waiting) == full && verdict != dispatch.TooLate && verdict != dispatch.NoServer {
					t.Fatalf("%s with %d waiting", verdict, model.queued(ticket.Route))
				} else if verdict == dispatch.Waiting {
					model.waiting = append(model.waiting, ticket)
				}
				settle()
			},
			"end": func(t *rapid.T) {
				if len(model.flying) == 0 {
					t.Skip()
				}
				i := rapid.IntRange(0, len(model.flying)-1).Draw(t, "which")
				ticket := model.flying[i]
				model.flying = slices.Delete(model.flying, i, i+1)
				under.Release(now, ticket, rapid.SampledFrom(dispatch.Results).Draw(t, "result"), 20)
				settle()
			},
			"leave": func(t *rapid.T) {
				if len(model.waiting) == 0 {
					t.Skip()
				}
				i := rapid.IntRange(0, len(model.waiting)-1).Draw(t, "which")
				if !under.Leave(model.waiting[i]) || under.Leave(model.waiting[i]) {
					t.Fatal("a waiting ticket leaves once")
				}
				model.waiting = slices.Delete(model.waiting, i, i+1)
			},
			"pass time": func(t *rapid.T) {
				now += clock.Millis(rapid.IntRange(1, 400).Draw(t, "ms"))
				settle()
			},
			"mark": func(t *rapid.T) {
				setting.Pool.Backends = slices.Clone(setting.Pool.Backends)
				setting.Pool.Backends[rapid.IntRange(0, 2).Draw(t, "vm")].Draining = rapid.Bool().Draw(t, "out")
				under.Update(now, setting)
				settle()
			},
			"": func(t *rapid.T) {
				flying := 0
				for _, server := range under.Servers() {
					flying += server.InFlight
					if server.InFlight > 3 {
						t.Fatalf("%d in flight at 3 slots", server.InFlight)
					}
				}
				if flying != len(model.flying) || under.Waiting() != len(model.waiting) {
					t.Fatalf("%d in flight and %d waiting, want %d and %d", flying, under.Waiting(), len(model.flying), len(model.waiting))
				}
			},
		})
	})
}
