package main

import (
	"bufio"
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"maps"
	"net"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"slices"
	"strconv"
	"strings"
	"sync"
	"syscall"
	"time"

	"github.com/oriolepier/oriolepier/internal/schedule/journal"
	"github.com/oriolepier/oriolepier/internal/schedule/manifest"
	"github.com/oriolepier/oriolepier/platform"
)

// Names and sizes of the deployment, which are those of a small one of the pages.
const (
	poolName       = "drawer"
	workerCPU      = 16000 // milli-CPU of a worker
	workerMemoryMB = 64000
	expireMS       = 1500 // three heartbeats
	program        = "target/oriolepier"
	settingsFile   = "review/kit/settings.yaml"
)

// zones are the failure domains; entries and workers are spread over them.
var zones = []string{"a", "b", "c"}

// entry is a running entry.
type entry struct {
	name, ip, front, ready string
}

// deployment is a set of processes, and the record of a case.
type deployment struct {
	dir     string
	base    string // first three parts of the loopback addresses
	record  *os.File
	started time.Time
	self    string
	store   string // address that entries and workers use
	log     journal.Log
	entries []entry

	workerAt map[int]string // address by number

	mu        sync.Mutex
	processes map[string]*exec.Cmd
	exited    map[string]chan struct{}
}

// newDeployment returns a deployment without processes.
func newDeployment(record string) (*deployment, error) {
	if _, err := os.Stat(program); err != nil {
		return nil, fmt.Errorf("build first: %w", err)
	}
	self, err := os.Executable()
	if err != nil {
		return nil, err
	}
	file, err := os.Create(record)
	if err != nil {
		return nil, err
	}
	dir, err := os.MkdirTemp("", "review-")
	if err != nil {
		return nil, err
	}
	pid := os.Getpid()
	return &deployment{
		dir: dir, base: fmt.Sprintf("127.%d.%d", 64+pid/250%100, 1+pid%250), record: file, started: time.Now(), self: self,
		workerAt: map[int]string{}, processes: map[string]*exec.Cmd{}, exited: map[string]chan struct{}{},
	}, nil
}

// notef writes a line to the record, with the time since the start of the case.
func (d *deployment) notef(format string, args ...any) {
	line := fmt.Sprintf("%8.3f s  ", time.Since(d.started).Seconds()) + fmt.Sprintf(format, args...)
	d.mu.Lock()
	defer d.mu.Unlock()
	_, _ = fmt.Fprintln(d.record, line) // a record that cannot be written is no result
	fmt.Println(line)
}

// ip returns a loopback address of this case.
func (d *deployment) ip(number int) string { return d.base + "." + strconv.Itoa(number) }

// freePort returns a port of an address that is free, as is the one after it.
func freePort(ctx context.Context, ip string) (int, error) {
	for port := 21000 + os.Getpid()%1000*10; port < 60000; port += 2 {
		first, err := new(net.ListenConfig).Listen(ctx, "tcp", net.JoinHostPort(ip, strconv.Itoa(port)))
		if err != nil {
			continue
		}
		second, err := new(net.ListenConfig).Listen(ctx, "tcp", net.JoinHostPort(ip, strconv.Itoa(port+1)))
		_ = first.Close()
		if err != nil {
			continue
		}
		_ = second.Close()
		return port, nil
	}
	return 0, errors.New("no free port")
}

// start starts a process whose output goes to a file of the temporary folder.
func (d *deployment) start(name, path string, env []string, args ...string) error {
	output, err := os.OpenFile(filepath.Join(d.dir, name+".log"), os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o600)
	if err != nil {
		return err
	}
	defer func() { _ = output.Close() }()  // the child has its own descriptor
	command := exec.Command(path, args...) //nolint:noctx // ended by signals
	command.Env = append(append(os.Environ(), "GOMAXPROCS=2"), env...)
	command.Stdout, command.Stderr = output, output
	command.SysProcAttr = &syscall.SysProcAttr{Pdeathsig: syscall.SIGKILL, Setpgid: true}
	if err := command.Start(); err != nil {
		return err
	}
	exited := make(chan struct{})
	d.mu.Lock()
	d.processes[name], d.exited[name] = command, exited
	d.mu.Unlock()
	go func() {
		_ = command.Wait() // killed, or its log says why
		close(exited)
	}()
	return nil
}

// signal sends a signal to a process.
func (d *deployment) signal(name string, sig syscall.Signal) {
	d.mu.Lock()
	command := d.processes[name]
	d.mu.Unlock()
	if command != nil {
		_ = command.Process.Signal(sig) // it may have ended
	}
}

// kill kills a process and waits for its end.
func (d *deployment) kill(name string) {
	d.signal(name, syscall.SIGKILL)
	d.mu.Lock()
	exited := d.exited[name]
	d.mu.Unlock()
	if exited != nil {
		<-exited
	}
}

// running reports whether a process has not ended.
func (d *deployment) running(name string) bool {
	d.mu.Lock()
	exited := d.exited[name]
	d.mu.Unlock()
	select {
	case <-exited:
		return false
	default:
		return exited != nil
	}
}

// stop kills all processes and removes the temporary folder, unless KEEP is set.
func (d *deployment) stop() {
	d.mu.Lock()
	names := make([]string, 0, len(d.processes))
	for name := range d.processes {
		names = append(names, name)
	}
	d.mu.Unlock()
	for _, name := range names {
		d.kill(name)
	}
	_ = d.record.Close()
	if os.Getenv("KEEP") == "" {
		_ = os.RemoveAll(d.dir)
	} else {
		fmt.Println(d.dir)
	}
}

// startStore starts the project's stand-in of the store, behind the proxy that enforces
// its limits, and publishes the manifest.
func (d *deployment) startStore(ctx context.Context, tables []manifest.Queue) error {
	port, err := freePort(ctx, d.ip(1))
	if err != nil {
		return err
	}
	address, limited := net.JoinHostPort(d.ip(1), strconv.Itoa(port)), net.JoinHostPort(d.ip(1), strconv.Itoa(port+1))
	if err := d.start("store", program, nil, "standin", "store", "--listen", address, "--expire-ms", strconv.Itoa(expireMS)); err != nil {
		return err
	}
	if err := d.start("limit", d.self, nil, "limit", "--listen", limited, "--target", address); err != nil {
		return err
	}
	d.store = limited
	d.log = platform.NewStore(limited).Log()
	return d.publish(ctx, 1, tables)
}

// publish writes a manifest.
func (d *deployment) publish(ctx context.Context, version int64, tables []manifest.Queue) error {
	record, err := platform.ManifestRecord(version, tables, []manifest.Pool{{Name: poolName, RefusesOvercommit: true}})
	if err != nil {
		return err
	}
	for ctx.Err() == nil {
		answer := d.log.Append(ctx, journal.Append{Topic: platform.TopicOperator, ExpectedEnd: -1, Records: []journal.Record{record}})
		if answer.Outcome == journal.Done {
			d.notef("operator: manifest %d confirmed, with %d routes", version, len(tables))
			return nil
		}
		time.Sleep(100 * time.Millisecond)
	}
	return ctx.Err()
}

// workerName returns the name of a worker's process, which is its id.
func workerName(number int) string { return fmt.Sprintf("worker-%02d", number) }

// startWorkers starts the stand-ins of workers, all of kind a.
func (d *deployment) startWorkers(ctx context.Context, count int) error {
	for number := 1; number <= count; number++ {
		ip := d.ip(100 + number)
		port, err := freePort(ctx, ip)
		if err != nil {
			return err
		}
		d.workerAt[number] = net.JoinHostPort(ip, strconv.Itoa(port))
		if err := d.startWorker(number, "a"); err != nil {
			return err
		}
	}
	return nil
}

// startWorker starts a new life of a worker, at the address that it had.
func (d *deployment) startWorker(number int, kind string) error {
	name, zone := workerName(number), zones[number%len(zones)]
	return d.start(name, d.self, nil, "worker", "--id", name, "--listen", d.workerAt[number], "--store", d.store,
		"--pool", poolName, "--zone", zone, "--labels", kind+",r-"+zone, "--cpu", strconv.Itoa(workerCPU), "--mem", strconv.Itoa(workerMemoryMB),
		"--events", filepath.Join(d.dir, "events"))
}

// startEntries starts entries by the command of the deploy file, and waits until they
// are ready.
func (d *deployment) startEntries(ctx context.Context, count int) error {
	template, err := os.ReadFile(settingsFile)
	if err != nil {
		return err
	}
	for number := range count {
		ip := d.ip(10 + number)
		ports, err := freePort(ctx, ip)
		if err != nil {
			return err
		}
		e := entry{
			name: fmt.Sprintf("entry-%d", number+1), ip: ip,
			front: net.JoinHostPort(ip, strconv.Itoa(ports+4)), ready: net.JoinHostPort(ip, strconv.Itoa(ports+5)),
		}
		text := strings.NewReplacer(
			"{name}", e.name, "{ip}", ip, "{zone}", zones[number%len(zones)], "{front}", strconv.Itoa(ports+4), "{ready}", strconv.Itoa(ports+5),
			"{first}", strconv.Itoa(ports), "{last}", strconv.Itoa(ports+1), "{store}", d.store,
		).Replace(string(template))
		file := filepath.Join(d.dir, e.name+".yaml")
		if err := os.WriteFile(file, []byte(text), 0o600); err != nil {
			return err
		}
		if err := d.start(e.name, program, []string{platform.SettingsEnvironment(file)}, "serve"); err != nil {
			return err
		}
		d.entries = append(d.entries, e)
	}
	for _, e := range d.entries {
		if err := d.awaitReady(ctx, e); err != nil {
			return err
		}
	}
	d.notef("%d entries are ready", count)
	return nil
}

func (d *deployment) awaitReady(ctx context.Context, e entry) error {
	client := &http.Client{Timeout: time.Second}
	for ctx.Err() == nil {
		request, err := http.NewRequestWithContext(ctx, http.MethodGet, "http://"+e.ready+platform.PathReady, nil)
		if err != nil {
			return err
		}
		if response, err := client.Do(request); err == nil {
			_ = response.Body.Close()
			if response.StatusCode == http.StatusOK {
				return nil
			}
		}
		time.Sleep(50 * time.Millisecond)
	}
	return fmt.Errorf("%s is not ready: %w", e.name, ctx.Err())
}

// events returns what the workers have run so far.
func (d *deployment) events() ([]runEvent, error) {
	file, err := os.Open(filepath.Join(d.dir, "events"))
	if errors.Is(err, os.ErrNotExist) {
		return nil, nil
	}
	if err != nil {
		return nil, err
	}
	defer func() { _ = file.Close() }()
	var all []runEvent
	lines := bufio.NewScanner(file)
	for lines.Scan() {
		var event runEvent
		if json.Unmarshal(lines.Bytes(), &event) == nil { // a line may be incomplete as yet
			all = append(all, event)
		}
	}
	return all, lines.Err()
}

// noteRuns writes what the workers have run to the record: a line for each job.
func (d *deployment) noteRuns() {
	events, err := d.events()
	if err != nil {
		d.notef("the events of the workers cannot be read: %v", err)
		return
	}
	type runs struct {
		starts, done, failed, stopped, lapsed int
		tasks                                 map[string]bool
		workers                               map[string]bool
	}
	byJob := map[string]*runs{}
	for _, event := range events {
		job := byJob[event.Job]
		if job == nil {
			job = &runs{tasks: map[string]bool{}, workers: map[string]bool{}}
			byJob[event.Job] = job
		}
		job.tasks[fmt.Sprint(event.Step, ".", event.Index)] = true
		job.workers[event.Worker] = true
		switch {
		case event.Kind == "started":
			job.starts++
		case event.Cause == "done":
			job.done++
		case event.Cause == "failed":
			job.failed++
		case event.Cause == "stopped":
			job.stopped++
		default:
			job.lapsed++
		}
	}
	for _, id := range slices.Sorted(maps.Keys(byJob)) {
		job := byJob[id]
		d.notef("run: job %s: %d tasks started on %d workers, %d starts; ends: %d done, %d failed, %d stopped, %d lapsed",
			id, len(job.tasks), len(job.workers), job.starts, job.done, job.failed, job.stopped, job.lapsed)
	}
}

// logTail writes the last lines of a process's output to the record.
func (d *deployment) logTail(name, contains string, count int) {
	data, err := os.ReadFile(filepath.Join(d.dir, name+".log"))
	if err != nil {
		return
	}
	var lines []string
	for line := range strings.SplitSeq(string(data), "\n") {
		if strings.Contains(line, contains) {
			lines = append(lines, line)
		}
	}
	for _, line := range lines[max(len(lines)-count, 0):] {
		d.notef("log of %s: %.400s", name, line)
	}
}
