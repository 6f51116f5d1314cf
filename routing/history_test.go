package routing

import (
	"fmt"
	"testing"

	"orchidjunction/rpc"
)

// A history must hold exactly the newest MaxHistory changes, report older ones as possibly
// forgotten, and stay compact.
func TestHistoryKeepsNewestChanges(test *testing.T) {
	const dropped = 100
	history, version := History{}, uint64(0)
	versions := []uint64{}
	for number := range MaxHistory + dropped {
		version += uint64(1 + number%7)
		versions = append(versions, version)
		history = history.With(version, fmt.Sprint(number))
	}
	for number, version := range versions {
		isKept := number >= dropped
		if history.Contains(version, fmt.Sprint(number)) != isKept || history.Contains(version, "another") ||
			history.MayHaveDropped(version) == isKept {
			test.Fatalf(
				"change %d of %d: contained %v, possibly forgotten %v",
				number,
				len(versions),
				history.Contains(version, fmt.Sprint(number)),
				history.MayHaveDropped(version),
			)
		}
	}
	entries := history.Entries()
	if len(entries) != MaxHistory || entries[0].Version != versions[dropped] || entries[MaxHistory-1].Version != version {
		test.Errorf("%d entries, versions %d to %d", len(entries), entries[0].Version, entries[len(entries)-1].Version)
	}
	if len(history.Packed) > MaxHistory*(digestBytes+1) {
		test.Errorf("%d bytes packed", len(history.Packed))
	}
}

// A history must survive encoding and decoding. Two histories derived from it by With must not
// share its bytes.
func TestHistorySurvivesEncodingAndIsNotShared(test *testing.T) {
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

// A state of an older release, whose history is a list of full digests, must be decoded.
func TestHistoryOfOlderReleaseIsDecoded(test *testing.T) {
	type legacyState struct {
		Config    Config
		Evacuated []string
		Reopened  []RestoredZone
		Trail     []legacyEntry
	}
	body, err := rpc.Marshal(
		&legacyState{Config: Config{Version: 9}, Evacuated: []string{"z1"}, Trail: []legacyEntry{{4, "four"}, {9, "nine"}}},
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
