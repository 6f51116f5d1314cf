package message

import (
	"fmt"
	"math/rand/v2"
	"reflect"
	"sort"
	"testing"
)

// A follower that applies deltas has the same table as the log, from any known version and across
// leader changes.
func TestTableDeltasReproduceTable(test *testing.T) {
	for seed := range uint64(30) {
		random := rand.New(rand.NewPCG(seed, 7))
		log, table := NewTableLog(), &Table{}
		followers := []*Table{{}, {}, {}}
		members, backends := map[string]Member{}, map[string]Backend{}
		term, fullTables := uint64(1), 0
		for step := range 400 {
			for range random.IntN(4) {
				name := fmt.Sprint("n", random.IntN(20))
				switch random.IntN(4) {
				case 0:
					delete(members, name)
				case 1:
					delete(backends, name)
				case 2:
					members[name] = Member{Name: name, Ready: random.IntN(2) == 0}
				default:
					backends[name] = Backend{Name: name, Leaving: random.IntN(2) == 0, WarmAtMs: int64(random.IntN(3))}
				}
			}
			if random.IntN(40) == 0 {
				term++
			}
			next := &Table{Version: TableVersion{Term: Term{Number: term, Core: 1}, Number: uint64(step + 1)}, Complete: true}
			for _, member := range members {
				next.Members = append(next.Members, member)
			}
			for _, backend := range backends {
				next.Backends = append(next.Backends, backend)
			}
			sort.Slice(next.Members, func(left, right int) bool { return next.Members[left].Name < next.Members[right].Name })
			sort.Slice(next.Backends, func(left, right int) bool { return next.Backends[left].Name < next.Backends[right].Name })
			log.Record(table, next)
			table = next
			for index := range followers {
				if random.IntN(1+index*index*30) > 0 {
					continue
				}
				delta, known := log.Since(followers[index].Version, table)
				if !known {
					fullTables++
					followers[index] = table
					continue
				}
				applied, matches := followers[index].Apply(delta)
				if !matches || applied.Version != table.Version || !sameEntries(applied, table) {
					test.Fatalf("seed %d step %d follower %d: %v, %+v want %+v", seed, step, index, matches, applied, table)
				}
				followers[index] = applied
			}
		}
		if fullTables > 3 {
			test.Errorf("seed %d: %d full tables sent to %d followers", seed, fullTables, len(followers))
		}
		if _, matches := (&Table{}).Apply(&TableDelta{Base: TableVersion{Number: 9}}); matches {
			test.Errorf("a delta based on another version was applied")
		}
	}
}

func sameEntries(left, right *Table) bool {
	return len(left.Members) == len(right.Members) && len(left.Backends) == len(right.Backends) &&
		(len(left.Members) == 0 || reflect.DeepEqual(left.Members, right.Members)) && (len(left.Backends) == 0 || reflect.DeepEqual(left.Backends, right.Backends))
}

// The log is bounded: there is no delta from versions that it has dropped.
func TestTableLogIsBounded(test *testing.T) {
	log, table := NewTableLog(), &Table{}
	version := func(number uint64) TableVersion { return TableVersion{Term: Term{Number: 1, Core: 1}, Number: number} }
	for step := range 3000 {
		next := &Table{
			Version:  version(uint64(step + 1)),
			Backends: []Backend{{Name: fmt.Sprint("a", step)}, {Name: fmt.Sprint("b", step)}},
		}
		log.Record(table, next)
		table = next
	}
	if _, known := log.Since(version(1), table); known {
		test.Errorf("the first version is still known")
	}
	if len(log.versions) > maxTableVersions || len(log.removals) > maxTableRemovals || len(log.backends) != 2 {
		test.Errorf("%d versions, %d removals, %d backends", len(log.versions), len(log.removals), len(log.backends))
	}
	if delta, known := log.Since(version(2999), table); !known || len(delta.RemovedBackends) != 2 || len(delta.Backends) != 2 {
		test.Errorf("delta from the previous version: known %v, %+v", known, delta)
	}
}

// Cores number tables made without a leader independently, so these cannot be the base of a delta.
func TestNoDeltaFromLeaderlessTable(test *testing.T) {
	log := NewTableLog()
	first := &Table{Version: TableVersion{Number: 1}, Members: []Member{{Name: "a"}}}
	second := &Table{Version: TableVersion{Term: Term{Number: 1, Core: 1}, Number: 1}, Members: []Member{{Name: "a"}, {Name: "b"}}}
	log.Record(&Table{}, first)
	log.Record(first, second)
	if delta, known := log.Since(first.Version, second); known {
		test.Errorf("delta from a table without a leader: %+v", delta)
	}
}

// A backend is newly leaving if it is leaving in the new list but not in the old one, whether or
// not the old one contains it.
func TestNewlyLeavingCountsEachBackendOnce(test *testing.T) {
	before := []Backend{{Name: "a"}, {Name: "b", Leaving: true}, {Name: "c"}, {Name: "gone", Leaving: true}}
	after := []Backend{{Name: "a", Leaving: true}, {Name: "b", Leaving: true}, {Name: "c"}, {Name: "new", Leaving: true}}
	if count := NewlyLeaving(before, after); count != 2 {
		test.Errorf("%d newly leaving, want 2: a and new", count)
	}
	if count := NewlyLeaving(after, after); count != 0 {
		test.Errorf("%d newly leaving in an unchanged list, want none", count)
	}
}
