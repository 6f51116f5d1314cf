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

// listed is a reader that has read a list of so many backends, and the list.
func listed(count int) (*Reader, *[]message.Backend) {
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
		ListsUntilGone: 2,
		Interval:       time.Second,
		Lister:         func(context.Context, PageRequest) Page { return Page{Backends: list} },
		Now:            func() int64 { return 0 },
	}
	reader := NewReader(options, metrics.NewCounters())
	readOnce(reader)
	return reader, &list
}

func readOnce(reader *Reader) {
	reader.Read(concurrent.NewGroup(), func() bool { return true })
}

// A list that is kept sorted changes with every list that differs, and what was
// given out before stays as it was.
func TestListFollowsWhatIsRead(test *testing.T) {
	reader, list := listed(5)
	first, whole := reader.Backends()
	if !whole || len(first) != 5 || first[0].Name != "backend-000000" || first[4].Name != "backend-000004" {
		test.Fatalf("%v, whole %v", first, whole)
	}
	kept := slices.Clone(first)
	readOnce(reader)
	if again, _ := reader.Backends(); &again[0] != &first[0] {
		test.Error("sorted anew though nothing changed")
	}
	(*list)[0].Leaving = true
	readOnce(reader)
	if changed, _ := reader.Backends(); !changed[0].Leaving {
		test.Error("a backend that leaves is not told")
	}
	*list = append(
		(*list)[:1:1],
		append((*list)[2:], message.Backend{Name: "backend-000009", Service: "service", Address: "10.0.0.9:80"})...)
	readOnce(reader)
	if more, _ := reader.Backends(); len(more) != 6 {
		test.Errorf("%d backends after one came and one was missed once", len(more))
	}
	readOnce(reader)
	if fewer, _ := reader.Backends(); len(fewer) != 5 || fewer[4].Name != "backend-000009" {
		test.Errorf("%v after one was missed twice", fewer)
	}
	if !slices.Equal(first, kept) {
		test.Error("a list that was given out changed")
	}
	reader.Reset(first)
	if begun, whole := reader.Backends(); whole || !slices.Equal(begun, kept) {
		test.Errorf("%v, whole %v, though reading began from another table", begun, whole)
	}
}
