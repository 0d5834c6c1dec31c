package standin

import (
	"bufio"
	"bytes"
	"encoding/json"
	"fmt"
	"io"
	"net"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"strings"
	"testing"
	"time"
)

// deployment is the real program as separate processes on one VM.
type deployment struct {
	t       *testing.T
	program string
	store   string
	entries []*entryProcess
}

// entryProcess is the process of an entry.
type entryProcess struct {
	command *exec.Cmd
	callers string
	control string
	args    []string
}

// waitTimeout bounds each wait. No check depends on how long a step takes.
const waitTimeout = 60 * time.Second

// newCommand returns a command of the program that is not started yet.
func (d *deployment) newCommand(args ...string) *exec.Cmd {
	d.t.Helper()
	command := exec.Command(d.program, args...)
	command.Stderr = os.Stderr
	return command
}

// startStandin starts a stand-in and returns the address that it prints.
func (d *deployment) startStandin(args ...string) string {
	d.t.Helper()
	command := d.newCommand(append([]string{"standin"}, args...)...)
	out, err := command.StdoutPipe()
	if err != nil {
		d.t.Fatal(err)
	}
	if err := command.Start(); err != nil {
		d.t.Fatal(err)
	}
	d.t.Cleanup(func() { kill(command) })
	line, err := bufio.NewReader(out).ReadString('\n')
	if err != nil {
		d.t.Fatal(err)
	}
	return strings.TrimSpace(line)
}

func kill(command *exec.Cmd) {
	_ = command.Process.Kill() // it may have exited already
	_ = command.Wait()         // it reports the kill as an error
}

// addEntry writes the settings of an entry, with free ports.
func (d *deployment) addEntry(number int) {
	d.t.Helper()
	ports := make([]string, 3)
	for i := range ports {
		listener, err := net.Listen("tcp", "127.0.0.1:0")
		if err != nil {
			d.t.Fatal(err)
		}
		ports[i] = listener.Addr().String()
		defer func() { _ = listener.Close() }()
	}
	settings := fmt.Sprintf(`{"name": "e%d", "failure_domain": "%c", "notice_ms": 300, "platform": {"store": %q},
		"listen": {"callers": %q, "operators": %q, "peers": %q}}`, number, 'a'+rune(number), d.store, ports[0], ports[1], ports[2])
	file := filepath.Join(d.t.TempDir(), "entry.json")
	if err := os.WriteFile(file, []byte(settings), 0o600); err != nil {
		d.t.Fatal(err)
	}
	e := &entryProcess{callers: ports[0], control: ports[1], args: []string{"entry", "--settings", file}}
	d.entries = append(d.entries, e)
}

func (d *deployment) startEntry(e *entryProcess) {
	d.t.Helper()
	e.command = d.newCommand(e.args...)
	if err := e.command.Start(); err != nil {
		d.t.Fatal(err)
	}
	command := e.command
	d.t.Cleanup(func() { kill(command) })
}

// awaitResponse repeats a request until the response is the expected one.
func (d *deployment) awaitResponse(url, subject string, expected func(status int, body []byte) bool) {
	d.t.Helper()
	for deadline := time.Now().Add(waitTimeout); time.Now().Before(deadline); time.Sleep(50 * time.Millisecond) {
		response, err := http.Get(url)
		if err != nil {
			continue
		}
		body, err := io.ReadAll(response.Body)
		_ = response.Body.Close()
		if err == nil && expected(response.StatusCode, body) {
			return
		}
	}
	d.t.Fatalf("%s: no such response within %s", subject, waitTimeout)
}

// awaitOwner returns the entry that owns the cell.
func (d *deployment) awaitOwner() *entryProcess {
	d.t.Helper()
	var owner *entryProcess
	for deadline := time.Now().Add(waitTimeout); owner == nil && time.Now().Before(deadline); time.Sleep(50 * time.Millisecond) {
		for _, e := range d.entries {
			response, err := http.Get("http://" + e.control + "/state")
			if err != nil {
				continue
			}
			var state struct {
				Cell *struct{} `json:"cell"`
			}
			err = json.NewDecoder(response.Body).Decode(&state)
			_ = response.Body.Close()
			if err == nil && state.Cell != nil {
				owner = e
			}
		}
	}
	if owner == nil {
		d.t.Fatal("no entry owns the cell")
	}
	return owner
}

// Every accepted job completes although the process of the owner is killed, and
// then those of all entries at once.
func TestJobsCompleteAfterEntriesAreKilled(t *testing.T) {
	program := filepath.Join(t.TempDir(), "oriolepier")
	if output, err := exec.Command("go", "build", "-o", program, "../../..").CombinedOutput(); err != nil {
		t.Fatalf("%v\n%s", err, output)
	}
	d := &deployment{t: t, program: program}
	d.store = d.startStandin("store")
	for i := range 4 {
		d.startStandin("worker", "--store", d.store, "--name", fmt.Sprintf("w%d", i), "--pool", "ordering", "--failure-domain", string('a'+rune(i%3)))
	}
	publish := d.newCommand("publish", "--store", d.store, "../../../examples/maraval/routes.json", "../../../examples/maraval/pools.json")
	if output, err := publish.Output(); err != nil {
		t.Fatalf("publish: %v\n%s", err, output)
	}
	for i := range 3 {
		d.addEntry(i)
		d.startEntry(d.entries[i])
	}
	for _, e := range d.entries {
		d.awaitResponse("http://"+e.control+"/ready", "readiness of an entry", func(status int, _ []byte) bool { return status == http.StatusOK })
	}
	var jobs []string
	submit := func(at *entryProcess) {
		t.Helper()
		command := d.newCommand("submit", "--entry", "http://"+at.callers, "--prefix", "/jobs/formulation", "--tasks", "3")
		output, err := command.Output()
		if err != nil {
			t.Fatalf("submit: %v %s", err, output)
		}
		jobs = append(jobs, strings.TrimSpace(string(output)))
	}
	submit(d.entries[0])
	submit(d.entries[1])
	killed := d.awaitOwner()
	kill(killed.command)
	d.startEntry(killed)
	for _, e := range d.entries {
		d.awaitResponse("http://"+e.control+"/ready", "readiness after a kill", func(status int, _ []byte) bool { return status == http.StatusOK })
	}
	submit(d.entries[2])
	for _, e := range d.entries {
		kill(e.command)
	}
	for _, e := range d.entries {
		d.startEntry(e)
	}
	for _, id := range jobs {
		d.awaitResponse("http://"+d.entries[0].callers+"/jobs/formulation/"+id, "job "+id, func(status int, body []byte) bool {
			return status == http.StatusOK && bytes.Contains(body, []byte("completed"))
		})
	}
}
