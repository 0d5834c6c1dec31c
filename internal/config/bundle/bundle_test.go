package bundle

import (
	"os"
	"path/filepath"
	"reflect"
	"strings"
	"testing"

	"github.com/google/go-cmp/cmp"
	"github.com/samber/lo"
	"github.com/sebdah/goldie/v2"

	"github.com/oriolepier/oriolepier/internal/base/amount"
	"github.com/oriolepier/oriolepier/internal/config/pool"
	"github.com/oriolepier/oriolepier/internal/config/route"
	"github.com/oriolepier/oriolepier/internal/config/setting"
	"github.com/oriolepier/oriolepier/internal/config/table"
)

// Load reports exactly one finding, with its position and field, for each bad
// input in testdata/bad.
func TestLoadReportsOneFindingPerBadInput(t *testing.T) {
	cases, err := filepath.Glob("testdata/bad/*")
	if err != nil || len(cases) < 40 {
		t.Fatalf("%d cases, error %v", len(cases), err)
	}
	for _, dir := range cases {
		name := filepath.Base(dir)
		t.Run(name, func(t *testing.T) {
			_, findings := Load(readDir(t, dir))
			lines := lo.Map(findings, func(finding table.Finding, _ int) string { return finding.String() })
			if diff := cmp.Diff(1, len(lines)); diff != "" {
				t.Errorf("findings (-want +got):\n%s%s", diff, strings.Join(lines, "\n"))
			}
			if lo.ContainsBy(findings, func(finding table.Finding) bool { return finding.Line == 0 }) {
				t.Errorf("finding without a position: %s", lines)
			}
			text := strings.ReplaceAll(strings.Join(lines, "\n"), dir+"/", "")
			goldie.New(t).Assert(t, name, []byte(text+"\n"))
		})
	}
}

// Load accepts the example deployments of both customers in one call and keeps them
// apart.
func TestLoadAcceptsExamples(t *testing.T) {
	files := append(readDir(t, "../../../examples/maraval"), readDir(t, "../../../examples/tsetseg")...)
	sets, findings := Load(files)
	if diff := cmp.Diff(0, len(findings)); diff != "" {
		t.Fatalf("findings (-want +got):\n%s%v", diff, findings)
	}
	peerCounts := lo.Map(sets, func(set Set, _ int) int { return len(set.Entries[0].Peers) })
	if diff := cmp.Diff([]int{9, 9}, peerCounts); diff != "" {
		t.Errorf("peers in the settings of each deployment (-want +got):\n%s", diff)
	}
}

// docs/TABLES.md names every field of the tables and the settings.
func TestTablesPageNamesEveryField(t *testing.T) {
	page, err := os.ReadFile("../../../docs/TABLES.md")
	if err != nil {
		t.Fatal(err)
	}
	var missing []string
	for _, row := range []any{
		route.Table{},
		route.Route{},
		route.Match{},
		route.Team{},
		amount.Amount{},
		pool.Table{},
		pool.Domain{},
		pool.Pool{},
		setting.Entry{},
		setting.Listen{},
		setting.Peer{},
		setting.Platform{},
		setting.TLS{},
	} {
		for i := range reflect.TypeOf(row).NumField() {
			field, _, _ := strings.Cut(reflect.TypeOf(row).Field(i).Tag.Get("json"), ",")
			if !strings.Contains(string(page), "`"+field+"`") {
				missing = append(missing, field)
			}
		}
	}
	if diff := cmp.Diff([]string(nil), missing); diff != "" {
		t.Errorf("fields missing from docs/TABLES.md (-want +got):\n%s", diff)
	}
}

func readDir(t *testing.T, dir string) []File {
	t.Helper()
	names, err := filepath.Glob(dir + "/*.json")
	if err != nil || len(names) == 0 {
		t.Fatalf("no files in %s: %v", dir, err)
	}
	return lo.Map(names, func(name string, _ int) File {
		data, err := os.ReadFile(name)
		if err != nil {
			t.Fatal(err)
		}
		return File{Name: name, Data: data}
	})
}
