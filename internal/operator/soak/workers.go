package soak

import (
	"context"
	"encoding/json"
	"math/rand/v2"
	"net"
	"os"
	"sync"

	"github.com/pkg/errors"
	"golang.org/x/sync/errgroup"

	"github.com/oriolepier/oriolepier/internal/base/clock"
	"github.com/oriolepier/oriolepier/internal/schedule/fleet"
	"github.com/oriolepier/oriolepier/internal/schedule/job"
	"github.com/oriolepier/oriolepier/internal/standin/worker"
	"github.com/oriolepier/oriolepier/platform"
)

// poolName is the pool of all workers.
const poolName = "soak"

// clockRangeMS is the reading below which the clock of a worker starts, in ms.
const clockRangeMS = 10_000_000

// workerSet is the file that tells a process which workers to run.
type workerSet struct {
	Store   string          `json:"store"`  // address at which the workers register
	Events  string          `json:"events"` // file to which events are appended
	Workers []workerSetting `json:"workers"`
}

// workerSetting describes one worker.
type workerSetting struct {
	ID        string `json:"id"`
	Listen    string `json:"listen"`
	Domain    string `json:"failure_domain"`
	SlowClock bool   `json:"slow_clock"`
}

// RunWorkers runs the workers of a file in this process until the context ends, and
// appends a line to the event file for everything that happens on them.
func RunWorkers(ctx context.Context, file string) error {
	data, err := os.ReadFile(file)
	if err != nil {
		return errors.Wrap(err, "read workers")
	}
	var set workerSet
	if err := json.Unmarshal(data, &set); err != nil {
		return errors.Wrapf(err, "decode workers %s", file)
	}
	events, err := os.OpenFile(set.Events, os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o600)
	if err != nil {
		return errors.Wrap(err, "open events")
	}
	defer func() { _ = events.Close() }()
	log := &eventLog{file: events}
	store := platform.NewStore(set.Store).Log()
	clk := clock.NewShared()
	group, ctx := errgroup.WithContext(ctx)
	for _, setting := range set.Workers {
		listener, err := new(net.ListenConfig).Listen(ctx, "tcp", setting.Listen)
		if err != nil {
			return errors.Wrapf(err, "listen at %s", setting.Listen)
		}
		host := worker.NewHost(newWorker(setting, clk, log), clk, store)
		group.Go(func() error { return host.Serve(ctx, listener) })
	}
	return group.Wait()
}

func newWorker(setting workerSetting, clk clock.Clock, log *eventLog) *worker.Worker {
	w := worker.New(fleet.Entry{
		ID: setting.ID, Service: poolName, Domain: setting.Domain, Labels: []string{"standard", "rack-" + setting.Domain},
		Room: fleet.Room{MilliCPU: slotsPerWorker * taskMilliCPU, MemoryMB: 2 * slotsPerWorker * taskMemoryMB},
	}, clk.Now())
	w.SlowClock = setting.SlowClock
	w.StartClockAt(rand.Int64N(clockRangeMS))
	w.AdmissionCheck = false // so that too much work on a worker is seen and not refused
	w.DrawWork = func(task job.Task) worker.Work { return workOf(task) }
	w.OnEvent = func(event worker.Event) { log.append(setting.ID, w.Entry.Incarnation, event) }
	return w
}

// eventLog appends lines to an event file, unbuffered, so that no line is lost when
// the process is killed.
type eventLog struct {
	mu   sync.Mutex
	file *os.File
}

func (l *eventLog) append(workerID string, incarnation int64, event worker.Event) {
	line := workerEvent{
		At: event.At, Worker: workerID, Incarnation: incarnation, Kind: event.Kind, Job: string(event.Task.Job),
		Step: event.Task.Step, Index: event.Task.Index, Run: event.Run, Token: event.Token, Until: event.Until,
	}
	if event.Kind == worker.RunEnded {
		line.Cause = event.Cause.String()
	}
	data, err := json.Marshal(line)
	if err != nil {
		return // a struct of numbers and strings can be encoded
	}
	l.mu.Lock()
	defer l.mu.Unlock()
	_, _ = l.file.Write(append(data, '\n')) // the soak notices a missing end as a lost job
}
