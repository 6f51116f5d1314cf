package hostproxy

import (
	"net"
	"os"
	"syscall"
	"testing"
	"time"
)

// sockets are two ends of a connection of the system's own; what one end writes is
// there for the other at once.
func sockets(test *testing.T) (net.Conn, net.Conn) {
	test.Helper()
	pair, err := syscall.Socketpair(syscall.AF_UNIX, syscall.SOCK_STREAM, 0)
	if err != nil {
		test.Fatal(err)
	}
	ends := [2]net.Conn{}
	for index, descriptor := range pair {
		file := os.NewFile(uintptr(descriptor), "pair")
		if ends[index], err = net.FileConn(file); err != nil {
			test.Fatal(err)
		}
		if err := file.Close(); err != nil {
			test.Fatal(err)
		}
		test.Cleanup(func() { ends[index].Close() })
	}
	return ends[0], ends[1]
}

// An idle connection is not used again once closed, written to or old.
func TestIdleConnectionIsSound(test *testing.T) {
	now := time.Now()
	write := func(far net.Conn, text string) {
		if _, err := far.Write([]byte(text)); err != nil {
			test.Error(err)
		}
	}
	for name, play := range map[string]struct {
		spoil func(*connection, net.Conn)
		sound bool
	}{
		"quiet":       {func(*connection, net.Conn) {}, true},
		"closed":      {func(_ *connection, far net.Conn) { far.Close() }, false},
		"a byte":      {func(_ *connection, far net.Conn) { write(far, "x") }, false},
		"closed here": {func(near *connection, _ net.Conn) { near.close() }, false},
		"too old":     {func(near *connection, _ net.Conn) { near.usedAt = now.Add(-maxIdleTimeout) }, false},
		"told so":     {func(near *connection, _ net.Conn) { near.observeKeepAlive("timeout=0") }, false},
		"left over": {func(near *connection, far net.Conn) {
			write(far, "xy")
			if _, err := near.reader.ReadByte(); err != nil {
				test.Error(err)
			}
		}, false},
		"not so old": {func(near *connection, _ net.Conn) { near.usedAt = now.Add(time.Millisecond - maxIdleTimeout) }, true},
	} {
		near, far := sockets(test)
		held := newConnection(near)
		held.usedAt = now
		play.spoil(held, far)
		if held.isReusable(now) != play.sound {
			test.Errorf("%s: sound %v", name, !play.sound)
		}
	}
}

// Only sound connections are taken; others are closed and counted out.
func TestTakeDropsWhatIsNotSound(test *testing.T) {
	held := newTarget(testBackend())
	for range 3 {
		held.reserveConnection(3)
	}
	fars := []net.Conn{}
	for range 3 {
		near, far := sockets(test)
		held.releaseConnection(newConnection(near))
		fars = append(fars, far)
	}
	fars[2].Close()
	if _, err := fars[1].Write([]byte("HTTP/1.1 200 OK\r\n")); err != nil {
		test.Fatal(err)
	}
	taken := held.takeIdle(time.Now())
	if taken == nil || held.openConnections != 1 || len(held.idle) != 0 {
		test.Fatalf("%v, %d open", taken, held.openConnections)
	}
	if held.discardConnection(taken); held.takeIdle(time.Now()) != nil || held.openConnections != 0 {
		test.Errorf("%d open", held.openConnections)
	}
}

// What Keep-Alive says shortens the time of an idle connection, never lengthens it.
func TestKeepAlive(test *testing.T) {
	for text, want := range map[string]time.Duration{
		"": maxIdleTimeout, "timeout=4": 3 * time.Second, "max=5, Timeout=2": 1500 * time.Millisecond, "timeout=0": 0, "timeout=900": maxIdleTimeout,
		"timeout=-1": maxIdleTimeout, "timeout=x": maxIdleTimeout, "timeout": maxIdleTimeout, "timeout=99999999999999999999": maxIdleTimeout, "timeout=9999999999": maxIdleTimeout,
	} {
		held := newConnection(nil)
		if held.observeKeepAlive(text); held.idleTimeout != want {
			test.Errorf("%q: %s", text, held.idleTimeout)
		}
	}
}

// Connections are used again, unless the backend says otherwise or they grow old.
func TestReuse(test *testing.T) {
	for name, play := range map[string]struct {
		does act
		rest time.Duration
		want int
	}{
		"at once":         {well, 0, 1},
		"chunked":         {chunked, 0, 1},
		"after a while":   {well, maxIdleTimeout - time.Second, 1},
		"too long":        {well, maxIdleTimeout, 2},
		"within timeout":  {withFields("Keep-Alive: timeout=2\r\n"), 1400 * time.Millisecond, 1},
		"past timeout":    {withFields("Keep-Alive: timeout=2\r\n"), 1500 * time.Millisecond, 2},
		"timeout of none": {withFields("Keep-Alive: timeout=0\r\n"), 0, 2},
		"closing":         {withFields("Connection: close\r\n"), 0, 2},
		"shed":            {shed, 0, 1},
		"shed, closing": {func(exchange *exchange) bool {
			exchange.say("%s", bare(exchange.get("Attempt"), "503 Service Unavailable", "Not-Executed: 1\r\nConnection: close\r\n", ""))
			return true
		}, 0, 2},
		"shed, past timeout": {func(exchange *exchange) bool {
			exchange.say("%s", bare(exchange.get("Attempt"), "503 Service Unavailable", "Not-Executed: 1\r\nKeep-Alive: timeout=2\r\n", ""))
			return true
		}, 2 * time.Second, 2},
	} {
		inWorld(test, func(world *world) {
			world.add("b1").then(play.does)
			world.get("/once/a")
			world.goroutines.Sleep(play.rest)
			reply, id := world.get("/once/b")
			world.good(reply, id)
			if connections := world.backends["b1"].connections(); connections != play.want {
				test.Errorf("%s: %d connections", name, connections)
			}
		})
	}
}

// Idle connections are closed in time.
func TestIdleConnectionsExpire(test *testing.T) {
	inWorld(test, func(world *world) {
		world.add("b1")
		reply, id := world.get("/once/a")
		world.good(reply, id)
		world.goroutines.Sleep(maxIdleTimeout - time.Second)
		if open, _ := world.held("b1"); open != 1 {
			test.Errorf("%d open early", open)
		}
		world.goroutines.Sleep(time.Second + 2*maintenanceInterval)
		if open, _ := world.held("b1"); open != 0 {
			test.Errorf("%d open late", open)
		}
	})
}
