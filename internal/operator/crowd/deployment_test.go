package crowd

import (
	"bufio"
	"bytes"
	"fmt"
	"io"
	"net"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"strconv"
	"strings"
	"sync/atomic"
	"testing"
	"time"

	"github.com/oriolepier/oriolepier/internal/base/clock"
	"github.com/oriolepier/oriolepier/internal/schedule/journal"
	"github.com/oriolepier/oriolepier/internal/schedule/manifest"
	"github.com/oriolepier/oriolepier/platform"
)

// Limits of the entry under test, and the load. They are lower than those of any
// deployment, so that few connections show a missing bound.
const (
	memoryMB      = 64
	descriptors   = 500
	clients       = 600
	bodyBytes     = 262_000 // below the limit of 262,144
	halfBytes     = bodyBytes / 2
	waitTimeout   = 60 * time.Second
	sendTimeout   = 10 * time.Second // a client gives up sending after it
	ordinaryTries = 20
	retryPeriod   = 500 * time.Millisecond
)

const (
	queueHost   = "crowd.example"
	queuePrefix = "/crowd/"
	poolName    = "crowd"
)

var program string

func TestMain(m *testing.M) {
	dir, err := os.MkdirTemp("", "crowd")
	if err != nil {
		panic(err)
	}
	program = filepath.Join(dir, "oriolepier")
	if output, err := exec.Command("go", "build", "-o", program, "../../..").CombinedOutput(); err != nil {
		fmt.Fprintf(os.Stderr, "%v\n%s", err, output)
		os.Exit(1)
	}
	code := m.Run()
	_ = os.RemoveAll(dir)
	os.Exit(code)
}

// deployment is a store, a worker and one entry, each a process.
type deployment struct {
	t         *testing.T
	name      string
	store     string
	memory    int // MB
	entry     *exec.Cmd
	log       string // file with the entry's output
	callers   string
	readiness string
	operators string
	peers     string
	exited    atomic.Bool
	peakFiles atomic.Int64
	jobs      int
}

// start starts a deployment and waits until its entry accepts jobs.
func start(t *testing.T) *deployment {
	t.Helper()
	return startWith(t, memoryMB)
}

func startWith(t *testing.T, memory int) *deployment {
	t.Helper()
	d := &deployment{t: t, name: "entry-0", memory: memory}
	d.store = d.startStandin("store")
	d.startStandin("worker", "--store", d.store, "--name", "w0", "--pool", poolName, "--failure-domain", "a")
	d.publish(d.store)
	d.startEntry(d.store)
	d.awaitReady()
	return d
}

// another starts a second entry, which forwards to the owner in the first.
func (d *deployment) another() *deployment {
	d.t.Helper()
	second := &deployment{t: d.t, name: "entry-1", store: d.store, memory: d.memory, jobs: 1 << 20}
	second.startEntry(d.store)
	second.awaitReady()
	return second
}

// awaitReady waits until the entry accepts jobs.
func (d *deployment) awaitReady() {
	t := d.t
	t.Helper()
	await(t, "readiness", func() bool {
		response, err := http.Get("http://" + d.readiness + platform.PathReady)
		if err != nil {
			return false
		}
		_ = response.Body.Close()
		return response.StatusCode == http.StatusOK
	})
	if status := d.submit(); status != http.StatusOK {
		t.Fatalf("a submission before the load is answered %d", status)
	}
}

func await(t *testing.T, subject string, reached func() bool) {
	t.Helper()
	for deadline := time.Now().Add(waitTimeout); time.Now().Before(deadline); time.Sleep(50 * time.Millisecond) {
		if reached() {
			return
		}
	}
	t.Fatalf("%s: not reached within %s", subject, waitTimeout)
}

// startStandin starts a stand-in and returns the address that it prints.
func (d *deployment) startStandin(args ...string) string {
	d.t.Helper()
	command := exec.Command(program, append([]string{"standin"}, args...)...)
	command.Stderr = os.Stderr
	out, err := command.StdoutPipe()
	if err != nil {
		d.t.Fatal(err)
	}
	if err := command.Start(); err != nil {
		d.t.Fatal(err)
	}
	d.t.Cleanup(func() {
		_ = command.Process.Kill() // it may have exited already
		_ = command.Wait()         // it reports the kill as an error
	})
	line, err := bufio.NewReader(out).ReadString('\n')
	if err != nil {
		d.t.Fatal(err)
	}
	return strings.TrimSpace(line)
}

// publish appends the operators' manifest with one queue.
func (d *deployment) publish(store string) {
	d.t.Helper()
	record, err := platform.ManifestRecord(1, []manifest.Queue{{
		Name: "crowd", Host: queueHost, PathPrefix: queuePrefix, Pools: []string{poolName}, MaxFailures: 5,
		ObjectiveFactor: 3, ObjectiveAllowance: 5 * clock.Second, Timeout: 3 * clock.Second,
	}}, []manifest.Pool{{Name: poolName}})
	if err != nil {
		d.t.Fatal(err)
	}
	answer := platform.NewStore(store).Log().Append(d.t.Context(), journal.Append{
		Topic: platform.TopicOperator, ExpectedEnd: 0, Records: []journal.Record{record},
	})
	if answer.Outcome != journal.Done {
		d.t.Fatalf("append of the manifest: %v", answer.Outcome)
	}
}

// startEntry starts the entry by a settings file in the platform's format.
func (d *deployment) startEntry(store string) {
	d.t.Helper()
	addresses := make([]string, 4)
	for i := range addresses {
		listener, err := net.Listen("tcp", "127.0.0.1:0")
		if err != nil {
			d.t.Fatal(err)
		}
		addresses[i] = listener.Addr().String()
		defer func() { _ = listener.Close() }()
	}
	d.callers, d.readiness, d.operators, d.peers = addresses[0], addresses[1], addresses[2], addresses[3]
	dir := d.t.TempDir()
	file := filepath.Join(dir, "entry.yaml")
	d.writeSettings(file, store)
	d.log = filepath.Join(dir, "entry.log")
	d.run(file)
}

// writeSettings writes the entry's settings file.
func (d *deployment) writeSettings(file, store string) {
	d.t.Helper()
	_, port, _ := net.SplitHostPort(d.peers)
	peerPort, _ := strconv.Atoi(port)
	data, err := platform.EncodeSettings(platform.Settings{
		Name: d.name, Role: "entry", Domain: "a", Domains: []string{"a"}, IP: "127.0.0.1",
		Consumer: d.callers, Ready: d.readiness, Control: d.operators, Ports: platform.PortSpan{First: peerPort, Last: peerPort},
		Store: platform.StoreSettings{Address: store}, Limits: platform.Limits{Cores: 1, MemoryMB: d.memory, Descriptors: descriptors},
		Bounds: platform.Bounds{MaxLease: 6000, Stop: 900, Cancel: 3000, StatusKept: clock.Minute, Grace: 6 * clock.Second},
	})
	if err != nil {
		d.t.Fatal(err)
	}
	if err := os.WriteFile(file, data, 0o600); err != nil {
		d.t.Fatal(err)
	}
}

// run runs the entry's process until the test ends.
func (d *deployment) run(file string) {
	d.t.Helper()
	output, err := os.Create(d.log)
	if err != nil {
		d.t.Fatal(err)
	}
	d.entry = exec.Command(program, "serve")
	d.entry.Env = append(os.Environ(), "GOMAXPROCS=2", platform.SettingsEnvironment(file))
	d.entry.Stdout, d.entry.Stderr = output, output
	if err := d.entry.Start(); err != nil {
		d.t.Fatal(err)
	}
	done := make(chan struct{})
	go func() {
		defer close(done)
		_ = d.entry.Wait() // it reports the kill as an error
		d.exited.Store(true)
	}()
	stopped := make(chan struct{})
	go d.watchFiles(stopped)
	d.t.Cleanup(func() {
		close(stopped)
		_ = d.entry.Process.Kill() // it may have exited already
		<-done
		_ = output.Close()
	})
}

// watchFiles keeps the largest number of descriptors that the entry had open.
func (d *deployment) watchFiles(stopped <-chan struct{}) {
	directory := fmt.Sprintf("/proc/%d/fd", d.entry.Process.Pid)
	for {
		if names, err := os.ReadDir(directory); err == nil {
			d.peakFiles.Store(max(d.peakFiles.Load(), int64(len(names))))
		}
		select {
		case <-stopped:
			return
		case <-time.After(50 * time.Millisecond):
		}
	}
}

// peakMB returns the largest resident memory that the entry had.
func (d *deployment) peakMB() int {
	d.t.Helper()
	data, err := os.ReadFile(fmt.Sprintf("/proc/%d/status", d.entry.Process.Pid))
	if err != nil {
		d.t.Fatalf("the entry has exited: %v", err)
	}
	for line := range strings.Lines(string(data)) {
		if value, found := strings.CutPrefix(line, "VmHWM:"); found {
			kilobytes, err := strconv.Atoi(strings.Fields(value)[0])
			if err != nil {
				d.t.Fatal(err)
			}
			return kilobytes >> 10
		}
	}
	d.t.Fatal("the entry has exited")
	return 0
}

// submit sends an ordinary submission on a connection of its own and returns the
// status of its answer; 0: no answer.
func (d *deployment) submit() int {
	d.jobs++
	client := &http.Client{Timeout: sendTimeout, Transport: &http.Transport{DisableKeepAlives: true}}
	body := `{"specification":"x","steps":[{"count":1,"cpu":100}]}`
	request, err := http.NewRequest(http.MethodPost, fmt.Sprintf("http://%s%s%016x", d.callers, queuePrefix, d.jobs), strings.NewReader(body))
	if err != nil {
		d.t.Fatal(err)
	}
	request.Host = queueHost
	response, err := client.Do(request)
	if err != nil {
		return 0
	}
	defer func() { _ = response.Body.Close() }()
	_, _ = io.Copy(io.Discard, response.Body)
	return response.StatusCode
}

// check fails the test unless the entry lives, has stayed within its settings, and
// answers an ordinary submission, which its caller repeats as after any refusal.
func (d *deployment) check() {
	d.t.Helper()
	status := 0
	for range ordinaryTries {
		if status = d.submit(); status == http.StatusOK {
			break
		}
		time.Sleep(retryPeriod)
	}
	if status != http.StatusOK {
		d.t.Errorf("an ordinary submission is answered %d after %d tries", status, ordinaryTries)
	}
	if d.exited.Load() {
		d.t.Fatalf("the entry has exited\n%s", d.lastLines())
	}
	peak, files := d.peakMB(), d.peakFiles.Load()
	d.t.Logf("peak of memory %d MB of %d, of descriptors %d of %d", peak, d.memory, files, descriptors)
	if peak >= d.memory {
		d.t.Errorf("peak memory is %d MB, the process has %d", peak, d.memory)
	}
	if files >= descriptors {
		d.t.Errorf("%d descriptors are open, the process has %d", files, descriptors)
	}
}

// lastLines returns the end of the entry's output.
func (d *deployment) lastLines() []byte {
	data, _ := os.ReadFile(d.log)
	lines := bytes.Split(data, []byte("\n"))
	return bytes.Join(lines[max(len(lines)-20, 0):], []byte("\n"))
}
