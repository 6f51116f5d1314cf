package routing

import (
	"slices"
	"testing"

	"orchidjunction/rpc"
)

// appliedChange, legacyRestoredZone and the states below are the content of the routing register as
// written by the two releases whose history was a list of versions and digests.
type appliedChange struct {
	Version uint64
	Digest  string
}

type legacyRestoredZone struct {
	Zone string
	AtMs int64
}

type release1State struct {
	Config    Config
	Evacuated []string
	Trail     []appliedChange
}

type release2State struct {
	Config    Config
	Evacuated []string
	Reopened  []legacyRestoredZone
	Trail     []appliedChange
}

// The register of an older release must be decoded completely: routes, evacuated and restored
// zones, and the accepted changes.
func TestStateOfOlderReleasesIsDecoded(test *testing.T) {
	config := Config{
		Version:  9,
		Services: []Service{{Name: "desk"}},
		Routes:   []Route{{Name: "r", Host: "h", Prefix: "/a/", Service: "desk"}},
	}
	applied := []appliedChange{{Version: 3, Digest: "three"}, {Version: 9, Digest: "nine"}}
	for name, older := range map[string]any{
		"first release":  &release1State{Config: config, Evacuated: []string{"z1"}, Trail: applied},
		"second release": &release2State{Config: config, Evacuated: []string{"z1"}, Reopened: []legacyRestoredZone{{"z2", 77}}, Trail: applied},
		"no change yet":  &release2State{Config: config, Evacuated: []string{"z1"}},
	} {
		body, err := rpc.Marshal(older)
		if err != nil {
			test.Fatal(name, err)
		}
		state, err := DecodeState(body)
		if err != nil {
			test.Errorf("%s: %v", name, err)
			continue
		}
		if state.Config.Version != 9 || len(state.Config.Routes) != 1 || !slices.Equal(state.Evacuated, []string{"z1"}) {
			test.Errorf("%s: %+v", name, state)
		}
		if second, isSecond := older.(*release2State); isSecond && len(state.Restored) != len(second.Reopened) {
			test.Errorf("%s: restored zones %v", name, state.Restored)
		}
		hasChanges := state.History.Contains(3, "three") && state.History.Contains(9, "nine") && !state.History.Contains(9, "other")
		if want := name != "no change yet"; hasChanges != want {
			test.Errorf("%s: history %v", name, state.History.Entries())
		}
	}
	if _, err := DecodeState([]byte("no register at all")); err == nil {
		test.Error("an invalid register was decoded")
	}
}
