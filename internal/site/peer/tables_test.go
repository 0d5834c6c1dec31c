package peer

import (
	"context"
	"fmt"
	"testing"

	"github.com/google/go-cmp/cmp"

	"github.com/oriolepier/oriolepier/internal/schedule/journal"
)

// copyOf returns a copy of the operators' topic with records of a size.
func copyOf(end int64, count, size int) TablesAnswer {
	whole := TablesAnswer{End: end}
	for i := range count {
		whole.Records = append(whole.Records, journal.Record{Key: fmt.Sprintf("key-%03d", i), Value: make([]byte, size)})
	}
	return whole
}

// outline lists the end of a copy, and the keys of its records with their sizes.
func outline(whole TablesAnswer) []string {
	lines := []string{fmt.Sprint("end ", whole.End, " more ", whole.More)}
	for _, record := range whole.Records {
		lines = append(lines, fmt.Sprint(record.Key, " ", len(record.Value)))
	}
	return lines
}

// Tables above one frame were answered by a frame that the receiver refuses, with the
// end of the connection, at each attempt.
func TestTablesAboveOneFrameAreSentInPages(t *testing.T) {
	whole := copyOf(9, 7, journal.DefaultLimits.RecordBytes-100)
	changes := 0
	address := startServer(t, Handlers{Tables: func(context.Context) TablesAnswer {
		if changes++; changes == 2 {
			return copyOf(8, 1, 1) // another copy between two pages
		}
		return whole
	}})
	client := NewClient(Security{Token: "a-token"})
	defer client.Close()
	got, err := client.Tables(context.Background(), address)
	if err != nil {
		t.Fatal(err)
	}
	if diff := cmp.Diff(outline(whole), outline(got)); diff != "" {
		t.Errorf("tables (-want +got):\n%s", diff)
	}
}

// An older version takes any answer as complete, so it must not get one page of several.
func TestOlderVersionGetsNoPartOfTables(t *testing.T) {
	small, large := copyOf(9, 3, 100), copyOf(9, 12, journal.DefaultLimits.RecordBytes)
	got := [][]string{
		outline(pageOf(TablesQuery{}, small)), outline(pageOf(TablesQuery{}, large)),
		outline(pageOf(TablesQuery{Paged: true}, copyOf(9, 1, maxFrameBytes))),
	}
	if diff := cmp.Diff([][]string{outline(small), outline(TablesAnswer{}), outline(TablesAnswer{})}, got); diff != "" {
		t.Errorf("small, large, and a record above a page (-want +got):\n%s", diff)
	}
}
