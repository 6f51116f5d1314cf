package routing

import (
	"slices"
	"testing"

	"orchidjunction/rpc"
)

// appliedChange, reopenedZone and the states below are the routing register's content as the
// releases wrote it in which a history was a list of versions and digests.
type appliedChange struct {
	Version uint64
	Digest  string
}

type reopenedZone struct {
	Zone string
	AtMs int64
}

type firstState struct {
	Config    Config
	Evacuated []string
	Trail     []appliedChange
}

type secondState struct {
	Config    Config
	Evacuated []string
	Reopened  []reopenedZone
	Trail     []appliedChange
}

// A register of a former release is read whole: routes, evacuated and restored zones, and
// the orders that were taken.
func TestStateOfFormerReleaseIsRead(test *testing.T) {
	config := Config{
		Version:  9,
		Services: []Service{{Name: "desk"}},
		Routes:   []Route{{Name: "r", Host: "h", Prefix: "/a/", Service: "desk"}},
	}
	applied := []appliedChange{{Version: 3, Digest: "three"}, {Version: 9, Digest: "nine"}}
	for name, former := range map[string]any{
		"first release":  &firstState{Config: config, Evacuated: []string{"z1"}, Trail: applied},
		"second release": &secondState{Config: config, Evacuated: []string{"z1"}, Reopened: []reopenedZone{{"z2", 77}}, Trail: applied},
		"no order yet":   &secondState{Config: config, Evacuated: []string{"z1"}},
	} {
		body, err := rpc.Marshal(former)
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
		if second, isSecond := former.(*secondState); isSecond && len(state.Restored) != len(second.Reopened) {
			test.Errorf("%s: restored %v", name, state.Restored)
		}
		hasOrders := state.History.Contains(3, "three") && state.History.Contains(9, "nine") && !state.History.Contains(9, "other")
		if wanted := name != "no order yet"; hasOrders != wanted {
			test.Errorf("%s: orders %v", name, state.History.Entries())
		}
	}
	if _, err := DecodeState([]byte("no register at all")); err == nil {
		test.Error("bytes that are no register are read")
	}
}
