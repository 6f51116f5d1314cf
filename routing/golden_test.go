package routing

import (
	"testing"

	"orchidjunction/harness/golden"
	"orchidjunction/rpc"
)

// The routing register and an operator's change are encoded as they were when the file
// was written, and what was written then is read back.
func TestRoutingEncodingsStay(test *testing.T) {
	format := golden.Format{Marshal: rpc.Marshal, Unmarshal: rpc.Unmarshal}
	format.Check(test, "testdata/routing.golden", map[string]any{"Book": &State{}, "Change": &Change{}})
}
