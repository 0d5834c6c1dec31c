package command

import (
	"bytes"
	"context"
	"crypto/rand"
	"encoding/hex"
	"io"
	"net/http"
	"strings"

	"github.com/pkg/errors"

	"github.com/oriolepier/oriolepier/internal/operator/option"
	"github.com/oriolepier/oriolepier/internal/schedule/job"
	"github.com/oriolepier/oriolepier/platform"
)

// Sizes of answers and ids.
const (
	maxAnswerBytes = 16 << 20 // bytes read of an answer of an entry
	jobIDBytes     = 8        // 16 hexadecimal digits
)

// submit submits a job and prints its id.
func (ses *session) submit(ctx context.Context) error {
	opts := ses.opts.Submit
	id := opts.ID
	if id == "" {
		random := make([]byte, jobIDBytes)
		_, _ = rand.Read(random) // never fails
		id = hex.EncodeToString(random)
	}
	body, err := platform.EncodeSubmission(job.Spec{Text: opts.Text, Steps: []job.Step{{
		Count: opts.Tasks, MilliCPU: opts.MilliCores, MemoryMB: opts.MemoryMB, EstimateMS: int64(opts.RunMS),
	}}})
	if err != nil {
		return err
	}
	if _, err := ses.call(ctx, opts.EntryTarget, http.MethodPost, jobPath(opts.Prefix, id), body); err != nil {
		return errors.WithMessagef(err, "job %s", id)
	}
	ses.printf("%s", id)
	return nil
}

// status prints a job's state.
func (ses *session) status(ctx context.Context) error {
	opts := ses.opts.Status
	answer, err := ses.call(ctx, opts.EntryTarget, http.MethodGet, jobPath(opts.Prefix, opts.Args.ID), nil)
	if err != nil {
		return err
	}
	ses.printf("%s", answer)
	return nil
}

// cancel cancels a job.
func (ses *session) cancel(ctx context.Context) error {
	opts := ses.opts.Cancel
	if _, err := ses.call(ctx, opts.EntryTarget, http.MethodDelete, jobPath(opts.Prefix, opts.Args.ID), nil); err != nil {
		return err
	}
	ses.printf("cancelled")
	return nil
}

// dump prints an entry's state.
func (ses *session) dump(ctx context.Context) error {
	answer, err := ses.call(ctx, ses.opts.Dump.EntryTarget, http.MethodGet, "/state", nil)
	if err != nil {
		return err
	}
	ses.printf("%s", answer)
	return nil
}

func jobPath(prefix, id string) string {
	return "/" + strings.Trim(prefix, "/") + "/" + id
}

// call sends a request to an entry and returns the body of the answer. A status
// other than 200 is an error.
func (ses *session) call(ctx context.Context, server option.EntryTarget, method, path string, body []byte) ([]byte, error) {
	ctx, stop := context.WithTimeout(ctx, server.TimeoutMS.Duration())
	defer stop()
	request, err := http.NewRequestWithContext(ctx, method, strings.TrimSuffix(server.Entry, "/")+path, bytes.NewReader(body))
	if err != nil {
		return nil, errors.Wrap(err, "build request")
	}
	response, err := http.DefaultClient.Do(request)
	if err != nil {
		return nil, errors.Wrapf(err, "unknown: call %s", server.Entry)
	}
	defer func() { _ = response.Body.Close() }()
	data, err := io.ReadAll(io.LimitReader(response.Body, maxAnswerBytes))
	if err != nil {
		return nil, errors.Wrapf(err, "unknown: read answer of %s", server.Entry)
	}
	if response.StatusCode != http.StatusOK {
		return nil, errors.Errorf("%s answered %s: %s", server.Entry, response.Status, strings.TrimSpace(string(data)))
	}
	return data, nil
}
