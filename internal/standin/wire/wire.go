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
	"compress/gzip"
	"encoding/json"
	"io"
	"net/http"
	"strconv"
	"strings"

	"github.com/cespare/xxhash/v2"

	"github.com/oriolepier/oriolepier/internal/base/fault"
	"github.com/oriolepier/oriolepier/internal/base/problem"
)

// Bounds the body of a JSON request.
const maxBodyBytes = 8 << 20

// Smaller answers gain nothing by being packed.
const packFromBytes = 2 << 10

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

// Send answers 200 with a JSON value.
func Send(w http.ResponseWriter, value any) {
	w.Header().Set("Content-Type", "application/json")
	_ = json.NewEncoder(w).Encode(value) // the client may be gone
}

// SendLarge answers like Send, packed if the client takes that, or with 304 if
// the client has this very value already.
func SendLarge(w http.ResponseWriter, r *http.Request, value any) {
	data, err := json.Marshal(value)
	if err != nil {
		Abort()
	}
	tag := `"` + strconv.FormatUint(xxhash.Sum64(data), 16) + `"`
	header := w.Header()
	header.Set("ETag", tag)
	if r.Header.Get("If-None-Match") == tag {
		w.WriteHeader(http.StatusNotModified)
		return
	}
	header.Set("Content-Type", "application/json")
	if len(data) < packFromBytes || !strings.Contains(r.Header.Get("Accept-Encoding"), "gzip") {
		_, _ = w.Write(data) // the client may be gone
		return
	}
	header.Set("Content-Encoding", "gzip")
	packer := gzip.NewWriter(w)
	_, _ = packer.Write(data) // the client may be gone
	_ = packer.Close()
}

// Refuse answers that the work did not run and will not.
func Refuse(w http.ResponseWriter, status int, step, detail string) {
	problem.Write(w, problem.Problem{Status: status, Outcome: fault.NotRun, Step: step, Detail: detail})
}

// Abort closes the connection without an answer. It does not return.
func Abort() { panic(http.ErrAbortHandler) }
