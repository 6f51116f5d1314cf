package simulation

import (
	"testing"
	"time"

	"orchidjunction/operator"
)

func (world *World) first(test *testing.T) {
	test.Helper()
	if !world.Until(10*time.Second, func() bool {
		_, err := world.Client(world.Cores[0].OperatorAddress).Put(operator.Change{Base: 0, Change: "first", Settings: Settings(1000)})
		return err == nil
	}) {
		test.Fatal("no first settings")
	}
}
