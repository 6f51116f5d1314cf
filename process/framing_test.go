package process

import (
	"bufio"
	"io"
	"net"
	"net/http"
	"strconv"
	"strings"
	"testing"

	"orchidjunction/concurrent"
)

// dialTestServer serves a handler on a free loopback port until the test ends, and connects to it.
func dialTestServer(test *testing.T, handler http.Handler) net.Conn {
	test.Helper()
	probe, netErr := net.Listen("tcp", "127.0.0.1:0")
	if netErr != nil {
		test.Fatal(netErr)
	}
	address := probe.Addr().String()
	probe.Close()
	listener, err := Listen(address, handler, ListenOptions{Limits: ConnLimits{HeaderBytes: 4 << 10}})
	if err != nil {
		test.Fatal(err)
	}
	goroutines := concurrent.NewGroup()
	listener.Serve(goroutines)
	test.Cleanup(func() {
		listener.Close()
		goroutines.Wait()
	})
	conn, netErr := net.Dial("tcp", address)
	if netErr != nil {
		test.Fatal(netErr)
	}
	test.Cleanup(func() { conn.Close() })
	return conn
}

func send(test *testing.T, conn net.Conn, text string) {
	test.Helper()
	if _, err := io.WriteString(conn, text); err != nil {
		test.Error(err)
	}
}

// A body that resembles one of net/http's error responses must be passed on unchanged.
func TestBodyResemblingLibraryErrorIsUnchanged(test *testing.T) {
	refusal := "HTTP/1.1 400 Bad Request" + string(libraryErrorHeader) + "400 Bad Request"
	body := refusal + strings.Repeat("x", 16<<10)
	conn := dialTestServer(test, http.HandlerFunc(func(writer http.ResponseWriter, _ *http.Request) {
		writer.Header().Set("Content-Length", strconv.Itoa(len(body)))
		writer.WriteHeader(http.StatusOK)
		writer.(http.Flusher).Flush()
		writer.Write([]byte(body))
	}))
	reader := bufio.NewReader(conn)
	for range 2 {
		send(test, conn, "GET / HTTP/1.1\r\nHost: a\r\n\r\n")
		response, err := http.ReadResponse(reader, nil)
		if err != nil {
			test.Fatal(err)
		}
		if got, err := io.ReadAll(response.Body); err != nil || string(got) != body {
			test.Errorf("received %d bytes of %d, beginning with %.60q: %v", len(got), len(body), got, err)
		}
	}
	send(test, conn, "BLAH\r\n\r\n")
	response, err := http.ReadResponse(reader, nil)
	if err != nil || response.StatusCode != http.StatusBadRequest || response.Header.Get("Content-Type") != "application/json" {
		test.Errorf("malformed request after two responses: got %+v, %v", response, err)
	}
}

// net/http must not answer OPTIONS * itself: every success comes from a handler.
func TestOptionsAsteriskReachesHandler(test *testing.T) {
	conn := dialTestServer(
		test,
		http.HandlerFunc(func(writer http.ResponseWriter, _ *http.Request) { writer.WriteHeader(http.StatusNotFound) }),
	)
	send(test, conn, "OPTIONS * HTTP/1.1\r\nHost: a\r\n\r\n")
	response, err := http.ReadResponse(bufio.NewReader(conn), nil)
	if err != nil || response.StatusCode != http.StatusNotFound {
		test.Errorf("got %+v, %v, want 404", response, err)
	}
}
