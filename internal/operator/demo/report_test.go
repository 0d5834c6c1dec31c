package demo

import (
	"encoding/json"
	"reflect"
	"testing"

	"github.com/sebdah/goldie/v2"

	"github.com/oriolepier/oriolepier/internal/config/table"
	"github.com/oriolepier/oriolepier/internal/standin/witness"
)

// Names on the last line are what scripts read.
func TestReportNames(t *testing.T) {
	data, err := json.MarshalIndent(Report{}, "", "  ")
	if err != nil {
		t.Fatal(err)
	}
	goldie.New(t).Assert(t, "report", data)
}

// A verdict in which any one rule is broken, or a task is open, fails the demo.
func TestAnyBrokenRuleFails(t *testing.T) {
	good := witness.Verdict{RequestsAnswered: 1, TasksFinished: 1, TasksAccepted: 1}
	if !newReport(good, Report{}).kept() {
		t.Error("a good verdict fails")
	}
	rules := reflect.TypeFor[witness.Rules]()
	for index := range rules.NumField() {
		bad := good
		reflect.ValueOf(&bad.Rules).Elem().Field(index).SetInt(1)
		if newReport(bad, Report{}).kept() {
			t.Errorf("%s does not fail the demo", rules.Field(index).Name)
		}
	}
	open, idle := good, witness.Verdict{}
	open.TasksOpen = 1
	for name, bad := range map[string]Report{
		"lost task": newReport(open, Report{}), "no work": newReport(idle, Report{}), "second id": newReport(good, Report{TasksDoubled: 1}),
		"too many connections": newReport(good, Report{ConnectionsOverLimit: 1}),
	} {
		if bad.kept() {
			t.Errorf("%s does not fail the demo", name)
		}
	}
}

func TestTablesAreValid(t *testing.T) {
	tables := demoTables()
	if findings := table.Check(tables.Routes, tables.Pools); len(findings) > 0 {
		t.Error(findings)
	}
}
