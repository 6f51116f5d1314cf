package simulation

import (
	"testing"
	"time"

	"orchidjunction/operator"
)

// putFirstSettings puts the first settings, retrying while no core accepts them.
func (world *World) putFirstSettings(test *testing.T) {
	test.Helper()
	if !world.Until(10*time.Second, func() bool {
		_, err := world.Client(world.Cores[0].OperatorAddress).Put(operator.Change{Base: 0, Change: "first", Settings: Settings(1000)})
		return err == nil
	}) {
		test.Fatal("the first settings were not accepted within 10 s")
	}
}
