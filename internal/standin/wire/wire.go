// Package wire is what the HTTP forms of the stand-ins share: bounded JSON
// bodies, refusals, and answers that are broken off.
//
// # Usage
//
//	var order worker.StartOrder
//	if !wire.Decode(w, r, &order) { return }
//	wire.Answer(w, task, err)
package wire

import (
	"encoding/json"
	"fmt"
	"io"
	"net/http"

	"github.com/cespare/xxhash/v2"

	"github.com/oriolepier/oriolepier/internal/base/fault"
	"github.com/oriolepier/oriolepier/internal/base/problem"
)

// Bounds the body of a JSON request.
const maxBodyBytes = 8 << 20

// Decode reads a JSON body into target; false means that it has answered.
func Decode(w http.ResponseWriter, r *http.Request, target any) bool {
	data, err := io.ReadAll(http.MaxBytesReader(w, r.Body, maxBodyBytes))
	if err == nil {
		err = json.Unmarshal(data, target)
	}
	if err != nil {
		Refuse(w, http.StatusBadRequest, "decode", err.Error())
		return false
	}
	return true
}

// Answer sends value, or what err says: a refusal when the work certainly did
// not run, a broken connection when that is not known.
func Answer(w http.ResponseWriter, value any, err error) {
	if err == nil {
		Send(w, value)
		return
	}
	if fault.OutcomeOf(err).Certain() {
		Refuse(w, http.StatusConflict, fault.StepOf(err), err.Error())
		return
	}
	Abort()
}

// AnswerTagged is Answer with an entity tag: a client that names the tag of the
// present value gets 304 and no body.
func AnswerTagged(w http.ResponseWriter, r *http.Request, value any, err error) {
	data, encodeErr := json.Marshal(value)
	if err != nil || encodeErr != nil {
		Answer(w, value, err)
		return
	}
	tag := fmt.Sprintf(`"%016x"`, xxhash.Sum64(data))
	w.Header().Set("Etag", tag)
	if r.Header.Get("If-None-Match") == tag {
		w.WriteHeader(http.StatusNotModified)
		return
	}
	w.Header().Set("Content-Type", "application/json")
	_, _ = w.Write(data) // the client may be gone
}

// Send answers 200 with a JSON value.
func Send(w http.ResponseWriter, value any) {
	w.Header().Set("Content-Type", "application/json")
	_ = json.NewEncoder(w).Encode(value) // the client may be gone
}

// Refuse answers that the work did not run and will not.
func Refuse(w http.ResponseWriter, status int, step, detail string) {
	problem.Write(w, problem.Problem{Status: status, Outcome: fault.NotRun, Step: step, Detail: detail})
}

// Abort closes the connection without an answer. It does not return.
func Abort() { panic(http.ErrAbortHandler) }
