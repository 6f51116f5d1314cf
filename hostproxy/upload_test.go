package hostproxy

import (
	"io"
	"testing"
	"time"
)

// readHeadOnly takes a request's head from a connection and none of its body, and
// answers at once.
func readHeadOnly(world *world, answer func(id string) string) func(*pipe) {
	return func(pipe *pipe) {
		var got []byte
		for {
			var one [1]byte
			if _, err := io.ReadFull(pipe, one[:]); err != nil {
				return
			}
			if got = append(got, one[0]); len(got) > 4 && string(got[len(got)-4:]) == "\r\n\r\n" {
				break
			}
		}
		_, _ = io.WriteString(pipe, answer("id")) // the proxy may have left
		world.goroutines.Sleep(10 * time.Second)
	}
}

// A backend that answers before it has read the body is believed at once, whether it
// refuses or serves, and its connection is not used again: what is left of the body
// there would be read as a request.
func TestAnswerBeforeTheBodyWasSent(test *testing.T) {
	body := string(letters(0, 900<<10))
	for name, play := range map[string]struct {
		answer  func(id string) string
		status  int
		reached int
	}{
		"refusal": {func(id string) string { return bare(id, "503 Service Unavailable", "Not-Executed: full\r\n", "full") }, 200, 1},
		"success": {func(id string) string { return whole(id, "200 OK", "", text(id)) }, 200, 0},
		"failure": {func(id string) string { return whole(id, "500 X", "", text(id)) }, 500, 0},
		"promise": {func(id string) string { return whole(id, "503 X", "", text(id)) }, 502, 0},
	} {
		inWorld(test, func(world *world) {
			world.add("b1").greet(readHeadOnly(world, play.answer))
			world.addAt("b2", "plain", "e2", 8)
			client := world.client()
			defer client.pipe.Close()
			reply := client.ask("POST", raw("POST", "/once/a", "id", "", body))
			if reply.broken != nil || reply.status != play.status || reply.took > 100*time.Millisecond {
				test.Errorf("%s: %d %q %v after %s", name, reply.status, reply.body, reply.broken, reply.took)
			}
			if count := len(world.backends["b2"].seen()); count != play.reached {
				test.Errorf("%s: %d arrivals at the other", name, count)
			}
			if open, _ := world.held("b1"); open != 0 {
				test.Errorf("%s: %d connections kept", name, open)
			}
		})
	}
}

// A body that a backend reads slowly arrives whole, and the connection is kept.
func TestSlowlyReadBody(test *testing.T) {
	inWorld(test, func(world *world) {
		world.add("b1").greet(func(*pipe) { world.goroutines.Sleep(300 * time.Millisecond) })
		client := world.client()
		defer client.pipe.Close()
		body := string(letters(0, 900<<10))
		world.good(client.ask("POST", raw("POST", "/once/a", "id", "", body)), "id")
		if got := string(world.arrivals()[0].body); got != body {
			test.Errorf("%d bytes arrived", len(got))
		}
		if open, _ := world.held("b1"); open != 1 {
			test.Errorf("%d connections kept", open)
		}
	})
}

// A backend that takes no more of a body and says nothing may have run it.
func TestStalledBodyMayHaveRun(test *testing.T) {
	inWorld(test, func(world *world) {
		world.add("b1").greet(func(*pipe) { world.goroutines.Sleep(10 * time.Second) })
		world.addAt("b2", "plain", "e2", 8)
		client := world.client()
		defer client.pipe.Close()
		reply := client.ask("POST", raw("POST", "/once/a", "id", "", string(letters(0, 900<<10))))
		if reply.status != 504 || len(world.arrivals()) != 0 || reply.took > 1600*time.Millisecond {
			test.Errorf("%d after %s, %d arrivals", reply.status, reply.took, len(world.arrivals()))
		}
	})
}
