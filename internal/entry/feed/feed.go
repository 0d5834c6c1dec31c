// Package feed reads the platform for the control thread: one reader a stream,
// one for the VM list, one for usage reports. A failed read is told, never
// hidden, since leases and takeovers depend on an unbroken view.
//
// # Usage
//
//	reader := feed.NewStream(feed.StreamOptions{Stream: "config", Log: log, ...})
//	err := reader.Serve(ctx) // under the supervisor
package feed

import (
	"context"

	"github.com/pkg/errors"

	"github.com/oriolepier/oriolepier/internal/base/clock"
	"github.com/oriolepier/oriolepier/internal/entry/event"
	"github.com/oriolepier/oriolepier/internal/platform/inventory"
	"github.com/oriolepier/oriolepier/internal/platform/stream"
	"github.com/oriolepier/oriolepier/internal/platform/worker"
)

// Pace and patience of the readers.
const (
	pageRecords               = 500
	readTimeout  clock.Millis = 2 * clock.Second
	failurePause clock.Millis = 300 // between failed reads
	listPause    clock.Millis = 1 * clock.Second
	listTimeout  clock.Millis = 5 * clock.Second
	usagePause   clock.Millis = 2 * clock.Second
)

// StreamOptions of one stream's reader.
type StreamOptions struct {
	Stream string
	Log    stream.Log
	Inbox  *event.Inbox
	Clock  clock.Clock
	First  stream.Offset   // where to begin
	Poke   <-chan struct{} // ends a pause early
}

// Stream reads one stream on and on.
type Stream struct{ options StreamOptions }

// NewStream returns a reader.
func NewStream(options StreamOptions) *Stream { return &Stream{options: options} }

// String names the reader in the supervisor's reports.
func (s *Stream) String() string { return "read " + s.options.Stream }

// Serve reads until the context ends.
func (s *Stream) Serve(ctx context.Context) error {
	from := max(s.options.First, 1)
	for ctx.Err() == nil {
		sentAt := s.options.Clock.Now()
		page, err := s.read(ctx, from)
		if err != nil {
			if err := s.failed(ctx, err); err != nil {
				return err
			}
			continue
		}
		next := make(chan event.ReadOn, 1)
		ev := event.StreamRead{Stream: s.options.Stream, From: from, Page: page, SentAt: sentAt, Next: next}
		atEnd := page.AtEnd(from)
		on, err := event.Call(ctx, s.options.Inbox, ev, next)
		if err != nil {
			return err
		}
		from = on.From
		if !atEnd {
			continue
		}
		// Ends early when somebody knows of news.
		if err := s.options.Clock.Pause(ctx, on.Pause, s.options.Poke); err != nil {
			return err
		}
	}
	return ctx.Err()
}

func (s *Stream) read(ctx context.Context, from stream.Offset) (stream.Page, error) {
	limited, cancel := context.WithTimeout(ctx, readTimeout.Duration())
	defer cancel()
	return s.options.Log.Read(limited, s.options.Stream, from, pageRecords)
}

func (s *Stream) failed(ctx context.Context, err error) error {
	if ctx.Err() != nil {
		return ctx.Err()
	}
	post := s.options.Inbox.Post(ctx, event.StreamFailed{Stream: s.options.Stream, Err: err})
	if post != nil {
		return post
	}
	return s.options.Clock.Sleep(ctx, failurePause)
}

// VMs reads the VM list of the failure domains that matter to this entry.
type VMs struct {
	List    inventory.List
	Domains func() []string // none: all
	Inbox   *event.Inbox
	Clock   clock.Clock
}

// String names the reader in the supervisor's reports.
func (v *VMs) String() string { return "read VM list" }

// Serve reads until the context ends. A failed read keeps the last list.
func (v *VMs) Serve(ctx context.Context) error {
	for ctx.Err() == nil {
		limited, cancel := context.WithTimeout(ctx, listTimeout.Duration())
		vms, err := v.List.Fetch(limited, v.Domains()...)
		cancel()
		read := event.VMsRead{VMs: vms, At: v.Clock.Now(), Unchanged: errors.Is(err, inventory.ErrUnchanged)}
		if err == nil || read.Unchanged {
			if err := v.Inbox.Post(ctx, read); err != nil {
				return err
			}
		}
		if err := v.Clock.Sleep(ctx, listPause); err != nil {
			return err
		}
	}
	return ctx.Err()
}

// Usage reads the usage reports of one failure domain, while they are wanted.
type Usage struct {
	Domain string
	Wanted func() bool
	Usages worker.Usages
	Inbox  *event.Inbox
	Clock  clock.Clock
}

// String names the reader in the supervisor's reports.
func (u *Usage) String() string { return "read usage " + u.Domain }

// Serve reads until the context ends. A failed read changes nothing: policies
// let old measurements fade.
func (u *Usage) Serve(ctx context.Context) error {
	for ctx.Err() == nil {
		if err := u.Clock.Sleep(ctx, usagePause); err != nil {
			return err
		}
		if !u.Wanted() {
			continue
		}
		limited, cancel := context.WithTimeout(ctx, listTimeout.Duration())
		usages, err := u.Usages.Fetch(limited, u.Domain)
		cancel()
		if err == nil {
			if err := u.Inbox.Post(ctx, event.UsageRead{Domain: u.Domain, Usages: usages}); err != nil {
				return err
			}
		}
	}
	return ctx.Err()
}
