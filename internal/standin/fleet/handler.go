package fleet

import (
	"net/http"

	"github.com/oriolepier/oriolepier/internal/platform/inventory"
	"github.com/oriolepier/oriolepier/internal/platform/worker"
	"github.com/oriolepier/oriolepier/internal/standin/wire"
)

// Handler serves the list over HTTP, with the switches beside it.
func (fleet *Fleet) Handler() http.Handler { return fleet.HandlerFrom("") }

// HandlerFrom serves clients of one failure domain, which can be cut off.
//
//	GET    /vms?failure_domain=       -> []inventory.VM, with an entity tag
//	GET    /usage?failure_domain=     -> []worker.Usage
//	PUT    /standin/vms               inventory.VM
//	PUT    /standin/vms/{name}/state  "live" or "leaving"
//	DELETE /standin/vms/{name}
//	POST   /standin/usage             worker.Usage
//	PUT    /standin/list/faults       Faults
func (fleet *Fleet) HandlerFrom(domain string) http.Handler {
	mux := http.NewServeMux()
	mux.HandleFunc("GET /vms", func(w http.ResponseWriter, r *http.Request) {
		vms, err := fleet.fetchFrom(r.Context(), domain, r.URL.Query()["failure_domain"]...)
		wire.AnswerTagged(w, r, vms, err)
	})
	mux.HandleFunc("GET /usage", func(w http.ResponseWriter, r *http.Request) {
		usages, err := fleet.usagesFrom(r.Context(), domain, r.FormValue("failure_domain"))
		wire.Answer(w, usages, err)
	})
	fleet.handleChanges(mux)
	return mux
}

func (fleet *Fleet) handleChanges(mux *http.ServeMux) {
	mux.HandleFunc("PUT /standin/vms", func(w http.ResponseWriter, r *http.Request) {
		var vm inventory.VM
		if wire.Decode(w, r, &vm) {
			fleet.Put(vm)
			wire.Send(w, vm)
		}
	})
	mux.HandleFunc("PUT /standin/vms/{name}/state", func(w http.ResponseWriter, r *http.Request) {
		var state inventory.State
		if wire.Decode(w, r, &state) {
			found(w, fleet.SetState(r.PathValue("name"), state))
		}
	})
	mux.HandleFunc("DELETE /standin/vms/{name}", func(w http.ResponseWriter, r *http.Request) {
		found(w, fleet.Remove(r.PathValue("name")))
	})
	mux.HandleFunc("POST /standin/usage", func(w http.ResponseWriter, r *http.Request) {
		var usage worker.Usage
		if wire.Decode(w, r, &usage) {
			fleet.Report(usage)
			wire.Send(w, true)
		}
	})
	mux.HandleFunc("PUT /standin/list/faults", func(w http.ResponseWriter, r *http.Request) {
		var faults Faults
		if wire.Decode(w, r, &faults) {
			fleet.SetFaults(faults)
			wire.Send(w, faults)
		}
	})
}

func found(w http.ResponseWriter, yes bool) {
	if !yes {
		wire.Refuse(w, http.StatusNotFound, "find VM", "no VM of that name")
		return
	}
	wire.Send(w, true)
}
