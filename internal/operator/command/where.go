package command

import (
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"net/url"
	"os"
	"strings"
	"text/tabwriter"

	"github.com/pkg/errors"

	"github.com/oriolepier/oriolepier/internal/schedule/owner"
)

// where prints where a job or a submission would be placed now.
func (ses *session) where(ctx context.Context) error {
	data, err := ses.askWhere(ctx)
	if err != nil {
		return err
	}
	if ses.opts.Where.JSON {
		ses.printf("%s", data)
		return nil
	}
	var answer owner.WhereAnswer
	if err := json.Unmarshal(data, &answer); err != nil {
		return errors.Wrap(err, "read the answer")
	}
	ses.printWhere(answer)
	return nil
}

// askWhere returns the owner's answer.
func (ses *session) askWhere(ctx context.Context) ([]byte, error) {
	opts := ses.opts.Where
	if opts.Path == "" {
		return ses.call(ctx, opts.EntryTarget, http.MethodGet, "/where?"+url.Values{"job": {opts.Args.Arg}}.Encode(), nil)
	}
	body, err := ses.readSubmission(opts.Args.Arg)
	if err != nil {
		return nil, errors.Wrap(err, "read submission")
	}
	params := url.Values{"host": {opts.Host}, "path": {opts.Path}, "customer": {opts.Customer}}
	return ses.call(ctx, opts.EntryTarget, http.MethodPost, "/where?"+params.Encode(), body)
}

// readSubmission reads a file, or standard input if its name is "-".
func (ses *session) readSubmission(name string) ([]byte, error) {
	if name == "-" {
		return io.ReadAll(ses.streams.In)
	}
	return os.ReadFile(name)
}

// printWhere prints an answer as a table.
func (ses *session) printWhere(answer owner.WhereAnswer) {
	subject := "submission"
	if answer.Job != "" {
		subject = "job " + answer.Job + " " + answer.State
	}
	ses.printf("%s, queue %s, priority %d%s", subject, answer.Queue, answer.Priority, customerText(answer))
	if answer.Refusal != "" {
		ses.printf("refused: %s", answer.Refusal)
	}
	ses.printf("pools %s: %d workers%s", strings.Join(answer.Pools, ", "), answer.Workers, countsText(", no new runs on ", answer.Unusable))
	if answer.JobsAhead >= 0 {
		ses.printf("jobs ahead: %d", answer.JobsAhead)
	}
	if len(answer.Steps) == 0 {
		ses.printf("no task to place")
		return
	}
	table := tabwriter.NewWriter(ses.streams.Out, 0, 0, 2, ' ', 0)
	_, _ = fmt.Fprintln(table, "STEP\tWAITING\tNEXT TASK\tREJECTED\tRESERVED")
	for _, step := range answer.Steps {
		_, _ = fmt.Fprintf(table, "%d\t%d\t%s\t%s\t%s\n", step.Step, step.Waiting, nextText(step), orDash(countsText("", step.Rejected)), orDash(reservedText(step.Reserved)))
	}
	_ = table.Flush() // a closed output has no other place for the error
}

func customerText(answer owner.WhereAnswer) string {
	text := ""
	if answer.Customer != "" {
		text = ", customer " + answer.Customer
	}
	if answer.Excess {
		text += ", in excess of its rate"
	}
	return text
}

// nextText says where the next task of a step starts, or what it waits for.
func nextText(step owner.WhereStep) string {
	text := "waits: " + step.Reason
	switch {
	case step.Worker != "" && step.Moves:
		text = "starts on " + step.Worker + ", cleared for it"
	case step.Worker != "":
		text = fmt.Sprintf("starts on %s, best of %d in %s", step.Worker, step.Suitable, step.Pool)
	case step.RetryIn > 0:
		text = fmt.Sprintf("%s, again in %d ms", text, step.RetryIn)
	}
	if len(step.After) > 0 {
		text = fmt.Sprintf("after steps %v: %s", step.After, text)
	}
	return text
}

// countsText lists counts of workers after a heading, or is empty without any.
func countsText(heading string, counts []owner.WorkerCount) string {
	if len(counts) == 0 {
		return ""
	}
	words := make([]string, len(counts))
	for i, count := range counts {
		words[i] = fmt.Sprintf("%s %d", count.Reason, count.Workers)
	}
	return heading + strings.Join(words, ", ")
}

// orDash returns the text of a cell, which is not left empty.
func orDash(text string) string {
	if text == "" {
		return "-"
	}
	return text
}

func reservedText(reserved []owner.WhereReservation) string {
	words := make([]string, len(reserved))
	for i, held := range reserved {
		words[i] = fmt.Sprintf("%s in %d to %d ms", held.Worker, held.LikelyStart, held.SureStart)
	}
	return strings.Join(words, ", ")
}
