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

// deployment is the real program as separate processes on this machine.
type deployment struct {
	t       *testing.T
	program string
	store   string
	entries []*process
}

// process is one of them.
type process struct {
	command *exec.Cmd
	callers string
	control string
	args    []string
}

// patience bounds each wait; nothing is judged by how long it takes.
const patience = 60 * time.Second

func (d *deployment) start(args ...string) *exec.Cmd {
	d.t.Helper()
	command := exec.Command(d.program, args...)
	command.Stderr = os.Stderr
	return command
}

// standin starts a stand-in and returns the address that it prints.
func (d *deployment) standin(args ...string) string {
	d.t.Helper()
	command := d.start(append([]string{"standin"}, args...)...)
	out, err := command.StdoutPipe()
	if err != nil {
		d.t.Fatal(err)
	}
	if err := command.Start(); err != nil {
		d.t.Fatal(err)
	}
	d.t.Cleanup(func() { end(command) })
	line, err := bufio.NewReader(out).ReadString('\n')
	if err != nil {
		d.t.Fatal(err)
	}
	return strings.TrimSpace(line)
}

func end(command *exec.Cmd) {
	_ = command.Process.Kill() // it may have ended
	_ = command.Wait()         // killed
}

func (d *deployment) entry(number int) {
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
	e := &process{callers: ports[0], control: ports[1], args: []string{"entry", "--settings", file}}
	d.entries = append(d.entries, e)
}

func (d *deployment) launch(e *process) {
	d.t.Helper()
	e.command = d.start(e.args...)
	if err := e.command.Start(); err != nil {
		d.t.Fatal(err)
	}
	command := e.command
	d.t.Cleanup(func() { end(command) })
}

// get asks until the answer is as wanted.
func (d *deployment) get(url, what string, wanted func(status int, body []byte) bool) {
	d.t.Helper()
	for deadline := time.Now().Add(patience); time.Now().Before(deadline); time.Sleep(50 * time.Millisecond) {
		response, err := http.Get(url)
		if err != nil {
			continue
		}
		body, err := io.ReadAll(response.Body)
		_ = response.Body.Close()
		if err == nil && wanted(response.StatusCode, body) {
			return
		}
	}
	d.t.Fatalf("%s: not within %s", what, patience)
}

func (d *deployment) owner() *process {
	d.t.Helper()
	var found *process
	for deadline := time.Now().Add(patience); found == nil && time.Now().Before(deadline); time.Sleep(50 * time.Millisecond) {
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
				found = e
			}
		}
	}
	if found == nil {
		d.t.Fatal("no entry owns the cell")
	}
	return found
}

// Separate processes finish every accepted job although the owner is killed,
// and then all entries at once.
func TestSeparateProcesses(t *testing.T) {
	program := filepath.Join(t.TempDir(), "oriolepier")
	if output, err := exec.Command("go", "build", "-o", program, "../../..").CombinedOutput(); err != nil {
		t.Fatalf("%v\n%s", err, output)
	}
	d := &deployment{t: t, program: program}
	d.store = d.standin("store")
	for i := range 4 {
		d.standin("worker", "--store", d.store, "--name", fmt.Sprintf("w%d", i), "--pool", "ordering", "--failure-domain", string('a'+rune(i%3)))
	}
	publish := d.start("publish", "--store", d.store, "../../../examples/maraval/routes.json", "../../../examples/maraval/pools.json")
	if output, err := publish.Output(); err != nil {
		t.Fatalf("publish: %v\n%s", err, output)
	}
	for i := range 3 {
		d.entry(i)
		d.launch(d.entries[i])
	}
	for _, e := range d.entries {
		d.get("http://"+e.control+"/ready", "entry ready", func(status int, _ []byte) bool { return status == http.StatusOK })
	}
	var jobs []string
	submit := func(at *process) {
		t.Helper()
		command := d.start("submit", "--entry", "http://"+at.callers, "--prefix", "/jobs/formulation", "--tasks", "3")
		output, err := command.Output()
		if err != nil {
			t.Fatalf("submit: %v %s", err, output)
		}
		jobs = append(jobs, strings.TrimSpace(string(output)))
	}
	submit(d.entries[0])
	submit(d.entries[1])
	killed := d.owner()
	end(killed.command)
	d.launch(killed)
	for _, e := range d.entries {
		d.get("http://"+e.control+"/ready", "ready after a kill", func(status int, _ []byte) bool { return status == http.StatusOK })
	}
	submit(d.entries[2])
	for _, e := range d.entries {
		end(e.command)
	}
	for _, e := range d.entries {
		d.launch(e)
	}
	for _, id := range jobs {
		d.get("http://"+d.entries[0].callers+"/jobs/formulation/"+id, "job "+id, func(status int, body []byte) bool {
			return status == http.StatusOK && bytes.Contains(body, []byte("completed"))
		})
	}
}
