package remote_test

import (
	"bytes"
	"compress/gzip"
	"encoding/json"
	"fmt"
	"net/http/httptest"
	"strings"
	"testing"

	"github.com/pkg/errors"

	"github.com/oriolepier/oriolepier/internal/base/amount"
	"github.com/oriolepier/oriolepier/internal/base/clock"
	"github.com/oriolepier/oriolepier/internal/platform/inventory"
	"github.com/oriolepier/oriolepier/internal/platform/remote"
	"github.com/oriolepier/oriolepier/internal/platform/worker"
	"github.com/oriolepier/oriolepier/internal/standin/fleet"
	"github.com/oriolepier/oriolepier/internal/standin/journal"
	"github.com/oriolepier/oriolepier/internal/standin/machine"
)

// packed reports the size of an answer on the wire, plain and packed.
func packed(b *testing.B, value any) {
	data, err := json.Marshal(value)
	if err != nil {
		b.Fatal(err)
	}
	var small bytes.Buffer
	packer := gzip.NewWriter(&small)
	_, _ = packer.Write(data)
	_ = packer.Close()
	b.ReportMetric(float64(len(data)), "plain_bytes")
	b.ReportMetric(float64(small.Len()), "packed_bytes")
}

func BenchmarkAppend(b *testing.B) {
	log := journal.New(journal.Options{Clock: clock.New()})
	server := httptest.NewServer(log.Handler())
	defer server.Close()
	client := remote.NewLog(server.URL, nil)
	for _, size := range []int{100, 10_000} {
		b.Run(fmt.Sprint(size), func(b *testing.B) {
			data := make([]byte, size)
			for b.Loop() {
				if _, err := client.Append(b.Context(), "s", data); err != nil {
					b.Fatal(err)
				}
			}
		})
	}
}

// Reading at the end of a stream is what every reader does all the time.
func BenchmarkReadAtEnd(b *testing.B) {
	log := journal.New(journal.Options{Clock: clock.New()})
	server := httptest.NewServer(log.Handler())
	defer server.Close()
	client := remote.NewLog(server.URL, nil)
	for b.Loop() {
		if _, err := client.Read(b.Context(), "s", 1, 500); err != nil {
			b.Fatal(err)
		}
	}
}

func BenchmarkRenew(b *testing.B) {
	for _, tasks := range []int{0, 28, 100} {
		b.Run(fmt.Sprint(tasks), func(b *testing.B) {
			vm := machine.New(machine.Options{VM: inventory.VM{Name: "a1"}, Clock: clock.New()})
			server := httptest.NewServer(vm.AgentHandler())
			defer server.Close()
			agent, address := remote.NewAgent(nil), strings.TrimPrefix(server.URL, "http://")
			report, err := agent.Look(b.Context(), address)
			if err != nil {
				b.Fatal(err)
			}
			order := worker.StartOrder{Cell: "a.0", Boot: report.Boot, NotAfter: 1 << 40, LeaseUntil: 1 << 40, Payload: `{"never_ending":true}`}
			for number := range tasks {
				order.Job, order.Attempt = fmt.Sprintf("a.0-%016x", number*7919), 1
				if _, err := agent.Start(b.Context(), address, order); err != nil {
					b.Fatal(err)
				}
			}
			for b.Loop() {
				if report, err = agent.Renew(b.Context(), address, worker.RenewOrder{Cell: "a.0", Boot: report.Boot, LeaseUntil: 1 << 41}); err != nil {
					b.Fatal(err)
				}
			}
			packed(b, report)
		})
	}
}

func row(number int) inventory.VM {
	return inventory.VM{
		Name: fmt.Sprintf("a-worker-%05d", number), Role: inventory.Worker, FailureDomain: "a", Rack: fmt.Sprintf("a-rack-%03d", number/11),
		State: inventory.Live, Size: amount.Amount{MilliCores: 64_000, MemoryMB: 250_000},
		Requests: fmt.Sprintf("10.0.%d.%d:8000", number/250, number%250), Agent: fmt.Sprintf("10.0.%d.%d:8001", number/250, number%250),
	}
}

func BenchmarkList(b *testing.B) {
	for _, size := range []int{100, 1200, 25_000} {
		for _, changing := range []bool{false, true} {
			b.Run(fmt.Sprintf("%d/changing=%v", size, changing), func(b *testing.B) { benchList(b, size, changing) })
		}
	}
}

func benchList(b *testing.B, size int, changing bool) {
	list := fleet.New(fleet.Options{Clock: clock.NewFake(clock.Hour).Clock()})
	for number := range size {
		list.Put(row(number))
	}
	server := httptest.NewServer(list.Handler())
	defer server.Close()
	client := remote.NewList(server.URL, nil)
	vms, err := client.Fetch(b.Context())
	if err != nil {
		b.Fatal(err)
	}
	for number := 0; b.Loop(); number++ {
		if changing {
			changed := row(0)
			changed.Rack = fmt.Sprint(number)
			list.Put(changed)
		}
		if _, err := client.Fetch(b.Context()); err != nil && !errors.Is(err, inventory.ErrUnchanged) {
			b.Fatal(err)
		}
	}
	packed(b, vms)
}

// A domain of letter 1's size: 1,200 workers with 27 tasks each.
func BenchmarkUsage(b *testing.B) {
	list := fleet.New(fleet.Options{Clock: clock.NewFake(clock.Hour).Clock()})
	for number := range 1200 {
		vm := row(number)
		list.Put(vm)
		usage := worker.Usage{VM: vm.Name, Used: amount.Amount{MilliCores: int64(30_000 + number), MemoryMB: int64(90_000 + number)}}
		usage.Services = []worker.Service{{Name: "ration", P99MS: clock.Millis(20 + number%9), SlowdownPerc: 100 + number%50}}
		for task := range 27 {
			usage.TaskUsage = append(usage.TaskUsage, worker.TaskUsage{
				Job: fmt.Sprintf("a.0-%016x", (number*27+task)*7919), Attempt: 1, Kind: "forecast",
				Used: amount.Amount{MilliCores: int64(900 + task), MemoryMB: int64(2000 + number)}, Progress: (number + task) % 100,
			})
		}
		list.Report(usage)
	}
	server := httptest.NewServer(list.Handler())
	defer server.Close()
	client := remote.NewUsages(server.URL, nil)
	var usages []worker.Usage
	for b.Loop() {
		var err error
		if usages, err = client.Fetch(b.Context(), "a"); err != nil {
			b.Fatal(err)
		}
	}
	packed(b, usages)
}
