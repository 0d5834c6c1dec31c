package machine

import (
	"context"
	"io"
	"net/http"
	"strconv"
	"strings"

	"github.com/oriolepier/oriolepier/internal/base/clock"
	"github.com/oriolepier/oriolepier/internal/platform/backend"
	"github.com/oriolepier/oriolepier/internal/standin/wire"
	"github.com/oriolepier/oriolepier/internal/standin/witness"
)

// What a request may ask of the stand-in in its query.
const (
	WorkMS      = "work_ms"      // service time when undisturbed
	AnswerBytes = "answer_bytes" // size of the answer
)

// RequestHandler serves callers' requests on any path. The first segment of
// the path is the service; the answer is witness.Body of the request's id.
func (machine *Machine) RequestHandler() http.Handler {
	return http.HandlerFunc(machine.serveRequest)
}

func (machine *Machine) serveRequest(w http.ResponseWriter, r *http.Request) {
	id := r.Header.Get(backend.RequestID)
	w.Header().Set(backend.RequestID, id)
	life, alive := machine.present()
	if !alive {
		wire.Abort()
	}
	if _, err := io.Copy(io.Discard, http.MaxBytesReader(w, r.Body, maxBodyBytes)); err != nil {
		wire.Refuse(w, http.StatusRequestEntityTooLarge, "read request", err.Error())
		return
	}
	faults := machine.drawFaults()
	if faults.DropUnrun {
		wire.Abort()
	}
	if faults.RefuseAll || overLimit(r.Context()) || !machine.enter(r.Context()) {
		machine.refuse(w, r)
		return
	}
	defer machine.leave()
	machine.run(r, id, life)
	machine.answer(w, r, id, life, faults)
}

// drawFaults returns the switches that hit one request.
func (machine *Machine) drawFaults() Faults {
	machine.mu.Lock()
	defer machine.mu.Unlock()
	machine.stats.Requests++
	if share := machine.faults.Percent; share > 0 && machine.lots.IntN(100) >= share {
		return Faults{}
	}
	return machine.faults
}

// enter takes a slot. With the guard on it never waits.
func (machine *Machine) enter(ctx context.Context) bool {
	if machine.options.GuardOn {
		select {
		case machine.slots <- struct{}{}:
			return true
		default:
			return false
		}
	}
	select {
	case machine.slots <- struct{}{}:
		return true
	case <-ctx.Done():
		return false
	}
}

func (machine *Machine) refuse(w http.ResponseWriter, r *http.Request) {
	machine.mu.Lock()
	machine.stats.Refused++
	machine.mu.Unlock()
	if overLimit(r.Context()) {
		w.Header().Set("Connection", "close")
	}
	wire.Refuse(w, http.StatusServiceUnavailable, "guard", "no free slot")
}

// run carries the request out. It goes on when the caller has gone.
func (machine *Machine) run(r *http.Request, id string, life context.Context) {
	machine.noteRun(id)
	service := serviceOf(r.URL.Path)
	took, factor := machine.serviceTime(service, clock.Millis(number(r, WorkMS)))
	if machine.options.Clock.Sleep(life, took) == nil {
		machine.noteLatency(service, took, factor)
	}
}

// leave gives the slot back, which a request holds until it is answered.
func (machine *Machine) leave() {
	<-machine.slots
	machine.mu.Lock()
	defer machine.mu.Unlock()
	machine.stats.Running--
}

func (machine *Machine) noteRun(id string) {
	machine.mu.Lock()
	defer machine.mu.Unlock()
	machine.stats.Ran++
	machine.stats.Running++
	machine.stats.MostRunning = max(machine.stats.MostRunning, machine.stats.Running)
	machine.observe(witness.Event{Kind: witness.RequestRan, At: machine.options.Clock.Now(), Request: id})
}

// answer sends what the faults leave of the answer.
func (machine *Machine) answer(w http.ResponseWriter, r *http.Request, id string, life context.Context, faults Faults) {
	if life.Err() != nil {
		wire.Abort()
	}
	body := witness.Body(id, int(min(number(r, AnswerBytes), maxAnswerBytes)))
	switch {
	case faults.Hang:
		hang(r.Context(), life)
		wire.Abort()
	case faults.DropTaken:
		wire.Abort()
	case faults.LyingRefusal:
		wire.Refuse(w, http.StatusServiceUnavailable, "guard", "no free slot")
		return
	case faults.WrongID:
		w.Header().Set(backend.RequestID, id+"-other")
		body = witness.Body(id+"-other", len(body))
	case faults.ShortBody:
		body = body[:len(body)/2]
	}
	w.Header().Set("Content-Type", "application/octet-stream")
	w.Header().Set("Content-Length", strconv.Itoa(len(body)))
	if faults.ResetMid {
		_, _ = w.Write(body[:len(body)/2])
		_ = http.NewResponseController(w).Flush()
		wire.Abort()
	}
	_, _ = w.Write(body) // the caller may be gone
}

// hang waits until the caller gives up or the VM halts.
func hang(caller, life context.Context) {
	select {
	case <-caller.Done():
	case <-life.Done():
	}
}

func serviceOf(path string) string {
	first, _, _ := strings.Cut(strings.TrimPrefix(path, "/"), "/")
	return first
}

// number reads a member of the query; what is not a number counts as 0.
func number(r *http.Request, key string) int64 {
	value, err := strconv.ParseInt(r.URL.Query().Get(key), 10, 64)
	if err != nil {
		return 0
	}
	return value
}
