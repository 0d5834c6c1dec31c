// Package process runs the stand-ins as processes, to try the system out and to
// test it as separate processes on one machine.
//
// The platform process serves the log, the VM list, usage reports and the
// witness on its main address; each further address serves the clients of one
// failure domain, so that the domain can be cut off. A worker process is one
// VM; it enters itself in the list and reports its usage.
//
// Each prints one line of JSON with the addresses that it listens on, so that
// port 0 can be asked for, and runs until its context ends.
//
// # Usage
//
//	code := process.RunStandin(ctx, flags, os.Stdout)
package process

import (
	"bytes"
	"context"
	"encoding/json"
	"io"
	"net"
	"net/http"
	"strings"
	"sync"

	"github.com/pkg/errors"
	"github.com/samber/lo"

	"github.com/oriolepier/oriolepier/internal/base/clock"
	"github.com/oriolepier/oriolepier/internal/standin/witness"
)

// Exit codes.
const (
	exitDone   = 0
	exitFailed = 1
)

const (
	// Of one call of the platform process by a worker.
	callTimeout = 2 * clock.Second
	// Between two tries to tell the witness.
	retryPause clock.Millis = 20
)

// StandinFlags are those of `oriolepier standin`.
type StandinFlags struct {
	Platform PlatformFlags `command:"platform" description:"Run the stand-in of the platform: log, VM list, usage reports, witness."`
	Worker   WorkerFlags   `command:"worker" description:"Run the stand-in of one worker VM."`
}

// RunStandin runs the stand-in that the flags ask for until the context ends,
// and returns the exit code.
func RunStandin(ctx context.Context, flags StandinFlags, out io.Writer) int {
	run := func() error { return runPlatform(ctx, flags.Platform, out) }
	if flags.Worker.Name != "" {
		run = func() error { return runWorker(ctx, flags.Worker, out) }
	}
	if err := run(); err != nil {
		printJSON(out, failure{Error: err.Error()})
		return exitFailed
	}
	return exitDone
}

type failure struct {
	Error string `json:"error"`
}

func printJSON(out io.Writer, value any) {
	_ = json.NewEncoder(out).Encode(value) // nobody may be reading
}

func listen(ctx context.Context, address string) (net.Listener, error) {
	var config net.ListenConfig
	listener, err := config.Listen(ctx, "tcp", address)
	return listener, errors.Wrapf(err, "listen on %s", address)
}

// Observer returns an observer that tells the witness of a platform process,
// under a name of its own, until its life ends.
func Observer(life context.Context, platformURL, source string) witness.Observer {
	platform := &platform{base: platformURL, source: source, clock: witness.SharedClock()}
	return platform.observer(life)
}

// platform is a worker's connection to the platform process.
type platform struct {
	base   string
	source string
	clock  clock.Clock

	mu       sync.Mutex // held while the witness is told, so that it hears in order
	sequence int64
}

// put sends one JSON value.
func (platform *platform) put(ctx context.Context, method, path string, value any) error {
	data, err := json.Marshal(value)
	if err != nil {
		return errors.Wrap(err, "encode")
	}
	ctx, cancel := context.WithTimeout(ctx, callTimeout.Duration())
	defer cancel()
	request, err := http.NewRequestWithContext(ctx, method, strings.TrimSuffix(platform.base, "/")+path, bytes.NewReader(data))
	if err != nil {
		return errors.Wrap(err, "build call")
	}
	answer, err := http.DefaultClient.Do(request)
	if err != nil {
		return errors.Wrap(err, path)
	}
	defer func() { _ = answer.Body.Close() }()
	text, _ := io.ReadAll(io.LimitReader(answer.Body, 1<<20)) // the status alone will do
	if answer.StatusCode != http.StatusOK {
		return errors.Errorf("%s: %s %s", path, answer.Status, text)
	}
	return nil
}

// observer tells the witness and waits until it knows, so that nobody acts on
// what the witness has not heard yet.
func (platform *platform) observer(life context.Context) witness.Observer {
	return func(_ context.Context, event witness.Event) {
		platform.mu.Lock()
		defer platform.mu.Unlock()
		platform.sequence++
		event.Source, event.Sequence = platform.source, platform.sequence
		for platform.put(context.WithoutCancel(life), http.MethodPost, "/standin/witness/events", event) != nil {
			if platform.clock.Sleep(life, retryPause) != nil {
				return // the process ends; so does what it would tell
			}
		}
	}
}

// pairs splits NAME=VALUE flags.
func pairs(flags []string) (map[string]string, error) {
	split := lo.SliceToMap(flags, func(flag string) (string, string) {
		name, value, _ := strings.Cut(flag, "=")
		return name, value
	})
	for name, value := range split {
		if name == "" || value == "" {
			return nil, errors.Errorf("%q=%q is not NAME=VALUE", name, value)
		}
	}
	return split, nil
}
