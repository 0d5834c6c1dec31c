package daemon

import (
	"context"
	"encoding/json"
	"io"
	"net/http"

	"github.com/pkg/errors"

	"github.com/oriolepier/oriolepier/internal/schedule/job"
	"github.com/oriolepier/oriolepier/internal/schedule/owner"
)

// maxWhereBytes limits the body of POST /where if the manifest sets no limit on bodies.
const maxWhereBytes = 256 << 10

// unsentID is the id of a submission that is only asked about.
const unsentID job.ID = "0000000000000000"

// handleWhere answers where a job would be placed now: GET /where?job=ID for one that the
// owner has, POST /where?host=H&path=P&customer=C with the body of a submission. One question
// is answered at a time, as it takes the owner's time.
func (d *Daemon) handleWhere(writer http.ResponseWriter, request *http.Request) {
	query, err := d.whereQuery(request)
	var tooLarge *http.MaxBytesError
	switch {
	case errors.As(err, &tooLarge):
		http.Error(writer, err.Error(), http.StatusRequestEntityTooLarge)
		return
	case err != nil:
		http.Error(writer, err.Error(), http.StatusBadRequest)
		return
	}
	local := d.localOwner.Load()
	if local == nil {
		http.Error(writer, "this entry is not the owner; ask the operators' address of "+ownerName(d.elector.Current().Name), http.StatusServiceUnavailable)
		return
	}
	if !d.answersWhere.CompareAndSwap(false, true) {
		http.Error(writer, "another question is being answered", http.StatusServiceUnavailable)
		return
	}
	defer d.answersWhere.Store(false)
	ctx, cancel := context.WithTimeout(request.Context(), dumpTimeout.Duration())
	defer cancel()
	d.writeWhere(writer, local.Where(ctx, query))
}

func ownerName(name string) string {
	if name == "" {
		return "the owner, which is not known"
	}
	return name
}

// whereQuery reads the query of a request.
func (d *Daemon) whereQuery(request *http.Request) (owner.WhereQuery, error) {
	params := request.URL.Query()
	if request.Method != http.MethodPost {
		id := job.ID(params.Get("job"))
		return owner.WhereQuery{Job: id}, job.CheckID(id)
	}
	tables := d.tables.Current().Manifest
	queue, _, ok := tables.Match(params.Get("host"), params.Get("path"))
	if !ok {
		return owner.WhereQuery{}, errors.New("no such route")
	}
	limit := tables.Limits.BodyBytes
	if limit <= 0 {
		limit = maxWhereBytes
	}
	data, err := io.ReadAll(http.MaxBytesReader(nil, request.Body, limit))
	if err != nil {
		return owner.WhereQuery{}, errors.Wrap(err, "read submission")
	}
	spec, err := d.decodeSubmission(data)
	if err != nil {
		return owner.WhereQuery{}, err
	}
	spec.ID, spec.Queue, spec.Customer = unsentID, queue.Name, params.Get("customer")
	return owner.WhereQuery{Submission: &spec}, spec.Check()
}

// writeWhere writes an owner's answer.
func (d *Daemon) writeWhere(writer http.ResponseWriter, answer owner.WhereAnswer) {
	switch answer.Verdict.Ruling {
	case owner.Recorded:
	case owner.NotFound:
		http.Error(writer, answer.Verdict.Reason, http.StatusNotFound)
		return
	case owner.Invalid, owner.Unsupported:
		http.Error(writer, answer.Verdict.Reason, http.StatusUnprocessableEntity)
		return
	case owner.Refused, owner.NotOwner:
		http.Error(writer, answer.Verdict.Reason, http.StatusServiceUnavailable)
		return
	}
	data, err := json.Marshal(answer)
	if err != nil {
		d.logger.Error().Err(err).Msg("cannot encode answer")
		writer.WriteHeader(http.StatusInternalServerError)
		return
	}
	writer.Header().Set("Content-Type", "application/json")
	_, _ = writer.Write(data) // the client may have disconnected
}
