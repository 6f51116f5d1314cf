package program

import (
	"bufio"
	"encoding/json"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"testing"

	"orchidjunction/run"
	"orchidjunction/wire"
)

// Malformed and oversized requests get a typed refusal and reach no handler.
func TestMalformedRequestsAreTyped(test *testing.T) {
	probe, fault := net.Listen("tcp", "127.0.0.1:0")
	if fault != nil {
		test.Fatal(fault)
	}
	address := probe.Addr().String()
	probe.Close()
	touched := 0
	listener, mishap := Listen(address, http.HandlerFunc(func(http.ResponseWriter, *http.Request) { touched++ }), 4<<10)
	if mishap != nil {
		test.Fatal(mishap)
	}
	threads := run.NewThreads()
	listener.Serve(threads)
	defer threads.Wait()
	defer listener.Close()
	for text, want := range map[string]string{
		"BLAH\r\n\r\n":                           "400 bad_request",
		"GET / HTTP/1.1\r\n\r\n":                 "400 bad_request",
		"GET / HTTP/1.1\r\nHost: a\r\nX\r\n\r\n": "400 bad_request",
		"GET / HTTP/1.1\r\nHost: a\r\nX: " + strings.Repeat("a", 20_000) + "\r\n\r\n": "431 too_large",
	} {
		conn, fault := net.Dial("tcp", address)
		if fault != nil {
			test.Fatal(fault)
		}
		_, _ = io.WriteString(conn, text) // refused before all of an oversized one is read
		response, fault := http.ReadResponse(bufio.NewReader(conn), nil)
		if fault != nil {
			test.Errorf("%.20q: %v", text, fault)
			continue
		}
		refusal := wire.Mishap{}
		fault = json.NewDecoder(response.Body).Decode(&refusal)
		if got := fmt.Sprintf("%d %s", response.StatusCode, refusal.Kind); got != want || fault != nil {
			test.Errorf("%.20q: %s, %v, want %s", text, got, fault, want)
		}
		conn.Close()
	}
	if touched > 0 {
		test.Errorf("%d reached the handler", touched)
	}
}
