// Package rig3 runs entries of the project as separate processes, with stand-ins of
// the store and of workers in this process, for the scripts of the third review.
//
// # Usage
//
//	rig, err := rig3.New(rig3.Options{Entries: 6, Program: program, Record: record})
//	defer rig.Close()
//	err = rig.Start()
//	status := rig.Submit(entry, id, spec)
package rig3

import (
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"io"
	"math/rand/v2"
	"net"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"sync"
	"syscall"
	"time"

	"github.com/pkg/errors"
	"go.yaml.in/yaml/v3"
	"golang.org/x/sync/errgroup"

	"github.com/oriolepier/oriolepier/internal/base/clock"
	"github.com/oriolepier/oriolepier/internal/base/codec"
	"github.com/oriolepier/oriolepier/internal/schedule/job"
	"github.com/oriolepier/oriolepier/internal/schedule/journal"
	"github.com/oriolepier/oriolepier/internal/schedule/manifest"
	"github.com/oriolepier/oriolepier/internal/site/ownership"
	"github.com/oriolepier/oriolepier/internal/standin/store"
	"github.com/oriolepier/oriolepier/platform"
)

// ownersTopic holds the records of owners.
var ownersTopic = platform.Topic("owners")

// Bounds of the deployment, as on the sheet of mks-oriole.
const (
	Contact   = 3000 * time.Millisecond
	Cancel    = 3000 * time.Millisecond
	Stop      = 900 * time.Millisecond
	Heartbeat = 500 * time.Millisecond // of the stand-ins of workers

	maxLease             clock.Millis = 6000
	gracePeriod          clock.Millis = 6000
	statusKept           clock.Millis = 120 * clock.Second
	readyTimeout                      = 20 * time.Second
	callTimeout                       = 6 * time.Second
	pollInterval                      = 50 * time.Millisecond
	entryCores                        = 0.4
	entryMemoryMB                     = 284
	entryDescriptors                  = 4100
	loopback                          = "127.0.0.1"
	firstPort, portCount              = 15000, 15000
	portTries                         = 100
	host, prefix, svc                 = "review.example", "/review/", "review"
)

// Domains are the failure domains of the deployment.
var Domains = []string{"zone-a", "zone-b", "zone-c"}

// Options configures a Rig.
type Options struct {
	Entries int
	Program string // program of the deploy file
	Record  string // file that says what was sent, answered and run
}

// Rig is a running deployment.
type Rig struct {
	options Options
	dir     string
	record  *os.File
	mu      sync.Mutex
	begun   time.Time
	clock   clock.Clock
	group   *errgroup.Group
	ctx     context.Context
	cancel  context.CancelFunc
	Gate    *Gate
	entries []*entry
	workers []*Worker
	http    *http.Client
}

// entry is the process of an entry.
type entry struct {
	name     string
	callers  string
	ready    string
	peers    string
	settings string
	command  *exec.Cmd
}

// New returns a rig that is not started.
func New(options Options) (*Rig, error) {
	dir, err := os.MkdirTemp("", "review-3-")
	if err != nil {
		return nil, err
	}
	record, err := os.Create(options.Record)
	if err != nil {
		return nil, err
	}
	ctx, cancel := context.WithCancel(context.Background())
	group, ctx := errgroup.WithContext(ctx)
	r := &Rig{
		options: options, dir: dir, record: record, begun: time.Now(), clock: clock.NewBoot(), group: group, ctx: ctx, cancel: cancel,
		http: &http.Client{Timeout: callTimeout, Transport: &http.Transport{DisableKeepAlives: true}},
	}
	r.Gate = newGate(store.New().Log())
	return r, nil
}

// Logf writes a line to the record.
func (r *Rig) Logf(format string, values ...any) {
	r.mu.Lock()
	defer r.mu.Unlock()
	line := fmt.Sprintf("%8.3f s  ", time.Since(r.begun).Seconds()) + fmt.Sprintf(format, values...) + "\n"
	_, _ = r.record.WriteString(line)
	_, _ = os.Stdout.WriteString(line)
}

// Start starts the store, the operator's tables and the entries. Workers are added
// with AddWorker before or after it.
func (r *Rig) Start() error {
	record, err := platform.ManifestRecord(1, []manifest.Queue{{
		Name: svc, Host: host, PathPrefix: prefix, Pools: []string{svc}, MaxFailures: 4, ObjectiveFactor: 2,
		ObjectiveAllowance: clock.Second, Timeout: 3 * clock.Second,
	}}, []manifest.Pool{{Name: svc, RefusesOvercommit: true}})
	if err != nil {
		return err
	}
	r.Gate.inner.Append(r.ctx, journal.Append{Topic: platform.TopicOperator, ExpectedEnd: -1, Records: []journal.Record{record}})
	for number := range r.options.Entries {
		if err := r.addEntry(number); err != nil {
			return err
		}
	}
	for _, e := range r.entries {
		if err := r.run(e); err != nil {
			return err
		}
	}
	return r.awaitReady()
}

// Owner returns the number of the entry that the newest record names as the owner, and
// its epoch.
func (r *Rig) Owner() (number int, epoch int64) {
	page := r.Gate.inner.Newest(r.ctx, ownersTopic)
	for _, stored := range page.Records {
		var record ownership.Record
		if codec.Unmarshal(stored.Value, &record) != nil {
			continue
		}
		for i, e := range r.entries {
			if e.name == record.Name {
				return i, record.Epoch
			}
		}
	}
	return -1, 0
}

// Name returns the name of an entry.
func (r *Rig) Name(number int) string { return r.entries[number].name }

// serve serves a handler at a free port until the rig is closed.
func (r *Rig) serve(handler http.Handler) (address string, err error) {
	listener, err := Listen(r.ctx, loopback+":0")
	if err != nil {
		return "", err
	}
	server := &http.Server{Handler: handler, ReadHeaderTimeout: time.Second}
	r.group.Go(func() error {
		if err := server.Serve(listener); !errors.Is(err, http.ErrServerClosed) {
			return err
		}
		return nil
	})
	r.group.Go(func() error {
		<-r.ctx.Done()
		return server.Close()
	})
	return listener.Addr().String(), nil
}

// Listen listens at a loopback address.
func Listen(ctx context.Context, address string) (net.Listener, error) {
	return new(net.ListenConfig).Listen(ctx, "tcp", address)
}

// freePorts returns addresses that were free a moment ago. Their ports are below those
// that the system gives to connections.
func freePorts(ctx context.Context, count int) ([]string, error) {
	var addresses []string
	for tries := 0; len(addresses) < count; tries++ {
		address := fmt.Sprintf("%s:%d", loopback, firstPort+rand.IntN(portCount)) //nolint:gosec // no secret
		listener, err := Listen(ctx, address)
		if err != nil {
			if tries > portTries {
				return nil, err
			}
			continue
		}
		defer func() { _ = listener.Close() }()
		addresses = append(addresses, address)
	}
	return addresses, nil
}

func portOf(address string) int {
	parsed, err := net.ResolveTCPAddr("tcp", address)
	if err != nil {
		return 0
	}
	return parsed.Port
}

func (r *Rig) addEntry(number int) error {
	ports, err := freePorts(r.ctx, 4)
	if err != nil {
		return err
	}
	e := &entry{name: fmt.Sprintf("entry-%d", number), callers: ports[0], ready: ports[1], peers: ports[3]}
	peers := portOf(ports[3])
	storeAddress, err := r.serve(platform.ServeStore(r.Gate.Log()))
	if err != nil {
		return err
	}
	data, err := platform.EncodeSettings(platform.Settings{
		Name: e.name, Role: "entry", Domain: Domains[number%len(Domains)], Domains: Domains, IP: loopback,
		Consumer: e.callers, Ready: e.ready, Control: ports[2], Ports: platform.PortSpan{First: peers, Last: peers},
		Store:     platform.StoreSettings{Address: storeAddress},
		Limits:    platform.Limits{Cores: entryCores, MemoryMB: entryMemoryMB, Descriptors: entryDescriptors},
		Heartbeat: clock.FromDuration(Heartbeat),
		Bounds: platform.Bounds{
			MaxLease: maxLease, Stop: clock.FromDuration(Stop), Cancel: clock.FromDuration(Cancel), StatusKept: statusKept, Grace: gracePeriod,
		},
	})
	if err != nil {
		return err
	}
	if data, err = withFurtherBounds(data); err != nil {
		return err
	}
	e.settings = filepath.Join(r.dir, e.name+".yaml")
	if err := os.WriteFile(e.settings, data, 0o600); err != nil {
		return err
	}
	r.entries = append(r.entries, e)
	return nil
}

// withFurtherBounds adds bounds of the sheet that stand-ins do not write.
func withFurtherBounds(data []byte) ([]byte, error) {
	var settings map[string]any
	if err := yaml.Unmarshal(data, &settings); err != nil {
		return nil, err
	}
	bounds, _ := settings["bounds"].(map[string]any)
	for name, value := range map[string]any{
		"contact_ms": 3000, "ack_ms": 4000, "drain_ms": 2000, "config_apply_ms": 2000, "evacuation_ms": 5000,
		"recovery_s": 12, "visible_ms": 3000, "pace_ms": 100, "harm_ms": 4000, "remote_factor": 3,
	} {
		bounds[name] = value
	}
	return yaml.Marshal(settings)
}

// run starts the process of an entry, by the command of the deploy file.
func (r *Rig) run(e *entry) error {
	output, err := os.Create(filepath.Join(r.dir, e.name+".log"))
	if err != nil {
		return err
	}
	defer func() { _ = output.Close() }()
	command := exec.Command(r.options.Program, "serve") //nolint:noctx // ended by Close
	command.Env = append(os.Environ(), platform.SettingsEnvironment(e.settings), "GOMAXPROCS=2")
	command.Stdout, command.Stderr = output, output
	command.SysProcAttr = &syscall.SysProcAttr{Pdeathsig: syscall.SIGKILL}
	if err := command.Start(); err != nil {
		return err
	}
	e.command = command
	return nil
}

// Freeze stops the process of an entry.
func (r *Rig) Freeze(number int) error {
	r.Logf("entry     %s freezes", r.Name(number))
	return r.entries[number].command.Process.Signal(syscall.SIGSTOP)
}

// Thaw lets the process of an entry go on.
func (r *Rig) Thaw(number int) error {
	r.Logf("entry     %s goes on", r.Name(number))
	return r.entries[number].command.Process.Signal(syscall.SIGCONT)
}

// awaitReady waits until all entries report that they are ready.
func (r *Rig) awaitReady() error {
	deadline := time.Now().Add(readyTimeout)
	for _, e := range r.entries {
		for !r.isReady(e) {
			if time.Now().After(deadline) {
				return errors.Errorf("%s is not ready", e.name)
			}
			time.Sleep(pollInterval)
		}
	}
	for number, e := range r.entries {
		if status, _ := r.Waiting(number); status != http.StatusOK {
			return errors.Errorf("%s does not answer callers", e.name)
		}
	}
	return nil
}

func (r *Rig) isReady(e *entry) bool {
	request, err := http.NewRequestWithContext(r.ctx, http.MethodGet, "http://"+e.ready+platform.PathReady, nil)
	if err != nil {
		return false
	}
	response, err := r.http.Do(request)
	if err != nil {
		return false
	}
	defer func() { _ = response.Body.Close() }()
	return response.StatusCode == http.StatusOK
}

// Submit submits a job at an entry and returns the status; 0 without an answer.
func (r *Rig) Submit(number int, id job.ID, spec job.Spec) int {
	return r.submit(r.ctx, number, id, spec)
}

func (r *Rig) submit(ctx context.Context, number int, id job.ID, spec job.Spec) int {
	body, err := platform.EncodeSubmission(spec)
	if err != nil {
		r.Logf("cannot encode %s: %v", id, err)
		return 0
	}
	status, _ := r.callWithin(ctx, http.MethodPost, number, id, body)
	return status
}

// SubmitAndLeave submits a job at an entry, and closes the connection if no answer came
// in time. It returns the status; 0 without an answer.
func (r *Rig) SubmitAndLeave(number int, id job.ID, spec job.Spec, patience time.Duration) int {
	ctx, cancel := context.WithTimeout(r.ctx, patience)
	defer cancel()
	return r.submit(ctx, number, id, spec)
}

// Delete cancels a job at an entry and returns the status; 0 without an answer.
func (r *Rig) Delete(number int, id job.ID) int {
	status, _ := r.call(http.MethodDelete, number, id, nil)
	return status
}

// State returns the answer to a query for a job.
func (r *Rig) State(number int, id job.ID) (status int, state string) {
	status, data := r.call(http.MethodGet, number, id, nil)
	decoded, err := platform.DecodeState(data)
	if status != http.StatusOK || err != nil {
		return status, ""
	}
	return status, decoded.String()
}

// Waiting returns the answer to a query for the number of waiting submissions.
func (r *Rig) Waiting(number int) (status, waiting int) {
	status, data := r.call(http.MethodGet, number, "", nil)
	var count platform.CountBody
	if err := json.Unmarshal(data, &count); status != http.StatusOK || err != nil {
		return status, -1
	}
	return status, count.Waiting
}

func (r *Rig) call(method string, number int, id job.ID, body []byte) (status int, data []byte) {
	return r.callWithin(r.ctx, method, number, id, body)
}

func (r *Rig) callWithin(ctx context.Context, method string, number int, id job.ID, body []byte) (status int, data []byte) {
	e := r.entries[number%len(r.entries)]
	request, err := http.NewRequestWithContext(ctx, method, "http://"+e.callers+prefix+string(id), bytes.NewReader(body))
	if err != nil {
		return 0, nil
	}
	request.Host = host
	r.Logf("sent      %-6s %s to %s", method, id, e.name)
	response, err := r.http.Do(request)
	if err != nil {
		r.Logf("answered  %-6s %s by %s: no answer (%v)", method, id, e.name, err)
		return 0, nil
	}
	defer func() { _ = response.Body.Close() }()
	data, err = io.ReadAll(response.Body)
	if err != nil {
		r.Logf("answered  %-6s %s by %s: no complete answer", method, id, e.name)
		return 0, nil
	}
	r.Logf("answered  %-6s %s by %s: %d %s", method, id, e.name, response.StatusCode, bytes.TrimSpace(data))
	return response.StatusCode, data
}

// Go runs a function until Close.
func (r *Rig) Go(task func()) {
	r.group.Go(func() error {
		task()
		return nil
	})
}

// pause waits, and returns false if the rig ends first.
func (r *Rig) pause(length time.Duration) bool {
	select {
	case <-time.After(length):
		return true
	case <-r.ctx.Done():
		return false
	}
}

// Close ends all processes that the rig has started, and the stand-ins.
func (r *Rig) Close() {
	for _, e := range r.entries {
		if e.command != nil {
			_ = e.command.Process.Kill()
			_ = e.command.Wait()
		}
	}
	if kept := os.Getenv("KEEP_LOGS"); kept != "" {
		for _, e := range r.entries {
			if data, err := os.ReadFile(filepath.Join(r.dir, e.name+".log")); err == nil {
				_ = os.WriteFile(filepath.Join(kept, e.name+".log"), data, 0o600)
			}
		}
	}
	r.Gate.Open()
	r.cancel()
	_ = r.group.Wait()
	_ = r.record.Close()
	_ = os.RemoveAll(r.dir)
}
