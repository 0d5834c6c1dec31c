package soak

import (
	"context"
	"fmt"
	"net"
	"os"
	"path/filepath"
	"strconv"

	"github.com/pkg/errors"

	"github.com/oriolepier/oriolepier/platform"
)

// entry is the process of an entry with the proxies beside it.
type entry struct {
	*process
	number  int
	callers string // address for callers
	control string // address for operators
	store   *storeProxy
	peers   *linkProxy // by which other entries reach it when they look for the owner
}

// portsPerEntry are those for callers, readiness, operators and other entries.
const portsPerEntry = 4

// addEntry writes the settings of an entry and prepares its process.
func (d *deployment) addEntry(ctx context.Context, number int) error {
	name := fmt.Sprintf("entry-%03d", number)
	ip := d.ip(entryPart, number)
	addresses, err := freeAddresses(ctx, ip, portsPerEntry)
	if err != nil {
		return err
	}
	callers, ready, control, peers := addresses[0], addresses[1], addresses[2], addresses[3]
	e := &entry{number: number, callers: callers, control: control}
	if e.store, err = serveStoreProxy(ctx, d.ip(entryProxyPart, number), d.storeAt, d.plan.seed+uint64(number)<<8, d.group); err != nil {
		return err
	}
	if e.peers, err = newLinkProxy(ctx, d.ip(entryProxyPart, number), peers, d.clock, d.group); err != nil {
		return err
	}
	_, port, err := net.SplitHostPort(peers)
	if err != nil {
		return errors.Wrap(err, "split address")
	}
	peerPort, err := strconv.Atoi(port)
	if err != nil {
		return errors.Wrap(err, "parse port")
	}
	data, err := platform.EncodeSettings(platform.Settings{
		Name: name, Role: "entry", Domain: domain(number), Domains: d.plan.domains(), IP: ip,
		Consumer: callers, Ready: ready, Control: control, Ports: platform.PortSpan{First: peerPort, Last: peerPort},
		Store: platform.StoreSettings{Address: e.store.address}, Limits: platform.Limits{Cores: d.plan.coresOf(number)},
		Heartbeat: workerHeartbeat,
		Bounds:    platform.Bounds{MaxLease: maxLease, Stop: stopLimit, Cancel: cancelLimit, StatusKept: statusKept, Grace: gracePeriod},
	})
	if err != nil {
		return err
	}
	file := filepath.Join(d.dir, name+".yaml")
	if err := os.WriteFile(file, data, 0o600); err != nil {
		return errors.Wrap(err, "write settings")
	}
	e.process = d.newProcess(name, []string{"serve"}, []string{platform.SettingsEnvironment(file)})
	d.entries = append(d.entries, e)
	return nil
}
