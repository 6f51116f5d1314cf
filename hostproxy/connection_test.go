package hostproxy

import (
	"net"
	"os"
	"syscall"
	"testing"
	"time"
)

// socketPair returns both ends of a Unix socket pair; what one end writes can be read at the
// other immediately.
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

// An idle connection is not reused once it is closed, too old or has unread bytes.
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
		"idle":               {func(*connection, net.Conn) {}, true},
		"closed by peer":     {func(_ *connection, peer net.Conn) { peer.Close() }, false},
		"unread byte":        {func(_ *connection, peer net.Conn) { write(peer, "x") }, false},
		"closed locally":     {func(conn *connection, _ net.Conn) { conn.close() }, false},
		"too old":            {func(conn *connection, _ net.Conn) { conn.usedAt = now.Add(-maxIdleTimeout) }, false},
		"Keep-Alive timeout": {func(conn *connection, _ net.Conn) { conn.observeKeepAlive("timeout=0") }, false},
		"buffered byte": {func(conn *connection, peer net.Conn) {
			write(peer, "xy")
			if _, err := conn.reader.ReadByte(); err != nil {
				test.Error(err)
			}
		}, false},
		"not so old": {func(conn *connection, _ net.Conn) { conn.usedAt = now.Add(time.Millisecond - maxIdleTimeout) }, true},
	} {
		conn, peer := socketPair(test)
		connection := newConnection(conn)
		connection.usedAt = now
		testCase.prepare(connection, peer)
		if connection.isReusable(now) != testCase.reusable {
			test.Errorf("%s: reusable %v", name, !testCase.reusable)
		}
	}
}

// takeIdle returns only reusable connections; others are closed and no longer counted.
func TestTakeIdleDiscardsUnusableConnections(test *testing.T) {
	target := newTarget(testBackend())
	for range 3 {
		target.reserveConnection(3)
	}
	peers := []net.Conn{}
	for range 3 {
		conn, peer := socketPair(test)
		target.releaseConnection(newConnection(conn))
		peers = append(peers, peer)
	}
	peers[2].Close()
	if _, err := peers[1].Write([]byte("HTTP/1.1 200 OK\r\n")); err != nil {
		test.Fatal(err)
	}
	connection := target.takeIdle(time.Now())
	if connection == nil || target.openConnections != 1 || len(target.idle) != 0 {
		test.Fatalf("takeIdle returned %v, %d open connections, want 1", connection, target.openConnections)
	}
	if target.discardConnection(connection); target.takeIdle(time.Now()) != nil || target.openConnections != 0 {
		test.Errorf("%d open connections, want none", target.openConnections)
	}
}

// A Keep-Alive field may shorten the idle timeout of a connection, but never lengthens it.
func TestKeepAlive(test *testing.T) {
	for text, want := range map[string]time.Duration{
		"": maxIdleTimeout, "timeout=4": 3 * time.Second, "max=5, Timeout=2": 1500 * time.Millisecond, "timeout=0": 0, "timeout=900": maxIdleTimeout,
		"timeout=-1": maxIdleTimeout, "timeout=x": maxIdleTimeout, "timeout": maxIdleTimeout, "timeout=99999999999999999999": maxIdleTimeout, "timeout=9999999999": maxIdleTimeout,
	} {
		connection := newConnection(nil)
		if connection.observeKeepAlive(text); connection.idleTimeout != want {
			test.Errorf("Keep-Alive %q: idle timeout %s", text, connection.idleTimeout)
		}
	}
}

// Connections are reused unless the backend announces that it closes them or they are too old.
func TestConnectionReuse(test *testing.T) {
	for name, testCase := range map[string]struct {
		handle handler
		idle   time.Duration
		want   int
	}{
		"at once":                   {succeed, 0, 1},
		"chunked":                   {chunked, 0, 1},
		"before the idle timeout":   {succeed, maxIdleTimeout - time.Second, 1},
		"idle timeout":              {succeed, maxIdleTimeout, 2},
		"within Keep-Alive timeout": {succeedWithFields("Keep-Alive: timeout=2\r\n"), 1400 * time.Millisecond, 1},
		"after Keep-Alive timeout":  {succeedWithFields("Keep-Alive: timeout=2\r\n"), 1500 * time.Millisecond, 2},
		"Keep-Alive timeout of 0":   {succeedWithFields("Keep-Alive: timeout=0\r\n"), 0, 2},
		"Connection: close":         {succeedWithFields("Connection: close\r\n"), 0, 2},
		"shed":                      {shed, 0, 1},
		"shed, Connection: close": {func(exchange *exchange) bool {
			exchange.writef("%s", unsealedResponse(exchange.get("Attempt"), "503 Service Unavailable", "Not-Executed: 1\r\nConnection: close\r\n", ""))
			return true
		}, 0, 2},
		"shed, after Keep-Alive timeout": {func(exchange *exchange) bool {
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

// Idle connections are closed after maxIdleTimeout.
func TestIdleConnectionsExpire(test *testing.T) {
	withTestEnv(test, func(env *testEnv) {
		env.addBackend("b1")
		reply, id := env.get("/once/a")
		env.expectSuccess(reply, id)
		env.goroutines.Sleep(maxIdleTimeout - time.Second)
		if open, _ := env.targetLoad("b1"); open != 1 {
			test.Errorf("%d open connections before the idle timeout, want 1", open)
		}
		env.goroutines.Sleep(time.Second + 2*maintenanceInterval)
		if open, _ := env.targetLoad("b1"); open != 0 {
			test.Errorf("%d open connections after the idle timeout, want 0", open)
		}
	})
}
