package discovery

import (
	"context"
	"fmt"
	"slices"
	"testing"
	"time"

	"orchidjunction/concurrent"
	"orchidjunction/message"
	"orchidjunction/metrics"
)

// newTestReader returns a reader after one scan of a list, and the list.
func newTestReader(count int) (*Reader, *[]message.Backend) {
	list := make([]message.Backend, 0, count)
	for number := range count {
		list = append(
			list,
			message.Backend{
				Name:     fmt.Sprintf("backend-%06d", (number*7919)%count),
				Service:  "service",
				Address:  "10.0.0.1:80",
				Zone:     "zone",
				Capacity: 16,
			},
		)
	}
	options := Options{
		MissingListsUntilRemoved: 2,
		Interval:                 time.Second,
		Lister:                   func(context.Context, PageRequest) Page { return Page{Backends: list} },
		Now:                      func() int64 { return 0 },
	}
	reader := NewReader(options, metrics.NewCounters())
	scanOnce(reader)
	return reader, &list
}

func scanOnce(reader *Reader) {
	reader.Read(concurrent.NewGroup(), func() bool { return true })
}

// Guards against a stale sorted slice after a change, one rebuilt without a change, and a
// change to a slice that Backends has returned.
func TestBackendsAreSortedAndCopiedOnChange(test *testing.T) {
	reader, list := newTestReader(5)
	first, complete := reader.Backends()
	if !complete || len(first) != 5 || first[0].Name != "backend-000000" || first[4].Name != "backend-000004" {
		test.Fatalf("first scan: %v, complete %v", first, complete)
	}
	kept := slices.Clone(first)
	scanOnce(reader)
	if again, _ := reader.Backends(); &again[0] != &first[0] {
		test.Error("sorted again without a change")
	}
	(*list)[0].Leaving = true
	scanOnce(reader)
	if changed, _ := reader.Backends(); !changed[0].Leaving {
		test.Error("a leaving backend is not marked")
	}
	*list = append(
		(*list)[:1:1],
		append((*list)[2:], message.Backend{Name: "backend-000009", Service: "service", Address: "10.0.0.9:80"})...)
	scanOnce(reader)
	if more, _ := reader.Backends(); len(more) != 6 {
		test.Errorf("%d backends after one was added and one was missing from one list, want 6", len(more))
	}
	scanOnce(reader)
	if fewer, _ := reader.Backends(); len(fewer) != 5 || fewer[4].Name != "backend-000009" {
		test.Errorf("%v after one was missing from two lists", fewer)
	}
	if !slices.Equal(first, kept) {
		test.Error("a returned slice was modified")
	}
	reader.Reset(first)
	if restored, complete := reader.Backends(); complete || !slices.Equal(restored, kept) {
		test.Errorf("%v, complete %v, after a reset", restored, complete)
	}
}
