package routing

import (
	"testing"

	"orchidjunction/harness/golden"
	"orchidjunction/rpc"
)

// The encodings of the routing register and of a change must not change, and those in the golden
// file must be decoded.
func TestRoutingEncodingsAreStable(test *testing.T) {
	format := golden.Format{Marshal: rpc.Marshal, Unmarshal: rpc.Unmarshal}
	format.Check(test, "testdata/routing.golden", map[string]any{"Book": &State{}, "Change": &Change{}})
}
