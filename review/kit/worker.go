package main

import (
	"context"
	"encoding/json"
	"flag"
	"fmt"
	"net"
	"os"
	"strconv"
	"strings"
	"sync"
	"time"

	"github.com/oriolepier/oriolepier/internal/base/clock"
	"github.com/oriolepier/oriolepier/internal/schedule/fleet"
	"github.com/oriolepier/oriolepier/internal/schedule/job"
	"github.com/oriolepier/oriolepier/internal/standin/worker"
	"github.com/oriolepier/oriolepier/platform"
)

// A job's id tells the stand-ins of workers what its tasks do: 4 hexadecimal digits for
// the length of a run in units of 10 ms (0: until it is stopped), 4 for the milli-CPU that
// a task uses, and 8 that number the job, of which the first is f if all runs fail.

// lengthUnit is the unit of lengths in ids, in ms.
const lengthUnit = 10

// newID returns the id of a job whose runs take a number of ms.
func newID(length, milliCPU, number int) string {
	return fmt.Sprintf("%04x%04x%08x", length/lengthUnit, milliCPU, number)
}

// servingTailMS is the tail latency that long-running tasks report.
const servingTailMS = 25

// failing is added to the number of a job whose runs all fail.
const failing = 0xf0000000

// workOf returns what the tasks of a job do.
func workOf(task job.Task) worker.Work {
	length, errLength := strconv.ParseInt(string(task.Job[:4]), 16, 64)
	milliCPU, errCPU := strconv.ParseInt(string(task.Job[4:8]), 16, 64)
	if errLength != nil || errCPU != nil {
		return worker.Work{Length: clock.Second}
	}
	usage := milliCPU
	if length == 0 {
		usage = servingTailMS
	}
	return worker.Work{Length: clock.Millis(length * lengthUnit), Room: fleet.Room{MilliCPU: milliCPU}, Usage: usage, Fails: task.Job[8] == 'f'}
}

// runEvent is a line that a worker writes for each start and end of a run.
type runEvent struct {
	AtMS   int64  `json:"at_ms"` // Unix time
	Worker string `json:"worker"`
	Kind   string `json:"kind"`
	Job    string `json:"job"`
	Step   int    `json:"step"`
	Index  int    `json:"index"`
	Run    int    `json:"run"`
	Cause  string `json:"cause,omitempty"`
	Labels string `json:"labels"` // of this life of the worker
}

// runWorker serves one stand-in of a worker until the context ends.
func runWorker(ctx context.Context, args []string) error {
	flags := flag.NewFlagSet("worker", flag.ContinueOnError)
	id := flags.String("id", "", "id of the worker")
	listen := flags.String("listen", "", "address")
	store := flags.String("store", "", "address of the store")
	pool := flags.String("pool", "", "pool of the worker")
	zone := flags.String("zone", "", "zone of the worker")
	labels := flags.String("labels", "", "labels, separated by commas")
	cpu := flags.Int64("cpu", 0, "milli-CPU of the worker")
	memory := flags.Int64("mem", 0, "memory of the worker in MB")
	events := flags.String("events", "", "file for starts and ends of runs")
	if err := flags.Parse(args); err != nil {
		return err
	}
	file, err := os.OpenFile(*events, os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o600)
	if err != nil {
		return err
	}
	defer func() { _ = file.Close() }()
	listener, err := new(net.ListenConfig).Listen(ctx, "tcp", *listen)
	if err != nil {
		return err
	}
	clk := clock.New()
	w := worker.New(fleet.Entry{
		ID: *id, Service: *pool, Domain: *zone, Labels: strings.Split(*labels, ","),
		Room: fleet.Room{MilliCPU: *cpu, MemoryMB: *memory},
	}, clk.Now())
	w.Entry.Incarnation = time.Now().UnixMilli()
	w.DrawWork = workOf
	var mu sync.Mutex
	w.OnEvent = func(event worker.Event) {
		if event.Kind != worker.RunStarted && event.Kind != worker.RunEnded {
			return
		}
		line := runEvent{
			AtMS: time.Now().UnixMilli(), Worker: *id, Kind: string(event.Kind), Job: string(event.Task.Job),
			Step: event.Task.Step, Index: event.Task.Index, Run: event.Run, Labels: *labels,
		}
		if event.Kind == worker.RunEnded {
			line.Cause = event.Cause.String()
		}
		data, err := json.Marshal(line)
		if err != nil {
			return // a struct of numbers and strings can be encoded
		}
		mu.Lock()
		defer mu.Unlock()
		_, _ = file.Write(append(data, '\n')) // a missing start or end shows in the result
	}
	return worker.NewHost(w, clk, platform.NewStore(*store).Log()).Serve(ctx, listener)
}
