package witness

import (
	"net/http"

	"github.com/oriolepier/oriolepier/internal/standin/wire"
)

// Handler serves the record to observers in other processes.
//
//	POST /standin/witness/events  Event
//	GET  /standin/witness/verdict -> Verdict
func (witness *Witness) Handler() http.Handler {
	mux := http.NewServeMux()
	mux.HandleFunc("POST /standin/witness/events", func(w http.ResponseWriter, r *http.Request) {
		var event Event
		if wire.Decode(w, r, &event) {
			witness.Note(event)
			wire.Send(w, true)
		}
	})
	mux.HandleFunc("GET /standin/witness/verdict", func(w http.ResponseWriter, _ *http.Request) {
		wire.Send(w, witness.Verdict())
	})
	return mux
}
