package api

import (
	"context"
	"net/http"
	"strings"

	"github.com/danielgtaylor/huma/v2"
	"github.com/pkg/errors"

	"github.com/oriolepier/oriolepier/internal/base/fault"
	"github.com/oriolepier/oriolepier/internal/base/problem"
)

// newProblem makes the API library's own refusals (bad input, too large, too
// slow) problems of ours. They are found before the work begins.
func newProblem(status int, message string, errs ...error) huma.StatusError {
	details := make([]string, 0, len(errs)+1)
	details = append(details, message)
	for _, err := range errs {
		if err != nil {
			details = append(details, detailOf(err))
		}
	}
	return &problem.Problem{
		Title:   http.StatusText(status),
		Status:  status,
		Outcome: fault.NotRun,
		Step:    "read request",
		Detail:  strings.Join(details, "; "),
	}
}

// detailOf leaves out the offending value, which may be as large as the body.
func detailOf(err error) string {
	var detail *huma.ErrorDetail
	if !errors.As(err, &detail) {
		return err.Error()
	}
	if detail.Location == "" {
		return detail.Message
	}
	return detail.Location + ": " + detail.Message
}

// refusal turns an error of the control side into a typed answer.
func refusal(step string, err error) error {
	var known *problem.Problem
	if errors.As(err, &known) {
		return titled(known)
	}
	outcome := fault.OutcomeOf(err)
	out := &problem.Problem{Status: http.StatusServiceUnavailable, Step: step, Detail: err.Error(), RetryAfter: retryUnknown}
	switch {
	case outcome.Certain():
		out.Outcome = fault.NotRun
	case errors.Is(err, context.DeadlineExceeded), errors.Is(err, context.Canceled), outcome == fault.Unknown:
		out.Outcome = fault.Unknown
		out.Detail = "outcome unknown, ask again with the same key: " + err.Error()
	default:
		out.Outcome = outcome
	}
	return titled(out)
}

func titled(known *problem.Problem) *problem.Problem {
	if known.Title == "" {
		known.Title = http.StatusText(known.Status)
	}
	return known
}
