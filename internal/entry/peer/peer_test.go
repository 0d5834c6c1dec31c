package peer

import (
	"bufio"
	"bytes"
	"context"
	"encoding/binary"
	"net"
	"testing"
	"time"

	"github.com/google/go-cmp/cmp"
	"golang.org/x/sync/errgroup"

	"github.com/oriolepier/oriolepier/internal/base/fault"
	"github.com/oriolepier/oriolepier/internal/entry/member"
)

const longWait = 20 * time.Second

// serve runs a server until the test ends and returns its address.
func serveOne(t *testing.T, token string) string {
	t.Helper()
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	server := NewServer(Options{Name: "server", Token: token, Handlers: Handlers{
		Heartbeat: func(beat member.Beat) (member.Beat, error) {
			return member.Beat{Name: "server", ConfigVersion: beat.ConfigVersion + 1}, nil
		},
		Config: func(query ConfigQuery) (ConfigAnswer, error) {
			return ConfigAnswer{}, fault.Newf(fault.NotRun, "config", "", "none newer than %d", query.Have)
		},
	}})
	ctx, cancel := context.WithCancel(context.Background())
	var group errgroup.Group
	group.Go(func() error { return server.Serve(ctx, listener) })
	t.Cleanup(func() {
		cancel()
		_ = group.Wait()
	})
	return listener.Addr().String()
}

func call(t *testing.T, client *Client, address string) (member.Beat, error) {
	t.Helper()
	ctx, cancel := context.WithTimeout(context.Background(), longWait)
	defer cancel()
	var answer member.Beat
	err := client.Call(ctx, address, Heartbeat, member.Beat{Name: "client", ConfigVersion: 4}, &answer)
	return answer, err
}

func TestCallAnswers(t *testing.T) {
	client := NewClient(Options{Name: "client", Token: "secret"})
	defer client.Close()
	answer, err := call(t, client, serveOne(t, "secret"))
	if err != nil {
		t.Fatal(err)
	}
	if diff := cmp.Diff(int64(5), answer.ConfigVersion); diff != "" {
		t.Error(diff)
	}
}

func TestWrongTokenIsNotAdmitted(t *testing.T) {
	client := NewClient(Options{Name: "client", Token: "guess"})
	defer client.Close()
	answer, err := call(t, client, serveOne(t, "secret"))
	if err == nil {
		t.Fatalf("answered %+v", answer)
	}
	if diff := cmp.Diff(hello, fault.StepOf(err)); diff != "" {
		t.Error(diff)
	}
}

func TestCallBeforeHelloIsNotAdmitted(t *testing.T) {
	conn, err := net.Dial("tcp", serveOne(t, "secret"))
	if err != nil {
		t.Fatal(err)
	}
	defer func() { _ = conn.Close() }()
	request := map[string]any{"jsonrpc": "2.0", "id": 1, "method": Heartbeat, "params": member.Beat{Name: "x"}}
	if err := (boundedCodec{}).WriteObject(conn, request); err != nil {
		t.Fatal(err)
	}
	var answer struct {
		Result *member.Beat `json:"result"`
	}
	_ = (boundedCodec{}).ReadObject(bufio.NewReader(conn), &answer) // refused or closed
	if answer.Result != nil {
		t.Errorf("answered without hello: %+v", answer.Result)
	}
}

func TestRefusalKeepsTheConnection(t *testing.T) {
	client := NewClient(Options{Name: "client", Token: "secret"})
	defer client.Close()
	address := serveOne(t, "secret")
	ctx, cancel := context.WithTimeout(context.Background(), longWait)
	defer cancel()
	err := client.Call(ctx, address, Config, ConfigQuery{Have: 3}, &ConfigAnswer{})
	if diff := cmp.Diff(fault.Answered, fault.OutcomeOf(err)); diff != "" {
		t.Error(diff)
	}
	if diff := cmp.Diff(1, len(client.conns)); diff != "" {
		t.Error(diff)
	}
}

func TestLongFrameIsRefusedUnread(t *testing.T) {
	frame := binary.AppendUvarint(nil, maxFrameBytes+1)
	var target any
	err := boundedCodec{}.ReadObject(bufio.NewReader(bytes.NewReader(frame)), &target)
	if diff := cmp.Diff("read frame", fault.StepOf(err)); diff != "" {
		t.Error(diff)
	}
}

func TestNobodyListening(t *testing.T) {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	address := listener.Addr().String()
	_ = listener.Close()
	client := NewClient(Options{Name: "client"})
	_, err = call(t, client, address)
	if diff := cmp.Diff(fault.NotSent, fault.OutcomeOf(err)); diff != "" {
		t.Error(diff)
	}
}
