package proxy

import (
	"testing"
)

func TestGoodAnswerComesBack(test *testing.T) {
	inWorld(test, func(world *world) {
		world.add("b1")
		for _, path := range []string{"/once/a", "/again/a", "/load/a"} {
			reply, id := world.get(path)
			world.good(reply, id)
		}
		if connections := world.backends["b1"].connections(); connections != 1 {
			test.Errorf("%d connections for three requests in turn", connections)
		}
	})
}
