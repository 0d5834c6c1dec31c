package stage

import (
	"context"
	"net"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"slices"
	"strconv"
	"sync"
	"sync/atomic"
	"syscall"
	"time"

	"github.com/pkg/errors"
	"github.com/samber/lo"

	"github.com/oriolepier/oriolepier/internal/base/codec"
	"github.com/oriolepier/oriolepier/internal/schedule/journal"
	"github.com/oriolepier/oriolepier/internal/site/ownership"
	"github.com/oriolepier/oriolepier/platform"
)

// Entry is the process of an entry with its view of the store, and the proxies by which it
// reaches workers and other entries.
type Entry struct {
	Name     string
	Domain   string // failure domain
	Callers  string // address for callers
	ready    string
	settings string
	stage    *Stage
	address  string // for other entries
	store    *storeView
	peers    map[string]*proxy // by the name of the other entry
	workers  map[string]*proxy // by the id of the worker

	mu      sync.Mutex
	command *exec.Cmd // nil while it does not run
	exited  chan struct{}
}

// portsPerEntry are those for callers, readiness, operators and other entries.
const portsPerEntry = 4

// addEntry writes the settings of an entry.
func (s *Stage) addEntry(number int, domain string) error {
	ip := s.ip(entryPart, number)
	addresses, err := s.freeAddresses(ip, portsPerEntry)
	if err != nil {
		return err
	}
	e := &Entry{
		Name: "entry-" + strconv.Itoa(number), Domain: domain, Callers: addresses[0], ready: addresses[1], address: addresses[3],
		stage: s, peers: map[string]*proxy{}, workers: map[string]*proxy{},
	}
	e.store = newStoreView(s, e)
	storeAt, err := s.serve(net.JoinHostPort(s.ip(storePart, number), "0"), e.store.handler())
	if err != nil {
		return err
	}
	_, port, err := net.SplitHostPort(addresses[3])
	if err != nil {
		return errors.Wrap(err, "split address")
	}
	peerPort, err := strconv.Atoi(port)
	if err != nil {
		return errors.Wrap(err, "parse port")
	}
	data, err := platform.EncodeSettings(platform.Settings{
		Name: e.Name, Role: "entry", Domain: domain, Domains: s.domains(), IP: ip,
		Consumer: e.Callers, Ready: e.ready, Control: addresses[2], Ports: platform.PortSpan{First: peerPort, Last: peerPort + 1},
		Store: platform.StoreSettings{Address: storeAt}, Heartbeat: heartbeat,
		Limits: platform.Limits{Cores: entryCores, MemoryMB: entryMemoryMB, Descriptors: entryDescriptors},
		Bounds: platform.Bounds{MaxLease: MaxLease, Stop: Stop, Cancel: Cancel, StatusKept: statusKept, Grace: grace},
	})
	if err != nil {
		return err
	}
	e.settings = filepath.Join(s.dir, e.Name+".yaml")
	if err := os.WriteFile(e.settings, data, 0o600); err != nil {
		return errors.Wrap(err, "write settings")
	}
	s.Entries = append(s.Entries, e)
	return nil
}

// Start starts the process with the command of the deploy file.
func (e *Entry) Start() error {
	e.mu.Lock()
	defer e.mu.Unlock()
	output, err := os.OpenFile(e.stage.LogFile(e), os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o600)
	if err != nil {
		return errors.Wrap(err, "open output")
	}
	defer func() { _ = output.Close() }()                     // the process has its own descriptor
	command := exec.Command(e.stage.options.Program, "serve") //nolint:noctx // ended by signals
	command.Env = append(os.Environ(), platform.SettingsEnvironment(e.settings))
	command.Stdout, command.Stderr = output, output
	command.SysProcAttr = &syscall.SysProcAttr{Pdeathsig: syscall.SIGKILL}
	if err := command.Start(); err != nil {
		return errors.Wrap(err, "start "+e.Name)
	}
	exited := make(chan struct{})
	e.command, e.exited = command, exited
	e.stage.group.Go(func() error {
		_ = command.Wait()
		close(exited)
		return nil
	})
	e.stage.Record.Add(e.Name, "process_started", "pid", command.Process.Pid)
	return nil
}

// Signal sends a signal to the process.
func (e *Entry) Signal(sig syscall.Signal) {
	e.mu.Lock()
	defer e.mu.Unlock()
	if e.command != nil {
		e.stage.Record.Add(e.Name, "signal", "signal", sig.String())
		_ = e.command.Process.Signal(sig) // it may have exited
	}
}

// Kill kills the process and waits for its end.
func (e *Entry) Kill() {
	e.mu.Lock()
	command, exited := e.command, e.exited
	e.command = nil
	e.mu.Unlock()
	if command == nil {
		return
	}
	_ = command.Process.Signal(syscall.SIGKILL)
	<-exited
	e.stage.Record.Add(e.Name, "process_killed")
}

// domains are the failure domains of all entries.
func (s *Stage) domains() []string { return lo.Uniq(s.options.Entries) }

// connect opens the proxies by which entries reach workers and each other.
func (s *Stage) connect() error {
	for number, e := range s.Entries {
		ip := s.ip(linkPart+number, 0)
		for _, other := range s.Entries {
			if other == e {
				continue
			}
			link, err := newProxy(s, net.JoinHostPort(ip, "0"), other.address)
			if err != nil {
				return err
			}
			e.peers[other.Name] = link
		}
		for _, w := range s.Workers {
			link, err := newProxy(s, net.JoinHostPort(ip, "0"), w.address)
			if err != nil {
				return err
			}
			e.workers[w.ID] = link
		}
	}
	return nil
}

// Cut cuts a failure domain off from the others and from the store: all connections are
// reset and refused. Callers still reach it, and what is in it still reaches each other.
func (s *Stage) Cut(domain string) { s.setCut(domain, true) }

// Heal ends a cut.
func (s *Stage) Heal(domain string) { s.setCut(domain, false) }

func (s *Stage) setCut(domain string, cut bool) {
	s.Record.Add("case", "domain_cut_off", "domain", domain, "cut", cut)
	for _, e := range s.Entries {
		inside := e.Domain == domain
		if inside {
			e.store.set(cut)
		}
		for _, other := range s.Entries {
			if other != e && inside != (other.Domain == domain) {
				e.peers[other.Name].set(cut)
			}
		}
		for _, w := range s.Workers {
			if inside != (w.Domain == domain) {
				e.workers[w.ID].set(cut)
			}
		}
	}
	for _, w := range s.Workers {
		if w.Domain == domain {
			w.setStoreless(cut)
		}
	}
}

// Silence makes all open connections of the entry to a worker silent for good. New ones
// work.
func (e *Entry) Silence(w *Worker) int {
	count := e.workers[w.ID].silence()
	e.stage.Record.Add(e.Name, "connections_silent", "worker", w.ID, "connections", count)
	return count
}

// Ready reports whether the entry says that it is ready.
func (e *Entry) Ready(ctx context.Context) bool {
	const timeout = time.Second
	ctx, cancel := context.WithTimeout(ctx, timeout)
	defer cancel()
	request, err := http.NewRequestWithContext(ctx, http.MethodGet, "http://"+e.ready+platform.PathReady, nil)
	if err != nil {
		return false
	}
	response, err := http.DefaultClient.Do(request)
	if err != nil {
		return false
	}
	_ = response.Body.Close()
	return response.StatusCode == http.StatusOK
}

// storeView is the store as one entry sees it: addresses of other owners and of workers are
// those of the entry's proxies, and a cut resets all connections.
type storeView struct {
	stage *Stage
	entry *Entry

	mu      sync.Mutex
	cut     bool
	changed chan struct{} // closed when a cut begins
}

func newStoreView(s *Stage, e *Entry) *storeView {
	return &storeView{stage: s, entry: e, changed: make(chan struct{})}
}

func (v *storeView) set(cut bool) {
	v.mu.Lock()
	defer v.mu.Unlock()
	if cut && !v.cut {
		close(v.changed)
	}
	if !cut && v.cut {
		v.changed = make(chan struct{})
	}
	v.cut = cut
}

// begin returns the channel that is closed when a cut begins, and resets the connection
// during one.
func (v *storeView) begin() <-chan struct{} {
	v.mu.Lock()
	defer v.mu.Unlock()
	if v.cut {
		panic(http.ErrAbortHandler)
	}
	return v.changed
}

func (v *storeView) handler() http.Handler {
	log := v.stage.Log
	return platform.ServeStore(journal.Log{
		Append: func(ctx context.Context, call journal.Append) journal.Answer {
			v.begin()
			return log.Append(context.WithoutCancel(ctx), call)
		},
		Read: func(ctx context.Context, call journal.Read) journal.Page {
			cut := v.begin()
			ctx, cancel := context.WithCancel(ctx)
			defer cancel()
			stopped := make(chan struct{})
			defer close(stopped)
			v.stage.group.Go(func() error {
				select {
				case <-cut:
					cancel()
				case <-stopped:
				}
				return nil
			})
			page := log.Read(ctx, call)
			v.begin()
			return v.rewrite(call.Topic, page)
		},
		Newest: func(ctx context.Context, topic string) journal.Page {
			v.begin()
			return v.rewrite(topic, log.Newest(ctx, topic))
		},
	})
}

// rewrite puts the addresses of this entry's proxies into the records of other owners and
// of workers.
func (v *storeView) rewrite(topic string, page journal.Page) journal.Page {
	page.Records = slices.Clone(page.Records)
	for i := range page.Records {
		switch topic {
		case platform.Topic("owners"):
			v.rewriteOwner(&page.Records[i].Record)
		case platform.TopicWorkers:
			v.rewriteWorker(&page.Records[i].Record)
		}
	}
	return page
}

func (v *storeView) rewriteOwner(record *journal.Record) {
	var owner ownership.Record
	if codec.Unmarshal(record.Value, &owner) != nil || v.entry.peers[owner.Name] == nil {
		return // its own record, or a removal
	}
	owner.Address = v.entry.peers[owner.Name].address
	if data, err := codec.Marshal(owner); err == nil {
		record.Value = data
	}
}

func (v *storeView) rewriteWorker(record *journal.Record) {
	listed, err := platform.DecodeWorker(record.Key, record.Value)
	if err != nil || v.entry.workers[listed.ID] == nil {
		return // a removal
	}
	listed.Address = v.entry.workers[listed.ID].address
	if data, err := platform.EncodeWorker(listed); err == nil {
		record.Value = data
	}
}

// proxy forwards connections to an address, or refuses them. Open connections can go
// silent, while new ones work.
type proxy struct {
	stage   *Stage
	address string
	target  string

	mu       sync.Mutex
	refuse   bool
	listener net.Listener // nil while connections are refused
	links    map[*link]struct{}
}

// link is a forwarded connection.
type link struct {
	caller, target net.Conn
	silent         atomic.Bool // what either side sends is dropped
}

func (l *link) close() {
	for _, conn := range []net.Conn{l.caller, l.target} {
		if tcp, ok := conn.(*net.TCPConn); ok {
			_ = tcp.SetLinger(0) // closing resets
		}
		_ = conn.Close()
	}
}

// pump forwards what one side sends, until either side is gone.
func (l *link) pump(from, to net.Conn) {
	const bufferBytes = 32 << 10
	buffer := make([]byte, bufferBytes)
	for {
		count, err := from.Read(buffer)
		if count > 0 && !l.silent.Load() {
			if _, err := to.Write(buffer[:count]); err != nil {
				return
			}
		}
		if err != nil {
			return
		}
	}
}

func newProxy(s *Stage, address, target string) (*proxy, error) {
	p := &proxy{stage: s, address: address, target: target, links: map[*link]struct{}{}}
	if err := p.listen(); err != nil {
		return nil, err
	}
	s.group.Go(func() error { <-s.ctx.Done(); p.set(true); return nil })
	return p, nil
}

func (p *proxy) listen() error {
	listener, err := new(net.ListenConfig).Listen(p.stage.ctx, "tcp", p.address)
	if err != nil {
		return errors.Wrap(err, "listen for a proxy")
	}
	p.listener, p.address = listener, listener.Addr().String()
	p.stage.group.Go(func() error {
		for {
			conn, err := listener.Accept()
			if err != nil {
				return nil //nolint:nilerr // the listener was closed
			}
			p.stage.group.Go(func() error { p.forward(conn); return nil })
		}
	})
	return nil
}

// set refuses connections and resets those that are open, or accepts them again.
func (p *proxy) set(refuse bool) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.refuse = refuse
	if !refuse && p.listener == nil {
		_ = p.listen() // the case fails visibly if the port is taken
	}
	if refuse && p.listener != nil {
		_ = p.listener.Close()
		p.listener = nil
		for l := range p.links {
			l.close()
		}
		clear(p.links)
	}
}

// silence makes all open connections silent for good, and returns their number.
func (p *proxy) silence() int {
	p.mu.Lock()
	defer p.mu.Unlock()
	for l := range p.links {
		l.silent.Store(true)
	}
	return len(p.links)
}

func (p *proxy) track(l *link) bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.refuse {
		return false
	}
	p.links[l] = struct{}{}
	return true
}

func (p *proxy) forward(caller net.Conn) {
	target, err := new(net.Dialer).DialContext(p.stage.ctx, "tcp", p.target)
	if err != nil {
		(&link{caller: caller, target: caller}).close()
		return
	}
	l := &link{caller: caller, target: target}
	defer l.close()
	if !p.track(l) {
		return
	}
	defer func() {
		p.mu.Lock()
		delete(p.links, l)
		p.mu.Unlock()
	}()
	done := make(chan struct{}, 2)
	p.stage.group.Go(func() error { l.pump(caller, target); done <- struct{}{}; return nil })
	p.stage.group.Go(func() error { l.pump(target, caller); done <- struct{}{}; return nil })
	<-done
}
