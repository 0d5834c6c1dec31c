package journal

import (
	"io"
	"net/http"
	"strconv"

	"github.com/oriolepier/oriolepier/internal/base/fault"
	"github.com/oriolepier/oriolepier/internal/platform/remote"
	"github.com/oriolepier/oriolepier/internal/platform/stream"
	"github.com/oriolepier/oriolepier/internal/standin/wire"
)

// Handler serves the log over HTTP, with the switches beside it.
func (journal *Journal) Handler() http.Handler { return journal.HandlerFrom("") }

// HandlerFrom serves clients of one failure domain, which can be cut off.
//
//	POST /streams/{name}              raw bytes -> {"offset": n}
//	GET  /streams/{name}?from=&limit= -> stream.Page
//	PUT  /standin/log/faults          Faults
//	GET  /standin/log/stats           -> Stats
func (journal *Journal) HandlerFrom(domain string) http.Handler {
	mux := http.NewServeMux()
	log := journal.LogFrom(domain)
	mux.HandleFunc("POST /streams/{name}", func(w http.ResponseWriter, r *http.Request) {
		data, err := io.ReadAll(http.MaxBytesReader(w, r.Body, maxRecordBytes))
		if err != nil {
			wire.Refuse(w, http.StatusRequestEntityTooLarge, "append", err.Error())
			return
		}
		offset, err := log.Append(r.Context(), r.PathValue("name"), data)
		answer(w, remote.Appended{Offset: offset}, err)
	})
	mux.HandleFunc("GET /streams/{name}", func(w http.ResponseWriter, r *http.Request) {
		from, err := strconv.ParseInt(r.FormValue("from"), 10, 64)
		if err != nil {
			wire.Refuse(w, http.StatusBadRequest, "read", "from is not an offset")
			return
		}
		limit, err := strconv.Atoi(r.FormValue("limit"))
		if err != nil || limit < 1 {
			wire.Refuse(w, http.StatusBadRequest, "read", "limit is not a positive number")
			return
		}
		page, err := log.Read(r.Context(), r.PathValue("name"), stream.Offset(from), limit)
		answer(w, page, err)
	})
	mux.HandleFunc("PUT /standin/log/faults", func(w http.ResponseWriter, r *http.Request) {
		var faults Faults
		if wire.Decode(w, r, &faults) {
			journal.SetFaults(faults)
			wire.Send(w, faults)
		}
	})
	mux.HandleFunc("GET /standin/log/stats", func(w http.ResponseWriter, _ *http.Request) {
		wire.Send(w, journal.Stats())
	})
	return mux
}

func answer(w http.ResponseWriter, value any, err error) {
	if fault.OutcomeOf(err) == fault.NotRun {
		wire.Refuse(w, http.StatusServiceUnavailable, fault.StepOf(err), err.Error())
		return
	}
	wire.Answer(w, value, err)
}
