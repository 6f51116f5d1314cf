package control

import (
	"context"
	"fmt"
	"slices"
	"testing"
	"time"

	"orchidjunction/concurrent"
	"orchidjunction/discovery"
	"orchidjunction/message"
	"orchidjunction/metrics"
	"orchidjunction/rpc"
)

// newListReader returns a reader that has read a list of count backends.
func newListReader(count int) *discovery.Reader {
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
	lister := func(context.Context, discovery.PageRequest) discovery.Page { return discovery.Page{Backends: list} }
	reader := discovery.NewReader(
		discovery.Options{Lister: lister, Interval: time.Second, MissingListsUntilRemoved: 2, Now: func() int64 { return 0 }},
		metrics.NewCounters(),
	)
	reader.Read(concurrent.NewGroup(), func() bool { return true })
	return reader
}

// The leader's work in each table interval while nothing changes.
func BenchmarkUnchangedTable(bench *testing.B) {
	for _, count := range []int{100, 1000, 10000, 85000} {
		bench.Run(fmt.Sprint(count), func(bench *testing.B) {
			reader := newListReader(count)
			hints := newProbeHints()
			backends, _ := reader.Backends()
			before := &message.Table{Backends: hints.apply(backends, nil), Complete: true}
			for bench.Loop() {
				backends, _ := reader.Backends()
				next := &message.Table{Backends: hints.apply(backends, before.Backends), Complete: true}
				if !sameTable(before, next) {
					bench.Fatal("an unchanged table is reported as different")
				}
			}
		})
	}
}

// Hints are set on a copy of the backends and never fall below those of the former table.
func TestProbeHintsAreAppliedToACopy(test *testing.T) {
	hints, listed := newProbeHints(), []message.Backend{{Name: "a"}, {Name: "b"}, {Name: "c", ProbeHint: 9}}
	hinted := hints.apply(listed, []message.Backend{{Name: "b", ProbeHint: 4}})
	if hinted[0].ProbeHint != 0 || hinted[1].ProbeHint != 4 || hinted[2].ProbeHint != 0 {
		test.Errorf("hints of %v, want 0, 4, 0", hinted)
	}
	if listed[1].ProbeHint != 0 || listed[2].ProbeHint != 9 {
		test.Errorf("the original list was modified: %v", listed)
	}
	if again := hints.apply(hinted, nil); &again[0] != &hinted[0] {
		test.Error("list copied although all hints were set")
	}
	if none := hints.apply(nil, hinted); len(none) != 0 {
		test.Errorf("hints on an empty list: %v, want none", none)
	}
}

func TestSameTable(test *testing.T) {
	member, backend := []message.Member{{Name: "p", Ready: true}}, []message.Backend{{Name: "b", WarmAtMs: 5}}
	table := &message.Table{Members: member, Backends: backend, Complete: true}
	for name, next := range map[string]*message.Table{
		"a member":         {Members: []message.Member{{Name: "p"}}, Backends: backend, Complete: true},
		"a backend":        {Members: member, Backends: []message.Backend{{Name: "b", WarmAtMs: 6}}, Complete: true},
		"no backends":      {Members: member, Complete: true},
		"an extra backend": {Members: member, Backends: append(slices.Clone(backend), message.Backend{}), Complete: true},
		"completeness":     {Members: member, Backends: backend},
	} {
		if sameTable(table, next) {
			test.Errorf("tables reported as the same although they differ in: %s", name)
		}
	}
	if !sameTable(table, &message.Table{Members: slices.Clone(member), Backends: slices.Clone(backend), Complete: true}) {
		test.Error("a copy is reported as different")
	}
}

// Daemons with the same versions get the same bytes, encoded once, and never those of an older
// table or another routing.
func TestFetchResponsesAreEncodedOnce(test *testing.T) {
	cache := &fetchCache{}
	tables := []*message.Table{
		{Version: message.TableVersion{Number: 1}},
		{Version: message.TableVersion{Number: 2}, Members: []message.Member{{Name: "p"}}},
	}
	seen := map[string]*message.FetchResponse{}
	for round := range 3 {
		for _, table := range tables {
			for routing := range uint64(6) {
				request := &message.FetchResponse{Table: table, Routing: routing, RoutingBody: []byte{byte(routing)}}
				want, _ := rpc.Marshal(request)
				response, err := cache.get(request)
				if err != nil {
					test.Fatal(err)
				}
				body, _ := rpc.Codec{}.Marshal(response)
				if string(body) != string(want) {
					test.Errorf("round %d: wrong response for table %d, routing %d", round, table.Version.Number, routing)
				}
				again, _ := cache.get(&message.FetchResponse{Table: table, Routing: routing, RoutingBody: []byte{byte(routing)}})
				if again != response {
					test.Error("response encoded twice")
				}
				body[0] ^= 0xff
				if second, _ := (rpc.Codec{}).Marshal(again); string(second) != string(want) {
					test.Error("modifying one response's bytes modified those of others")
				}
				seen[string(want)] = response
			}
		}
	}
	if len(seen) != 12 {
		test.Errorf("%d different responses, want 12", len(seen))
	}
	if response, _ := cache.get(&message.FetchResponse{Routing: 9}); response.Routing != 9 || response.Table != nil {
		test.Errorf("got %+v, want routing 9 and no table", response)
	}
}

// The cost of a fetch of the whole table for the responding core.
func BenchmarkFetch(bench *testing.B) {
	for _, count := range []int{192, 768, 16000} {
		table := &message.Table{Version: message.TableVersion{Number: 1}}
		for number := range count {
			table.Members = append(table.Members, message.Member{
				Name: fmt.Sprintf(
					"proxy-%05d",
					number,
				),
				Kind:            "proxy",
				Zone:            "zone",
				InternalAddress: "10.0.0.1:7000",
				PublicAddress:   "10.0.0.1:8000",
				OperatorAddress: "10.0.0.1:7000",
				Incarnation:     "0123456789abcdef",
				Ready:           true,
			})
		}
		bench.Run(fmt.Sprint(count, "-uncached"), func(bench *testing.B) {
			for bench.Loop() {
				if _, err := (rpc.Codec{}).Marshal(&message.FetchResponse{Table: table}); err != nil {
					bench.Fatal(err)
				}
			}
		})
		bench.Run(fmt.Sprint(count, "-cached"), func(bench *testing.B) {
			cache := &fetchCache{}
			for bench.Loop() {
				response, _ := cache.get(&message.FetchResponse{Table: table})
				if _, err := (rpc.Codec{}).Marshal(response); err != nil {
					bench.Fatal(err)
				}
			}
		})
	}
}

// Guards against watches that time out while a large delta is transferred; a fetch is used
// instead.
func TestWatchSendsSmallDeltasOnly(test *testing.T) {
	for _, testCase := range []struct {
		changed int
		isSent  bool
	}{{1, true}, {maxWatchDelta, true}, {maxWatchDelta + 1, false}} {
		state := newTableState()
		term := message.Term{Number: 1, Core: 1}
		former := &message.Table{Version: message.TableVersion{Term: term, Number: 1}}
		next := &message.Table{Version: message.TableVersion{Term: term, Number: 2}}
		for number := range maxWatchDelta + 1 {
			backend := message.Backend{Name: fmt.Sprintf("backend-%03d", number)}
			former.Backends = append(former.Backends, backend)
			backend.Leaving = number < testCase.changed
			next.Backends = append(next.Backends, backend)
		}
		state.log.Record(state.current, former)
		state.log.Record(former, next)
		state.current = next
		response := &message.WatchResponse{}
		state.addDelta(response, former.Version)
		if (response.Delta != nil) != testCase.isSent {
			test.Errorf("%d changes: delta sent %v, want %v", testCase.changed, response.Delta != nil, testCase.isSent)
		}
	}
}
