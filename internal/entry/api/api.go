// Package api is the callers' interface for tasks: submit, status, cancel and
// list, with an OpenAPI page at /docs.
//
// Every refusal is a problem.Problem that says whether the work ran. A
// submission is answered 202 only when its record is in the log; an unknown
// outcome says so and asks for the same key again, which meets the first one
// if that arrived.
//
// # Usage
//
//	mux := http.NewServeMux()
//	api.Register(mux, api.Backing{Submit: control.Submit, ...})
package api

import (
	"context"
	"net/http"
	"sync"

	"github.com/danielgtaylor/huma/v2"
	"github.com/danielgtaylor/huma/v2/adapters/humago"

	"github.com/oriolepier/oriolepier/internal/base/amount"
	"github.com/oriolepier/oriolepier/internal/base/clock"
	"github.com/oriolepier/oriolepier/internal/base/fault"
	"github.com/oriolepier/oriolepier/internal/base/problem"
	"github.com/oriolepier/oriolepier/internal/batch/job"
)

// Bounds of what callers send.
const (
	maxBodyBytes              = 256 << 10
	bodyTimeout  clock.Millis = 5 * clock.Second
	answerWithin clock.Millis = 8 * clock.Second // of the control side
	retryUnknown clock.Millis = 1 * clock.Second
	maxListed                 = 1000
)

// Backing does what the interface offers. Errors are *fault.Fault or
// *problem.Problem.
type Backing struct {
	Submit func(ctx context.Context, spec job.Spec) (job.Status, error)
	Cancel func(ctx context.Context, id string) (job.Status, error)
	Status func(ctx context.Context, id string) (status job.Status, known bool, err error)
	List   func(ctx context.Context, caller string, phase job.Phase, limit int) ([]job.Status, error)
}

// Submission is the body of a submission.
type Submission struct {
	Caller  string        `json:"caller" minLength:"1" maxLength:"200" doc:"who submits"`
	Key     string        `json:"key" minLength:"1" maxLength:"200" doc:"names the job; the same caller and key always mean the same job"`
	Route   string        `json:"route" minLength:"1" maxLength:"200" doc:"name in the routes table"`
	Kind    string        `json:"kind,omitempty" maxLength:"200" doc:"what it runs; noise is estimated per kind"`
	Payload string        `json:"payload,omitempty" maxLength:"65536" doc:"handed to the worker as it is"`
	Size    amount.Amount `json:"size" doc:"processors, memory and accelerators it needs"`
	RunMS   clock.Millis  `json:"run_ms,omitempty" minimum:"0" doc:"expected run time; not trusted"`
}

type submitInput struct{ Body Submission }

type idInput struct {
	ID string `path:"id" maxLength:"300"`
}

type listInput struct {
	Caller string    `query:"caller" maxLength:"200"`
	Phase  job.Phase `query:"phase" enum:"queued,running,evicting,handed,returned,finished,cancelled,parked"`
	Limit  int       `query:"limit" minimum:"1" maximum:"1000" default:"100"`
}

type statusOutput struct{ Body job.Status }

type listOutput struct {
	Body struct {
		Tasks []job.Status `json:"tasks"`
	}
}

// installProblems replaces the API library's errors, which are global to the
// process, once for all entries in it.
var installProblems = sync.OnceFunc(func() { huma.NewError = newProblem })

// Register adds the interface to a mux.
func Register(mux *http.ServeMux, backing Backing) {
	installProblems()
	config := huma.DefaultConfig("oriolepier tasks", "1.0.0")
	config.Info.Description = "Submit tasks and follow them. Requests under routes go to any other path."
	config.CreateHooks = nil // no $schema links in answers
	surface := humago.New(mux, config)

	huma.Register(surface, operation(http.MethodPost, "/v1/tasks", "submit-task", http.StatusAccepted),
		func(ctx context.Context, in *submitInput) (*statusOutput, error) {
			return answer(ctx, "submit", func(ctx context.Context) (job.Status, error) {
				return backing.Submit(ctx, in.Body.spec())
			})
		})
	huma.Register(surface, operation(http.MethodDelete, "/v1/tasks/{id}", "cancel-task", http.StatusAccepted),
		func(ctx context.Context, in *idInput) (*statusOutput, error) {
			return answer(ctx, "cancel", func(ctx context.Context) (job.Status, error) {
				return backing.Cancel(ctx, in.ID)
			})
		})
	huma.Register(surface, operation(http.MethodGet, "/v1/tasks/{id}", "task-status", http.StatusOK),
		func(ctx context.Context, in *idInput) (*statusOutput, error) {
			return answer(ctx, "status", func(ctx context.Context) (job.Status, error) {
				return known(backing.Status(ctx, in.ID))
			})
		})
	huma.Register(surface, operation(http.MethodGet, "/v1/tasks", "list-tasks", http.StatusOK),
		func(ctx context.Context, in *listInput) (*listOutput, error) {
			limited, cancel := context.WithTimeout(ctx, answerWithin.Duration())
			defer cancel()
			jobs, err := backing.List(limited, in.Caller, in.Phase, min(in.Limit, maxListed))
			if err != nil {
				return nil, refusal("list", err)
			}
			out := &listOutput{}
			out.Body.Tasks = jobs
			return out, nil
		})
}

func operation(method, path, id string, status int) huma.Operation {
	return huma.Operation{
		OperationID:     id,
		Method:          method,
		Path:            path,
		DefaultStatus:   status,
		MaxBodyBytes:    maxBodyBytes,
		BodyReadTimeout: bodyTimeout.Duration(),
	}
}

func (s Submission) spec() job.Spec {
	return job.Spec{
		Caller:  s.Caller,
		Key:     s.Key,
		Route:   s.Route,
		Kind:    s.Kind,
		Payload: s.Payload,
		Size:    s.Size,
		RunMS:   s.RunMS,
	}
}

func answer(ctx context.Context, step string, call func(context.Context) (job.Status, error)) (*statusOutput, error) {
	limited, cancel := context.WithTimeout(ctx, answerWithin.Duration())
	defer cancel()
	status, err := call(limited)
	if err != nil {
		return nil, refusal(step, err)
	}
	return &statusOutput{Body: status}, nil
}

func known(status job.Status, found bool, err error) (job.Status, error) {
	if err != nil {
		return status, err
	}
	if !found {
		return status, &problem.Problem{
			Status:  http.StatusNotFound,
			Outcome: fault.NotRun,
			Step:    "status",
			Detail:  "no such task, or it ended so long ago that it is forgotten",
		}
	}
	return status, nil
}
