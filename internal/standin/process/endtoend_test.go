package process_test

import (
	"fmt"
	"os"
	"path/filepath"
	"strings"
	"sync/atomic"
	"syscall"
	"testing"

	"golang.org/x/sync/errgroup"

	"github.com/oriolepier/oriolepier/internal/base/amount"
	"github.com/oriolepier/oriolepier/internal/base/clock"
	"github.com/oriolepier/oriolepier/internal/platform/worker"
	"github.com/oriolepier/oriolepier/internal/standin/load"
	"github.com/oriolepier/oriolepier/internal/standin/machine"
	"github.com/oriolepier/oriolepier/internal/standin/process"
	"github.com/oriolepier/oriolepier/internal/standin/witness"
)

const routes = `{
  "teams": [{"name": "drawer", "quota": {"milli_cores": 24000, "memory_mb": 48000}}],
  "routes": [
    {"name": "lookup", "match": {"path_prefix": "/lookup"}, "class": "urgent", "team": "drawer", "pools": ["site"],
     "deadline_ms": 5000, "repeatable": true, "retry_percent": 20},
    {"name": "order", "match": {"path_prefix": "/order"}, "class": "urgent", "team": "drawer", "pools": ["site"],
     "deadline_ms": 5000, "repeatable": false},
    {"name": "watch", "class": "batch", "team": "drawer", "pools": ["site"], "deadline_ms": 600000, "max_attempts": 5, "max_queued": 1000},
  ],
}`

const pools = `{
  "failure_domains": [{"name": "a", "cells": 1}, {"name": "b", "cells": 1}, {"name": "c", "cells": 1}],
  "pools": [
    {"name": "site", "failure_domains": ["a", "b", "c"], "slots": 8, "connections": 64, "hold_ms": 10000, "lease_ms": 4000,
     "allow_evict": true, "allow_throttle": true, "warmup_ms": 500, "max_moves_per_second": 50},
  ],
}`

// Separate processes: tables are published by the command line; requests and
// tasks run while a failure domain is taken out and put back, an entry is
// killed and another one is paused until its cell has another owner. The
// witness in the platform process is the only judge.
func TestSeparateProcesses(t *testing.T) {
	t.Parallel()
	site := newSite(t)
	site.publish()
	caller := load.New(load.Options{
		Name: "caller", Clock: witness.SharedClock(), Seed: 1, Entries: site.offered, Tries: 12,
		Observe: process.Observer(site.ctx, site.platform, "caller"),
	})
	defer caller.Close()

	var tasks errgroup.Group
	site.submit(caller, &tasks, 30)
	site.requests(caller, 100)
	site.leaveAndReturn("c")
	site.requests(caller, 50)
	site.kill("a-entry-1")
	site.requests(caller, 100)
	site.pauseOwner("b.0", caller)
	site.requests(caller, 50)
	if err := tasks.Wait(); err != nil {
		t.Error(err)
	}
	site.until("all accepted tasks finish", func() bool { return site.verdict().TasksOpen == 0 })
	site.stopEntries()
	site.judge(witness.Verdict{TasksAccepted: 31, RequestsSent: 330})
}

func (site *site) publish() {
	site.Helper()
	files := []string{filepath.Join(site.dir, "routes.json"), filepath.Join(site.dir, "pools.json")}
	site.check(os.WriteFile(files[0], []byte(routes), 0o600))
	site.check(os.WriteFile(files[1], []byte(pools), 0o600))
	if out := site.command("publish", "--log", site.platform, files[0], files[1]); !strings.HasPrefix(out, "accepted: version 1\n") {
		site.Fatalf("publish said %q", out)
	}
	site.inForce(1)
	// One task comes from the command line; the witness knows it by its key.
	payload := `{"key":"cli/one","run_ms":300}`
	site.command("submit", "--entry", "http://"+site.entries[0].settings.Listen.Callers, "--caller", "cli", "--key", "one",
		"--route", "watch", "--kind", "watch", "--payload", payload)
	process.Observer(site.ctx, site.platform, "cli")(site.ctx, witness.Event{Kind: witness.TaskAccepted, Key: "cli/one"})
}

// inForce waits until all entries are ready with a version.
func (site *site) inForce(version int64) {
	site.Helper()
	for _, entry := range site.entries {
		site.until(fmt.Sprintf("version %d in force at %s", version, entry.settings.Name), func() bool {
			var state struct {
				Ready         bool   `json:"ready"`
				Reason        string `json:"reason"`
				ConfigVersion int64  `json:"config_version"`
			}
			answered := site.get("http://"+entry.settings.Listen.Operators+"/v1/ready", &state)
			entry.said = fmt.Sprintf("answered %v: %+v", answered, state)
			return !entry.offered.Load() || answered && state.Ready && state.ConfigVersion == version
		})
	}
}

func (site *site) submit(caller *load.Caller, group *errgroup.Group, count int) {
	for number := range count {
		run := 500 + clock.Millis(number%10)*400
		task := load.Task{
			Key: fmt.Sprintf("watch-%02d", number), Route: "watch", Kind: "watch", RunMS: run,
			Size: amount.Amount{MilliCores: 2000, MemoryMB: 1000}, Payload: machine.Payload{RunMS: run},
		}
		group.Go(func() error {
			first, err := caller.Submit(site.ctx, task)
			if err != nil || number%3 != 0 {
				return err
			}
			// Again under the same key, as after a lost answer.
			second, err := caller.Submit(site.ctx, task)
			if err == nil && first != second {
				err = fmt.Errorf("%s is %s and %s", task.Key, first, second)
			}
			return err
		})
	}
}

// requests sends some, every fourth not repeatable; nearly all are answered.
func (site *site) requests(caller *load.Caller, count int) {
	site.Helper()
	if answered := site.send(caller, count, 5000); answered < count*9/10 {
		site.Errorf("%d of %d requests were answered", answered, count)
	}
}

// send returns how many of some requests were answered.
func (site *site) send(caller *load.Caller, count int, deadline clock.Millis) int {
	var group errgroup.Group
	group.SetLimit(8)
	var answered atomic.Int32
	for number := range count {
		want := load.Request{Path: "/lookup/drawer", AnswerBytes: 5000, DeadlineMS: deadline}
		if number%4 == 0 {
			want.Path, want.NotRepeatable, want.Body = "/order/seed", true, []byte("grass")
		}
		group.Go(func() error {
			if caller.Request(site.ctx, want).Kind == witness.RequestAnswered {
				answered.Add(1)
			}
			return nil
		})
	}
	_ = group.Wait()
	return int(answered.Load())
}

// leaveAndReturn takes a failure domain out by the command line, waits until
// nothing runs there, and puts it back.
func (site *site) leaveAndReturn(domain string) {
	site.Helper()
	operator := process.Observer(site.ctx, site.platform, "operator")
	site.until("tasks run in "+domain, func() bool { return site.running(domain) > 0 })
	out := site.command("out", "--log", site.platform, "--failure-domain", domain)
	operator(site.ctx, witness.Event{Kind: witness.DomainOut, At: witness.SharedClock().Now(), Domain: domain})
	if !strings.HasPrefix(out, "accepted: version 2\n") {
		site.Fatalf("out said %q", out)
	}
	site.inForce(2)
	site.until("nothing runs in "+domain, func() bool { return site.running(domain) == 0 })
	site.command("back", "--log", site.platform, "--failure-domain", domain)
	operator(site.ctx, witness.Event{Kind: witness.DomainBack, At: witness.SharedClock().Now(), Domain: domain})
	site.inForce(3)
}

// running asks the workers of a domain what they run.
func (site *site) running(domain string) (count int) {
	for _, vm := range site.workers {
		var report worker.Report
		if vm.FailureDomain != domain {
			continue
		}
		if !site.get("http://"+vm.Agent+"/tasks", &report) {
			site.Fatalf("%s does not answer", vm.Name)
		}
		for _, task := range report.Tasks {
			if task.Phase == worker.Running {
				count++
			}
		}
	}
	return count
}

// kill ends an entry without warning; the balancer notices only afterwards.
func (site *site) kill(name string) {
	site.Helper()
	entry := site.entry(name)
	site.check(entry.process.cmd.Process.Signal(syscall.SIGKILL))
	_ = entry.process.wait()
	entry.offered.Store(false)
}

// pauseOwner stops the owner of a cell until another entry owns it, and lets
// it go on. Requests that it had been given meanwhile come late or not at all;
// how many are answered is not judged.
func (site *site) pauseOwner(cell string, caller *load.Caller) {
	site.Helper()
	var before, after string
	site.until("somebody owns "+cell, func() bool {
		before = site.owner(cell)
		return before != ""
	})
	paused := site.entry(before)
	site.check(paused.process.cmd.Process.Signal(syscall.SIGSTOP))
	site.send(caller, 30, 1500)
	paused.offered.Store(false)
	site.until("another entry owns "+cell, func() bool {
		after = site.owner(cell)
		return after != "" && after != before
	})
	site.check(paused.process.cmd.Process.Signal(syscall.SIGCONT))
	paused.offered.Store(true)
	site.inForce(3)
}

// owner returns the offered entry that says that it owns a cell.
func (site *site) owner(cell string) string {
	return site.ownerAmong(cell, func(entry *entry) bool { return entry.offered.Load() })
}

func (site *site) ownerAmong(cell string, asked func(*entry) bool) string {
	for _, entry := range site.entries {
		var dump struct {
			Control struct {
				Cells map[string]struct {
					Owns bool `json:"owns"`
				} `json:"cells"`
			} `json:"control"`
		}
		if asked(entry) && site.get("http://"+entry.settings.Listen.Operators+"/v1/dump", &dump) && dump.Control.Cells[cell].Owns {
			return entry.settings.Name
		}
	}
	return ""
}

// judge compares what must hold, and what was sent, with what was seen.
func (site *site) judge(want witness.Verdict) {
	site.Helper()
	got := site.verdict()
	if got.Broken() {
		site.Errorf("rules broken:\n%s", strings.Join(got.Violations, "\n"))
	}
	if got.TasksAccepted != want.TasksAccepted || got.TasksFinished != want.TasksAccepted || got.RequestsSent != want.RequestsSent {
		site.Errorf("verdict %+v", got)
	}
	site.Logf("%+v", got)
	for _, vm := range site.workers {
		var stats machine.Stats
		if !site.get("http://"+vm.Agent+"/standin/stats", &stats) || stats.ConnectionsRefused > 0 {
			site.Errorf("%s: more than 64 connections: %+v", vm.Name, stats)
		}
	}
}
