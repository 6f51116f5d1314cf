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
func socketPair(test *testing.T) (net.Conn, net.Conn) {
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
func TestIdleConnectionIsReusable(test *testing.T) {
	now := time.Now()
	write := func(peer net.Conn, text string) {
		if _, err := peer.Write([]byte(text)); err != nil {
			test.Error(err)
		}
	}
	for name, testCase := range map[string]struct {
		prepare  func(*connection, net.Conn)
		reusable bool
	}{
		"quiet":       {func(*connection, net.Conn) {}, true},
		"closed":      {func(_ *connection, peer net.Conn) { peer.Close() }, false},
		"a byte":      {func(_ *connection, peer net.Conn) { write(peer, "x") }, false},
		"closed here": {func(conn *connection, _ net.Conn) { conn.close() }, false},
		"too old":     {func(conn *connection, _ net.Conn) { conn.usedAt = now.Add(-maxIdleTimeout) }, false},
		"told so":     {func(conn *connection, _ net.Conn) { conn.observeKeepAlive("timeout=0") }, false},
		"left over": {func(conn *connection, peer net.Conn) {
			write(peer, "xy")
			if _, err := conn.reader.ReadByte(); err != nil {
				test.Error(err)
			}
		}, false},
		"not so old": {func(conn *connection, _ net.Conn) { conn.usedAt = now.Add(time.Millisecond - maxIdleTimeout) }, true},
	} {
		conn, peer := socketPair(test)
		held := newConnection(conn)
		held.usedAt = now
		testCase.prepare(held, peer)
		if held.isReusable(now) != testCase.reusable {
			test.Errorf("%s: sound %v", name, !testCase.reusable)
		}
	}
}

// Only sound connections are taken; others are closed and counted out.
func TestTakeIdleDiscardsUnusableConnections(test *testing.T) {
	held := newTarget(ownBackend())
	for range 3 {
		held.reserveConnection(3)
	}
	peers := []net.Conn{}
	for range 3 {
		conn, peer := socketPair(test)
		held.releaseConnection(newConnection(conn))
		peers = append(peers, peer)
	}
	peers[2].Close()
	if _, err := peers[1].Write([]byte("HTTP/1.1 200 OK\r\n")); err != nil {
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
func TestConnectionReuse(test *testing.T) {
	for name, testCase := range map[string]struct {
		handle handler
		idle   time.Duration
		want   int
	}{
		"at once":         {succeed, 0, 1},
		"chunked":         {chunked, 0, 1},
		"after a while":   {succeed, maxIdleTimeout - time.Second, 1},
		"too long":        {succeed, maxIdleTimeout, 2},
		"within timeout":  {succeedWithFields("Keep-Alive: timeout=2\r\n"), 1400 * time.Millisecond, 1},
		"past timeout":    {succeedWithFields("Keep-Alive: timeout=2\r\n"), 1500 * time.Millisecond, 2},
		"timeout of none": {succeedWithFields("Keep-Alive: timeout=0\r\n"), 0, 2},
		"closing":         {succeedWithFields("Connection: close\r\n"), 0, 2},
		"shed":            {shed, 0, 1},
		"shed, closing": {func(exchange *exchange) bool {
			exchange.writef("%s", unsealedResponse(exchange.get("Attempt"), "503 Service Unavailable", "Not-Executed: 1\r\nConnection: close\r\n", ""))
			return true
		}, 0, 2},
		"shed, past timeout": {func(exchange *exchange) bool {
			exchange.writef("%s", unsealedResponse(exchange.get("Attempt"), "503 Service Unavailable", "Not-Executed: 1\r\nKeep-Alive: timeout=2\r\n", ""))
			return true
		}, 2 * time.Second, 2},
	} {
		withTestEnv(test, func(env *testEnv) {
			env.addBackend("b1").handleNext(testCase.handle)
			env.get("/once/a")
			env.goroutines.Sleep(testCase.idle)
			reply, id := env.get("/once/b")
			env.expectSuccess(reply, id)
			if connections := env.backends["b1"].connections(); connections != testCase.want {
				test.Errorf("%s: %d connections", name, connections)
			}
		})
	}
}

// Idle connections are closed in time.
func TestIdleConnectionsExpire(test *testing.T) {
	withTestEnv(test, func(env *testEnv) {
		env.addBackend("b1")
		reply, id := env.get("/once/a")
		env.expectSuccess(reply, id)
		env.goroutines.Sleep(maxIdleTimeout - time.Second)
		if open, _ := env.targetLoad("b1"); open != 1 {
			test.Errorf("%d open early", open)
		}
		env.goroutines.Sleep(time.Second + 2*maintenanceInterval)
		if open, _ := env.targetLoad("b1"); open != 0 {
			test.Errorf("%d open late", open)
		}
	})
}
