package process

import (
	"context"
	"io"
	"net"
	"net/http"
	"strconv"
	"strings"

	"github.com/pkg/errors"
	"golang.org/x/sync/errgroup"

	"github.com/oriolepier/oriolepier/internal/base/amount"
	"github.com/oriolepier/oriolepier/internal/base/clock"
	"github.com/oriolepier/oriolepier/internal/platform/inventory"
	"github.com/oriolepier/oriolepier/internal/standin/machine"
	"github.com/oriolepier/oriolepier/internal/standin/witness"
)

// WorkerFlags are those of `oriolepier standin worker`.
type WorkerFlags struct {
	Name           string   `long:"name" value-name:"NAME" required:"true" description:"Name of the VM."`
	FailureDomain  string   `long:"failure-domain" value-name:"NAME" required:"true" description:"Failure domain of the VM."`
	Rack           string   `long:"rack" value-name:"NAME" default:"r1" description:"Rack of the VM."`
	ListenRequests string   `long:"listen-requests" value-name:"IP:PORT" default:"127.0.0.1:0" description:"Address for callers' requests."`
	ListenAgent    string   `long:"listen-agent" value-name:"IP:PORT" default:"127.0.0.1:0" description:"Address of the task agent."`
	Platform       string   `long:"platform" value-name:"URL" default:"http://127.0.0.1:7000" description:"Main address of the platform stand-in."`
	Cores          int64    `long:"cores" value-name:"N" default:"16" description:"Processors."`
	MemoryMB       int64    `long:"memory-mb" value-name:"MB" default:"60000" description:"Memory."`
	Accelerators   int64    `long:"accelerators" value-name:"N" default:"0" description:"Accelerators."`
	Slots          int      `long:"slots" value-name:"N" default:"8" description:"Requests that run at once."`
	Connections    int      `long:"connections" value-name:"N" default:"64" description:"Connections on the request address; 0 for no limit."`
	NoGuard        bool     `long:"no-guard" description:"Let requests wait for a slot instead of refusing them."`
	ServiceMS      int64    `long:"service-ms" value-name:"MS" default:"5" description:"Time that a request takes when nothing disturbs it."`
	Noise          []string `long:"noise" value-name:"[SERVICE/]KIND=PERCENT" description:"Slowdown of a service by a kind of task that holds all processors; may be given several times."`
	LoadNoise      int      `long:"load-noise" value-name:"PERCENT" default:"50" description:"Growth of that slowdown when all slots are busy."`
	AutoSaveMS     int64    `long:"auto-save-ms" value-name:"MS" default:"0" description:"Work between checkpoints of a running task; 0 for none."`
	CheckpointMS   int64    `long:"checkpoint-ms" value-name:"MS" default:"0" description:"Time that the checkpoint at a stop takes."`
	ReportMS       int64    `long:"report-ms" value-name:"MS" default:"500" description:"Time between usage reports."`
	Seed           uint64   `long:"seed" value-name:"N" default:"1" description:"Seed of service times."`
}

func runWorker(ctx context.Context, flags WorkerFlags, out io.Writer) error {
	noise, err := parseNoise(flags.Noise, flags.LoadNoise)
	if err != nil {
		return err
	}
	requests, err := listen(ctx, flags.ListenRequests)
	if err != nil {
		return err
	}
	agent, err := listen(ctx, flags.ListenAgent)
	if err != nil {
		return err
	}
	vm := flags.row(requests, agent)
	shared := witness.SharedClock()
	// Another process for a VM of the same name has other boots and its own sequence.
	life := vm.Name + "@" + strconv.FormatInt(int64(shared.Now()), 10)
	platform := &platform{base: flags.Platform, source: life, clock: shared}
	worker := machine.New(machine.Options{
		VM: vm, Clock: shared, Life: life, Seed: flags.Seed, Slots: flags.Slots, Connections: flags.Connections,
		GuardOn: !flags.NoGuard, Noise: noise, ServiceMS: clock.Millis(flags.ServiceMS),
		AutoSaveMS: clock.Millis(flags.AutoSaveMS), CheckpointMS: clock.Millis(flags.CheckpointMS),
		Observe: platform.observer(ctx),
	})
	if err := platform.put(ctx, http.MethodPut, "/standin/vms", vm); err != nil {
		return errors.Wrap(err, "enter the VM list")
	}
	printJSON(out, vm)
	return serveWorker(ctx, worker, platform, requests, agent, clock.Millis(flags.ReportMS))
}

// serveWorker runs the VM until the context ends, then leaves the list.
func serveWorker(ctx context.Context, worker *machine.Machine, platform *platform, requests, agent net.Listener, every clock.Millis) error {
	group, inner := errgroup.WithContext(ctx)
	group.Go(func() error { return worker.Serve(inner, requests, agent) })
	group.Go(func() error {
		for platform.clock.Sleep(inner, every) == nil {
			_ = platform.put(inner, http.MethodPost, "/standin/usage", worker.Usage()) // the next one follows
		}
		return nil
	})
	err := group.Wait()
	_ = platform.put(context.WithoutCancel(ctx), http.MethodDelete, "/standin/vms/"+worker.VM().Name, nil) // the platform may be gone
	return err
}

func (flags WorkerFlags) row(requests, agent net.Listener) inventory.VM {
	return inventory.VM{
		Name: flags.Name, Role: inventory.Worker, FailureDomain: flags.FailureDomain, Rack: flags.Rack, State: inventory.Live,
		Size:     amount.Amount{MilliCores: flags.Cores * 1000, MemoryMB: flags.MemoryMB, Accelerators: flags.Accelerators},
		Requests: requests.Addr().String(), Agent: agent.Addr().String(),
	}
}

func parseNoise(flags []string, load int) (machine.Noise, error) {
	noise := machine.Noise{ByPair: map[machine.Pair]int{}, LoadPercent: load}
	split, err := pairs(flags)
	if err != nil {
		return noise, errors.Wrap(err, "noise")
	}
	for name, value := range split {
		percent, err := strconv.Atoi(value)
		if err != nil {
			return noise, errors.Wrapf(err, "noise of %s", name)
		}
		service, kind, both := strings.Cut(name, "/")
		if !both {
			service, kind = "", name
		}
		noise.ByPair[machine.Pair{Service: service, Kind: kind}] = percent
	}
	return noise, nil
}
