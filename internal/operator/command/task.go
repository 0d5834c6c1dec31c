package command

import (
	"context"
	"encoding/json"
	"fmt"
	"net/http"
	"net/url"
	"os"
	"strconv"

	"github.com/oklog/ulid/v2"
	"github.com/pkg/errors"
	"github.com/samber/lo"
	"golang.org/x/sync/errgroup"

	"github.com/oriolepier/oriolepier/internal/base/amount"
	"github.com/oriolepier/oriolepier/internal/base/clock"
	"github.com/oriolepier/oriolepier/internal/base/fault"
	"github.com/oriolepier/oriolepier/internal/base/problem"
	"github.com/oriolepier/oriolepier/internal/batch/job"
	"github.com/oriolepier/oriolepier/internal/config/document"
	"github.com/oriolepier/oriolepier/internal/operator/option"
)

const (
	tasksPath     = "/v1/tasks"
	maxAtOnce     = 8       // calls to the entry
	maxTasksBytes = 8 << 20 // file of tasks
)

// task is what submit sends, and a row of a file of tasks.
type task struct {
	Caller  string        `json:"caller"`
	Key     string        `json:"key"`
	Route   string        `json:"route"`
	Kind    string        `json:"kind"`
	Payload string        `json:"payload"`
	Size    amount.Amount `json:"size"`
	RunMS   clock.Millis  `json:"run_ms"`
}

type taskFile struct {
	Tasks []task `json:"tasks"`
}

// outcome is the line that is printed of a call that failed.
type outcome struct {
	ID      string        `json:"id,omitempty"`
	Caller  string        `json:"caller,omitempty"`
	Key     string        `json:"key,omitempty"`
	Outcome fault.Outcome `json:"outcome"`
	Detail  string        `json:"detail"`
}

// Submits one task or those of a file.
func (ses *session) submit(ctx context.Context) int {
	tasks, err := ses.tasks()
	if err != nil {
		return ses.fail(err)
	}
	peer, err := newServer(ses.opts.Submit.Server)
	if err != nil {
		return ses.fail(err)
	}
	return each(ctx, ses, tasks, func(ctx context.Context, item task) (any, error) {
		var status job.Status
		if err := peer.call(ctx, http.MethodPost, tasksPath, item, &status); err != nil {
			return failed(outcome{Caller: item.Caller, Key: item.Key}, err), err
		}
		return status, nil
	})
}

func (ses *session) tasks() ([]task, error) {
	opts := ses.opts.Submit
	if opts.File != "" {
		return ses.tasksOf(opts.File)
	}
	item := task{
		Caller: opts.Caller, Key: opts.Key, Route: opts.Route, Kind: opts.Kind, Payload: opts.Payload, RunMS: opts.RunMS,
		Size: amount.Amount{MilliCores: opts.MilliCores, MemoryMB: opts.MemoryMB, Accelerators: opts.Accelerators},
	}
	if item.Key == "" {
		item.Key = ulid.Make().String()
		// Printed before the call: whoever stops waiting needs it to ask again.
		ses.complainf("key %s", item.Key)
	}
	return []task{item}, nil
}

func (ses *session) tasksOf(name string) ([]task, error) {
	data, err := os.ReadFile(name)
	if err != nil {
		return nil, errors.Wrap(err, "read tasks")
	}
	doc, findings := document.Parse(name, data, maxTasksBytes)
	var file taskFile
	if len(findings) == 0 {
		findings = doc.Decode(&file,
			document.Shape{Prototype: taskFile{}, Required: []string{"tasks"}},
			document.Shape{Prototype: task{}, Required: []string{"caller", "key", "route", "size"}})
	}
	seen := map[[2]string]bool{}
	for at, item := range file.Tasks {
		pair := [2]string{item.Caller, item.Key}
		if seen[pair] && len(findings) == 0 {
			findings = append(findings, doc.Locate(document.Finding{
				Field: fmt.Sprintf("tasks[%d].key", at), Message: fmt.Sprintf("caller %q has the key %q twice", item.Caller, item.Key),
			}))
		}
		seen[pair] = true
	}
	for _, finding := range findings {
		ses.complainf("%s", finding)
	}
	if len(findings) > 0 {
		return nil, errors.New("nothing was submitted")
	}
	return file.Tasks, nil
}

// Prints tasks by id, or lists them.
func (ses *session) status(ctx context.Context) int {
	opts := ses.opts.Status
	peer, err := newServer(opts.Server)
	if err != nil {
		return ses.fail(err)
	}
	if len(opts.Args.IDs) == 0 {
		return ses.list(ctx, peer, opts)
	}
	return each(ctx, ses, opts.Args.IDs, func(ctx context.Context, id string) (any, error) {
		var status job.Status
		if err := peer.call(ctx, http.MethodGet, taskPath(id), nil, &status); err != nil {
			return failed(outcome{ID: id}, err), err
		}
		return status, nil
	})
}

func (ses *session) list(ctx context.Context, peer *server, opts option.Status) int {
	query := url.Values{"limit": {strconv.Itoa(opts.Limit)}}
	if opts.Caller != "" {
		query.Set("caller", opts.Caller)
	}
	if opts.Phase != "" {
		query.Set("phase", opts.Phase)
	}
	var answer struct {
		Tasks []job.Status `json:"tasks"`
	}
	if err := peer.call(ctx, http.MethodGet, tasksPath+"?"+query.Encode(), nil, &answer); err != nil {
		return ses.fail(err)
	}
	for _, row := range answer.Tasks {
		ses.line(row)
	}
	return option.ExitDone
}

// Cancels tasks.
func (ses *session) cancel(ctx context.Context) int {
	opts := ses.opts.Cancel
	peer, err := newServer(opts.Server)
	if err != nil {
		return ses.fail(err)
	}
	return each(ctx, ses, opts.Args.IDs, func(ctx context.Context, id string) (any, error) {
		var status job.Status
		if err := peer.call(ctx, http.MethodDelete, taskPath(id), nil, &status); err != nil {
			return failed(outcome{ID: id}, err), err
		}
		return status, nil
	})
}

func taskPath(id string) string { return tasksPath + "/" + url.PathEscape(id) }

// Says what is known of a task whose call failed.
func failed(line outcome, err error) outcome {
	var typed *problem.Problem
	if errors.As(err, &typed) {
		line.Outcome, line.Detail = typed.Outcome, typed.Error()
	} else {
		line.Outcome, line.Detail = fault.OutcomeOf(err), err.Error()
	}
	if line.Outcome == fault.NotSent {
		line.Outcome = fault.NotRun
	}
	if line.Outcome == fault.Unknown && line.Key != "" {
		line.Detail += "; submit again with the same key"
	}
	return line
}

// Calls for each item, several at once, and prints the results in the order of
// the items. It fails if any call did.
func each[T any](ctx context.Context, ses *session, items []T, call func(context.Context, T) (any, error)) int {
	lines := make([]any, len(items))
	faults := make([]error, len(items))
	var group errgroup.Group
	group.SetLimit(maxAtOnce)
	for at, item := range items {
		group.Go(func() error {
			lines[at], faults[at] = call(ctx, item)
			return nil
		})
	}
	_ = group.Wait() // errors are kept by item
	for _, line := range lines {
		ses.line(line)
	}
	bad := len(lo.Compact(faults))
	if bad == 0 {
		return option.ExitDone
	}
	if len(items) > 1 {
		ses.complainf("%d of %d calls failed", bad, len(items))
	}
	return option.ExitFailed
}

func (ses *session) line(value any) {
	data, err := json.Marshal(value)
	if err != nil {
		ses.complainf("print: %s", err)
		return
	}
	ses.sayf("%s", data)
}
