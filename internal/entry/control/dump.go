package control

import (
	"context"

	"github.com/oriolepier/oriolepier/internal/base/clock"
	"github.com/oriolepier/oriolepier/internal/batch/journal"
	"github.com/oriolepier/oriolepier/internal/entry/member"
)

// Dump is the control side's part of an entry's dump.
type Dump struct {
	Now            clock.Millis     `json:"now_ms"`
	ConfigVersion  int64            `json:"config_version"`
	ConfigReadAge  clock.Millis     `json:"config_read_age_ms"` // -1: the stream was never read to its end
	ConfigLost     bool             `json:"config_stream_unreadable"`
	ConfigComplete bool             `json:"config_complete"`
	MarksOut       []string         `json:"out_of_service"`
	VMs            int              `json:"vms"`
	VMListAge      clock.Millis     `json:"vm_list_age_ms"` // -1: never read
	Members        []MemberState    `json:"members"`
	Effects        int              `json:"effects_pending"`
	Journal        journal.Counters `json:"journal"`
	Cells          map[string]any   `json:"cells"`
	CellsTotal     int              `json:"cells_configured"`
}

// MemberState is one other entry.
type MemberState struct {
	member.Member
	State member.State `json:"state"`
}

// Dump copies the state that decisions used. Any goroutine may call it.
func (c *Control) Dump(ctx context.Context) (Dump, error) {
	var dump Dump
	err := c.inspect(ctx, func() { dump = c.dump() })
	return dump, err
}

func (c *Control) dump() Dump {
	now := c.options.Clock.Now()
	dump := Dump{
		Now:            now,
		ConfigVersion:  c.config.Version,
		ConfigReadAge:  age(now, c.configReadAt),
		ConfigLost:     c.configLost,
		ConfigComplete: c.ledger.Complete(),
		VMs:            len(c.fleet.rows),
		VMListAge:      age(now, c.fleet.readAt),
		Effects:        c.options.Effects.Pending(),
		Journal:        c.journal.Counters(),
		Cells:          map[string]any{},
		CellsTotal:     len(c.names),
	}
	for domain := range c.config.Marks.Domains {
		dump.MarksOut = append(dump.MarksOut, domain)
	}
	for vm := range c.config.Marks.VMs {
		dump.MarksOut = append(dump.MarksOut, vm)
	}
	for _, row := range c.members.Rows() {
		dump.Members = append(dump.Members, MemberState{Member: row, State: c.members.State(row.Name, now)})
	}
	for name, own := range c.cells {
		dump.Cells[name] = own.Dump()
	}
	return dump
}

func age(now, at clock.Millis) clock.Millis {
	if at == 0 {
		return -1
	}
	return now - at
}
