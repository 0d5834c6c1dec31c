package process_test

import (
	"bufio"
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"slices"
	"strings"
	"sync"
	"sync/atomic"
	"syscall"
	"testing"
	"time"

	"github.com/pkg/errors"
	"golang.org/x/sync/errgroup"

	"github.com/oriolepier/oriolepier/internal/base/clock"
	"github.com/oriolepier/oriolepier/internal/batch/job"
	"github.com/oriolepier/oriolepier/internal/config/setting"
	"github.com/oriolepier/oriolepier/internal/platform/inventory"
	"github.com/oriolepier/oriolepier/internal/standin/load"
	"github.com/oriolepier/oriolepier/internal/standin/witness"
)

// Bound of each wait for an event. It is never reached unless something is
// wrong, however busy the machine is.
const waitLimit = time.Minute

// How long the log keeps records.
const logRetention = 10 * clock.Minute

var (
	domains = []string{"a", "b", "c"}
	runs    atomic.Int32 // of this test process, for addresses of their own
)

// site is a whole deployment in separate processes on loopback.
type site struct {
	*testing.T

	ctx       context.Context
	dir       string
	binary    string
	network   string // first three parts of the addresses of this run
	platform  string // URL
	processes []*child
	entries   []*entry
	workers   []inventory.VM
}

// entry is an entry process.
type entry struct {
	settings setting.Entry
	process  *child
	offered  atomic.Bool // the balancer offers it
	said     string      // when it was last asked whether it is ready
}

// child is a process that this test started.
type child struct {
	name   string
	cmd    *exec.Cmd
	lines  *bufio.Reader
	stderr string // file
	once   sync.Once
	ended  error
}

// newSite starts the platform, two workers and two entries in each domain.
func newSite(t *testing.T) *site {
	ctx, cancel := context.WithCancel(context.Background())
	if until, bounded := t.Deadline(); bounded {
		// Leaves time to end the processes before the test process is aborted.
		ctx, cancel = context.WithDeadline(context.Background(), until.Add(-10*time.Second))
	}
	number := os.Getpid()*16 + int(runs.Add(1))%16
	site := &site{T: t, ctx: ctx, dir: t.TempDir(), network: fmt.Sprintf("127.%d.%d", 1+number/256%254, number%256)}
	t.Cleanup(func() {
		cancel()
		site.endAll()
	})
	binary, err := build()
	site.check(err)
	site.binary = binary
	site.startPlatform()
	for index := range 6 {
		site.startWorker(domains[index%3], index/3+1)
	}
	for index := range 6 {
		site.planEntry(domains[index%3], index/3+1)
	}
	for _, entry := range site.entries {
		site.startEntry(entry)
	}
	return site
}

// build builds the binary once for all runs of this test process.
var build = sync.OnceValues(func() (string, error) {
	dir, err := os.MkdirTemp("", "oriolepier")
	if err != nil {
		return "", err
	}
	buildDir = dir
	binary := filepath.Join(dir, "oriolepier")
	out, err := exec.Command("go", "build", "-o", binary, "github.com/oriolepier/oriolepier").CombinedOutput()
	return binary, errors.Wrapf(err, "build: %s", out)
})

var buildDir string // empty until something was built

func TestMain(m *testing.M) {
	code := m.Run()
	if buildDir != "" {
		_ = os.RemoveAll(buildDir)
	}
	os.Exit(code)
}

// start starts the binary; its standard output can be read by line.
func (site *site) start(name string, args ...string) *child {
	site.Helper()
	cmd := exec.CommandContext(site.ctx, site.binary, args...)
	stderr, err := os.Create(filepath.Join(site.dir, name+".log"))
	site.check(err)
	defer func() { _ = stderr.Close() }()
	cmd.Stderr = stderr
	out, err := cmd.StdoutPipe()
	site.check(err)
	site.check(cmd.Start())
	started := &child{name: name, cmd: cmd, lines: bufio.NewReader(out), stderr: stderr.Name()}
	site.processes = append(site.processes, started)
	return started
}

func (site *site) check(err error) {
	site.Helper()
	if err != nil {
		site.Fatal(err)
	}
}

// wait returns how the process ended; it must end by itself or have been told.
func (child *child) wait() error {
	child.once.Do(func() { child.ended = child.cmd.Wait() })
	return child.ended
}

// showOpen logs what keeps tasks from ending, as the entries see it.
func (site *site) showOpen() {
	for _, entry := range site.entries {
		var dump struct {
			Control struct {
				Cells json.RawMessage `json:"cells"`
			} `json:"control"`
		}
		var open struct {
			Tasks []json.RawMessage `json:"tasks"`
		}
		if site.get("http://"+entry.settings.Listen.Operators+"/v1/dump", &dump) {
			site.Logf("%s: cells %s", entry.settings.Name, dump.Control.Cells)
		}
		for _, phase := range []job.Phase{job.Queued, job.Running, job.Evicting, job.Handed, job.Returned} {
			if site.get("http://"+entry.settings.Listen.Callers+"/v1/tasks?phase="+string(phase), &open) {
				site.Logf("%s: %s %s", entry.settings.Name, phase, open.Tasks)
			}
		}
	}
}

// endAll kills what still runs, each by its id, and shows the logs of a
// failed test.
func (site *site) endAll() {
	for _, process := range site.processes {
		_ = process.cmd.Process.Kill() // has ended, or ends now
		_ = process.wait()
	}
	if !site.Failed() {
		return
	}
	for _, entry := range site.entries {
		site.Logf("%s: %s", entry.settings.Name, entry.said)
	}
	for _, process := range site.processes {
		if text, err := os.ReadFile(process.stderr); err == nil && len(text) > 0 {
			site.Logf("%s:\n%s", process.name, text[max(0, len(text)-4000):])
		}
	}
}

// firstLine decodes the line that a stand-in prints when it listens.
func (site *site) firstLine(process *child, target any) {
	site.Helper()
	line, err := process.lines.ReadBytes('\n')
	if err == nil {
		err = json.Unmarshal(line, target)
	}
	if err != nil {
		site.Fatalf("%s: %v in %q", process.name, err, line)
	}
}

func (site *site) startPlatform() {
	args := []string{
		"standin", "platform", "--listen", site.network + ".1:7000", "--list-lag-ms", "300", "--usage-lag-ms", "500",
		"--retention-ms", fmt.Sprint(int64(logRetention)),
	}
	for index, domain := range domains {
		args = append(args, "--domain-listen", fmt.Sprintf("%s=%s.%d:7000", domain, site.network, index+2))
	}
	var line struct{ Listening string }
	site.firstLine(site.start("platform", args...), &line)
	site.platform = "http://" + line.Listening
}

func (site *site) startWorker(domain string, number int) {
	name := fmt.Sprintf("%s-worker-%d", domain, number)
	process := site.start(name, "standin", "worker", "--name", name, "--failure-domain", domain,
		"--rack", fmt.Sprintf("%s-rack-%d", domain, number), "--platform", site.platform, "--cores", "8", "--memory-mb", "16000",
		"--noise", "watch=100", "--auto-save-ms", "500", "--report-ms", "300")
	var vm inventory.VM
	site.firstLine(process, &vm)
	site.workers = append(site.workers, vm)
}

func (site *site) planEntry(domain string, number int) {
	host := fmt.Sprintf("%s.%d", site.network, 10+len(site.entries))
	platform := fmt.Sprintf("http://%s.%d:7000", site.network, 2+slices.Index(domains, domain))
	site.entries = append(site.entries, &entry{settings: setting.Entry{
		Name: fmt.Sprintf("%s-entry-%d", domain, number), FailureDomain: domain, LogLevel: "info", NoticeMS: 300,
		Listen:   setting.Listen{Callers: host + ":7001", Operators: host + ":7002", Peers: host + ":7003"},
		Platform: setting.Platform{Log: platform, LogRetentionMS: logRetention, Inventory: platform, Usage: platform},
	}})
}

func (site *site) startEntry(entry *entry) {
	for _, other := range site.entries {
		entry.settings.Peers = append(entry.settings.Peers, setting.Peer{
			Name: other.settings.Name, FailureDomain: other.settings.FailureDomain, Address: other.settings.Listen.Peers,
		})
	}
	data, err := json.Marshal(entry.settings)
	site.check(err)
	// What is not set is left out: null and an empty token are no settings.
	data = bytes.Replace(data, []byte(`,"token":"","token_file":"","tls":null`), nil, 1)
	file := filepath.Join(site.dir, entry.settings.Name+".json")
	site.check(os.WriteFile(file, data, 0o600))
	entry.process = site.start(entry.settings.Name, "entry", "--settings", file)
	entry.offered.Store(true)
}

// command runs the command line and returns what it prints.
func (site *site) command(args ...string) string {
	site.Helper()
	out, err := exec.CommandContext(site.ctx, site.binary, args...).CombinedOutput()
	if err != nil {
		site.Fatalf("%s: %v\n%s", strings.Join(args, " "), err, out)
	}
	return string(out)
}

// until waits for a condition.
func (site *site) until(what string, holds func() bool) {
	site.Helper()
	for end := time.Now().Add(waitLimit); !holds(); {
		if time.Now().After(end) || site.ctx.Err() != nil {
			site.showOpen()
			site.Fatalf("waited in vain: %s", what)
		}
		time.Sleep(20 * time.Millisecond)
	}
}

// get decodes an answer; false when there was none.
func (site *site) get(url string, target any) bool {
	ctx, cancel := context.WithTimeout(site.ctx, 3*time.Second)
	defer cancel()
	request, err := http.NewRequestWithContext(ctx, http.MethodGet, url, http.NoBody)
	site.check(err)
	answer, err := http.DefaultClient.Do(request)
	if err != nil {
		return false
	}
	defer func() { _ = answer.Body.Close() }()
	data, err := io.ReadAll(answer.Body)
	return err == nil && answer.StatusCode == http.StatusOK && json.Unmarshal(data, target) == nil
}

func (site *site) verdict() (verdict witness.Verdict) {
	site.Helper()
	if !site.get(site.platform+"/standin/witness/verdict", &verdict) {
		site.Fatal("the witness does not answer")
	}
	return verdict
}

// offered is what the balancer offers to callers.
func (site *site) offered() (entries []load.Entry) {
	for _, entry := range site.entries {
		if entry.offered.Load() {
			settings := entry.settings
			entries = append(entries, load.Entry{Name: settings.Name, FailureDomain: settings.FailureDomain, Address: settings.Listen.Callers})
		}
	}
	return entries
}

func (site *site) entry(name string) *entry {
	index := slices.IndexFunc(site.entries, func(entry *entry) bool { return entry.settings.Name == name })
	return site.entries[index]
}

// stopEntries ends the entries that are left by SIGTERM; each must leave
// gracefully.
func (site *site) stopEntries() {
	site.Helper()
	var group errgroup.Group
	for _, entry := range site.entries {
		if !entry.offered.Load() {
			continue
		}
		site.check(entry.process.cmd.Process.Signal(syscall.SIGTERM))
		group.Go(entry.process.wait)
	}
	if err := group.Wait(); err != nil {
		site.Errorf("an entry did not leave gracefully: %v", err)
	}
}
