package routing

import (
	"fmt"
	"testing"

	"orchidjunction/rpc"
)

// A history knows the newest changes exactly, says what it forgot, and stays short.
func TestHistoryKnowsTheNewestAndWhatItForgot(test *testing.T) {
	const more = 100
	history, version := History{}, uint64(0)
	versions := []uint64{}
	for number := range MaxHistory + more {
		version += uint64(1 + number%7)
		versions = append(versions, version)
		history = history.With(version, fmt.Sprint(number))
	}
	for number, version := range versions {
		known := number >= more
		if history.Contains(version, fmt.Sprint(number)) != known || history.Contains(version, "another") ||
			history.MayHaveForgotten(version) == known {
			test.Fatalf(
				"order %d of %d: held %v, forgotten %v",
				number,
				len(versions),
				history.Contains(version, fmt.Sprint(number)),
				history.MayHaveForgotten(version),
			)
		}
	}
	entries := history.Entries()
	if len(entries) != MaxHistory || entries[0].Version != versions[more] || entries[MaxHistory-1].Version != version {
		test.Errorf("%d entries, from %d to %d", len(entries), entries[0].Version, entries[len(entries)-1].Version)
	}
	if len(history.Packed) > MaxHistory*(digestBytes+1) {
		test.Errorf("%d bytes", len(history.Packed))
	}
}

// A history that was packed, read and continued is the same; one that was read keeps
// its own bytes though two longer ones were made of it.
func TestHistoryLastsAndIsNotShared(test *testing.T) {
	history := History{}.With(300, "a").With(70000, "b")
	body, err := rpc.Marshal(&State{History: history})
	if err != nil {
		test.Fatal(err)
	}
	state, err := DecodeState(body)
	if err != nil {
		test.Fatal(err)
	}
	left, right := state.History.With(70001, "left"), state.History.With(70002, "right")
	if !left.Contains(70001, "left") || !right.Contains(70002, "right") || !left.Contains(300, "a") || !right.Contains(70000, "b") ||
		state.History.Contains(70001, "left") {
		test.Errorf("%+v, %+v of %+v", left.Entries(), right.Entries(), state.History.Entries())
	}
}

// A state of a former version, whose history is a list of whole digests, is read.
func TestHistoryOfFormerVersionIsRead(test *testing.T) {
	type formerBook struct {
		Config    Config
		Evacuated []string
		Reopened  []RestoredZone
		Trail     []formerEntry
	}
	body, err := rpc.Marshal(
		&formerBook{Config: Config{Version: 9}, Evacuated: []string{"z1"}, Trail: []formerEntry{{4, "four"}, {9, "nine"}}},
	)
	if err != nil {
		test.Fatal(err)
	}
	state, err := DecodeState(body)
	if err != nil || state.Config.Version != 9 || len(state.Evacuated) != 1 {
		test.Fatalf("%v: %+v", err, state)
	}
	if !state.History.Contains(4, "four") || !state.History.Contains(9, "nine") || state.History.Contains(9, "ten") ||
		state.History.Count != 2 {
		test.Errorf("%+v", state.History.Entries())
	}
	again, _ := rpc.Marshal(state)
	if back, err := DecodeState(again); err != nil || !back.History.Contains(9, "nine") {
		test.Errorf("%v: %+v", err, back)
	}
}
