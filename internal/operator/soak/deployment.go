package soak

import (
	"context"
	"encoding/json"
	"fmt"
	"net"
	"net/http"
	"os"
	"path/filepath"
	"strconv"
	"syscall"
	"time"

	"github.com/pkg/errors"
	"golang.org/x/sync/errgroup"

	"github.com/oriolepier/oriolepier/internal/base/clock"
	"github.com/oriolepier/oriolepier/internal/schedule/journal"
	"github.com/oriolepier/oriolepier/internal/schedule/manifest"
	"github.com/oriolepier/oriolepier/platform"
)

// Times of a deployment.
const (
	readyTimeout    clock.Millis = 60 * clock.Second
	readyPoll       clock.Millis = 100
	workerExpiry    clock.Millis = 1500 // three heartbeats of a stand-in
	workerHeartbeat clock.Millis = 500
	maxLease        clock.Millis = 6 * clock.Second
	stopLimit       clock.Millis = 900
	cancelLimit     clock.Millis = 3 * clock.Second
	statusKept      clock.Millis = 10 * clock.Minute // final states are read at the end
	gracePeriod     clock.Millis = 6 * clock.Second
)

// Parts of loopback addresses: 127.<base of the soak>.<part>.<number>.
const (
	claimPart      = 0 // bound while the base is in use
	storePart      = 1
	entryPart      = 2 // and following ones, each for addressesPerPart entries
	entryProxyPart = 10
	groupPart      = 20
	storeProxyPart = 21 // of the groups
	proxyPart      = 30 // and following ones, one for each view
	firstBase      = 64
	baseCount      = 150

	addressesPerPart = 200
)

// Names of the job API.
const (
	queueHost   = "soak.example"
	queuePrefix = "/soak/"
)

// workerGroup is a process that runs workers, with the proxies in front of it.
type workerGroup struct {
	*process
	file    string
	set     workerSet
	store   *storeProxy
	proxies [][]*linkProxy // by view, then by worker
}

// deployment is a running deployment.
type deployment struct {
	plan     plan
	program  string
	env      []string
	dir      string
	base     int
	clock    clock.Clock
	group    *errgroup.Group
	store    *process
	storeAt  string
	log      journal.Log // of the store, without a proxy
	entries  []*entry
	groups   []*workerGroup
	owners   *ownerWatch
	schedule *schedule
}

// ip returns a loopback address of this soak.
func (d *deployment) ip(part, number int) string {
	return fmt.Sprintf("127.%d.%d.%d", d.base, part+number/addressesPerPart, number%addressesPerPart+1)
}

// claimPort is bound at an address of each base that is in use.
const claimPort = "20000"

// claimAddresses returns a base that no other soak uses until it is released.
func claimAddresses(ctx context.Context) (base int, release func(), err error) {
	for i := range baseCount {
		base = firstBase + (os.Getpid()+i)%baseCount
		address := net.JoinHostPort(fmt.Sprintf("127.%d.%d.1", base, claimPart), claimPort)
		claim, err := new(net.ListenConfig).Listen(ctx, "tcp", address)
		if err == nil {
			return base, func() { _ = claim.Close() }, nil
		}
	}
	return 0, nil, errors.Errorf("all %d ranges of addresses are in use", baseCount)
}

// freeAddresses returns addresses of an IP with ports that are not in use. The soak
// binds nothing else there, so the ports stay free.
func freeAddresses(ctx context.Context, ip string, count int) ([]string, error) {
	addresses := make([]string, count)
	for i := range addresses {
		listener, err := new(net.ListenConfig).Listen(ctx, "tcp", net.JoinHostPort(ip, "0"))
		if err != nil {
			return nil, errors.Wrap(err, "find a port")
		}
		defer func() { _ = listener.Close() }()
		addresses[i] = listener.Addr().String()
	}
	return addresses, nil
}

// newProcess returns a process of this program that is not started yet.
func (d *deployment) newProcess(name string, args, env []string) *process {
	return &process{
		name: name, program: d.program, args: args, env: append(env, d.env...), output: filepath.Join(d.dir, name+".log"), clock: d.clock, group: d.group,
	}
}

// start starts the stand-ins and the entries, and waits until the entries are ready.
func (d *deployment) start(ctx context.Context) error {
	if err := d.startStore(ctx); err != nil {
		return err
	}
	rng := d.plan.newRand(1)
	for number, workers := range d.plan.workerGroups(rng) {
		if err := d.startGroup(ctx, number, workers); err != nil {
			return err
		}
	}
	d.owners = &ownerWatch{log: d.log, clock: d.clock}
	d.group.Go(func() error { d.owners.serve(ctx); return nil })
	for number := range d.plan.entries {
		if err := d.addEntry(ctx, number); err != nil {
			return err
		}
	}
	views := d.workerViews()
	peers := d.peerViews()
	for _, e := range d.entries {
		e.store.setRewrite(d.rewriteFor(e, views, peers))
		if err := e.start(); err != nil {
			return err
		}
	}
	return d.awaitReady(ctx)
}

func (d *deployment) startStore(ctx context.Context) error {
	addresses, err := freeAddresses(ctx, d.ip(storePart, 0), 1)
	if err != nil {
		return err
	}
	d.storeAt = addresses[0]
	args := []string{"standin", "store", "--listen", d.storeAt, "--expire-ms", strconv.Itoa(int(workerExpiry))}
	d.store = d.newProcess("store", args, nil)
	if err := d.store.start(); err != nil {
		return err
	}
	d.log = platform.NewStore(d.storeAt).Log()
	record, err := platform.ManifestRecord(1, []manifest.Queue{{
		Name: "soak", Host: queueHost, PathPrefix: queuePrefix, Pools: []string{poolName}, MaxFailures: 5,
		ObjectiveFactor: 3, ObjectiveAllowance: 5 * clock.Second, Timeout: 3 * clock.Second,
	}}, []manifest.Pool{{Name: poolName}})
	if err != nil {
		return err
	}
	for deadline := d.clock.Now() + readyTimeout; d.clock.Now() < deadline; {
		answer := d.log.Append(ctx, journal.Append{Topic: platform.TopicOperator, ExpectedEnd: 0, Records: []journal.Record{record}})
		if answer.Outcome == journal.Done || answer.Outcome == journal.EndMismatch {
			return nil
		}
		if err := d.clock.Sleep(ctx, readyPoll); err != nil {
			return err
		}
	}
	return errors.New("the store does not answer")
}

func (d *deployment) startGroup(ctx context.Context, number int, workers []workerSetting) error {
	name := fmt.Sprintf("workers-%02d", number)
	g := &workerGroup{file: filepath.Join(d.dir, name+".json")}
	addresses, err := freeAddresses(ctx, d.ip(groupPart, number), len(workers))
	if err != nil {
		return err
	}
	if g.store, err = serveStoreProxy(ctx, d.ip(storeProxyPart, number), d.storeAt, d.plan.seed+uint64(number), d.group); err != nil {
		return err
	}
	g.set = workerSet{Store: g.store.address, Events: filepath.Join(d.dir, name+".events"), Workers: workers}
	g.proxies = make([][]*linkProxy, d.plan.views())
	for i := range workers {
		g.set.Workers[i].Listen = addresses[i]
		for view := range g.proxies {
			proxy, err := newLinkProxy(ctx, d.ip(proxyPart+view, number), g.set.Workers[i].Listen, d.clock, d.group)
			if err != nil {
				return err
			}
			g.proxies[view] = append(g.proxies[view], proxy)
		}
	}
	d.groups = append(d.groups, g)
	g.process = d.newProcess(name, []string{"standin", "workers", "--file", g.file}, nil)
	return g.launch()
}

// launch writes the file of a group and starts its process.
func (g *workerGroup) launch() error {
	data, err := json.Marshal(g.set)
	if err != nil {
		return errors.Wrap(err, "encode workers")
	}
	if err := os.WriteFile(g.file, data, 0o600); err != nil {
		return errors.Wrap(err, "write workers")
	}
	return g.start()
}

// awaitReady waits until all entries are ready.
func (d *deployment) awaitReady(ctx context.Context) error {
	client := &http.Client{Timeout: time.Second}
	deadline := d.clock.Now() + readyTimeout
	for _, e := range d.entries {
		for !isReady(ctx, client, e.control) {
			if d.clock.Now() > deadline {
				return errors.Errorf("%s is not ready", e.name)
			}
			if err := d.clock.Sleep(ctx, readyPoll); err != nil {
				return err
			}
		}
	}
	return nil
}

func isReady(ctx context.Context, client *http.Client, address string) bool {
	request, err := http.NewRequestWithContext(ctx, http.MethodGet, "http://"+address+"/ready", nil)
	if err != nil {
		return false
	}
	response, err := client.Do(request)
	if err != nil {
		return false
	}
	defer func() { _ = response.Body.Close() }()
	return response.StatusCode == http.StatusOK
}

// stop kills all processes, and ends the proxies.
func (d *deployment) stop() {
	for _, e := range d.entries {
		e.process.stop(syscall.SIGKILL)
		e.peers.close()
	}
	for _, g := range d.groups {
		if g.process != nil {
			g.process.stop(syscall.SIGKILL)
		}
		for _, view := range g.proxies {
			for _, proxy := range view {
				proxy.close()
			}
		}
	}
	if d.store != nil {
		d.store.stop(syscall.SIGKILL)
	}
}
