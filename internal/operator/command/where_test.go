package command

import (
	"encoding/json"
	"io"
	"net/http"
	"net/http/httptest"
	"testing"

	"github.com/google/go-cmp/cmp"
	"github.com/sebdah/goldie/v2"

	"github.com/oriolepier/oriolepier/internal/operator/option"
	"github.com/oriolepier/oriolepier/internal/schedule/journal"
	"github.com/oriolepier/oriolepier/internal/schedule/owner"
)

// whereAnswer has each kind of step.
var whereAnswer = owner.WhereAnswer{
	Job: "5c0e7a21d94b36f8", State: "running", Queue: "q", Priority: 1, Customer: "a", Excess: true, Pools: []string{"p", "r"}, JobsAhead: 3, Workers: 12,
	Unusable: []owner.WorkerCount{{Reason: "draining", Workers: 2}},
	Steps: []owner.WhereStep{
		{Step: 0, Waiting: 4, Worker: "w1", Pool: "p", Suitable: 3, Rejected: []owner.WorkerCount{{Reason: "room", Workers: 6}, {Reason: "limits", Workers: 1}}},
		{Step: 1, Waiting: 1, Reason: "room", Rejected: []owner.WorkerCount{{Reason: "room", Workers: 10}}, Reserved: []owner.WhereReservation{{Worker: "w2", LikelyStart: 400, SureStart: 900}}},
		{Step: 2, Waiting: 2, After: []int{0, 1}, Reason: "quota"},
		{Step: 3, Waiting: 1, Reason: "start_refused", RetryIn: 150},
		{Step: 4, Waiting: 1, Worker: "w3", Pool: "p", Moves: true, Suitable: 1},
	},
}

// Guards the output that operators read, and what the entry is asked.
func TestWhere(t *testing.T) {
	var asked []string
	server := httptest.NewServer(http.HandlerFunc(func(writer http.ResponseWriter, request *http.Request) {
		body, _ := io.ReadAll(request.Body)
		asked = append(asked, request.Method+" "+request.URL.String()+" "+string(body))
		_ = json.NewEncoder(writer).Encode(whereAnswer)
	}))
	t.Cleanup(server.Close)
	golden := goldie.New(t)
	for name, args := range map[string][]string{"where_table": nil, "where_json": {"--json"}} {
		asked = nil
		code, printed := runCommand(t, journal.Log{}, "", append([]string{"where", "--entry", server.URL, "5c0e7a21d94b36f8"}, args...)...)
		if code != option.ExitDone {
			t.Errorf("exit %d", code)
		}
		golden.Assert(t, name, []byte(printed))
		if diff := cmp.Diff([]string{"GET /where?job=5c0e7a21d94b36f8 "}, asked); diff != "" {
			t.Errorf("asked (-want +got):\n%s", diff)
		}
	}
	asked = nil
	runCommand(t, journal.Log{}, `{"steps":[]}`, "where", "--entry", server.URL, "--host", "h", "--path", "/p/", "--customer", "a", "-")
	if diff := cmp.Diff([]string{`POST /where?customer=a&host=h&path=%2Fp%2F {"steps":[]}`}, asked); diff != "" {
		t.Errorf("asked (-want +got):\n%s", diff)
	}
	if code, _ := runCommand(t, journal.Log{}, "", "where", "--entry", server.URL, "--host", "h", "f"); code != option.ExitUsage {
		t.Errorf("a host without a path: exit %d", code)
	}
}
