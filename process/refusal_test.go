package process

import (
	"bufio"
	"encoding/json"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"testing"

	"orchidjunction/concurrent"
	"orchidjunction/rpc"
)

// Malformed and oversized requests must get a JSON error with a code and reach no handler.
func TestMalformedRequestsGetTypedErrors(test *testing.T) {
	probe, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		test.Fatal(err)
	}
	address := probe.Addr().String()
	probe.Close()
	handled := 0
	handler := http.HandlerFunc(func(http.ResponseWriter, *http.Request) { handled++ })
	listener, err := Listen(address, handler, ListenOptions{Limits: ConnLimits{HeaderBytes: 4 << 10}})
	if err != nil {
		test.Fatal(err)
	}
	goroutines := concurrent.NewGroup()
	listener.Serve(goroutines)
	defer goroutines.Wait()
	defer listener.Close()
	for text, want := range map[string]string{
		"BLAH\r\n\r\n":                           "400 bad_request",
		"GET / HTTP/1.1\r\n\r\n":                 "400 bad_request",
		"GET / HTTP/1.1\r\nHost: a\r\nX\r\n\r\n": "400 bad_request",
		"GET / HTTP/1.1\r\nHost: a\r\nX: " + strings.Repeat("a", 20_000) + "\r\n\r\n": "431 too_large",
	} {
		conn, err := net.Dial("tcp", address)
		if err != nil {
			test.Fatal(err)
		}
		_, _ = io.WriteString(conn, text) // fails if an oversized request is refused before it is sent completely
		response, err := http.ReadResponse(bufio.NewReader(conn), nil)
		if err != nil {
			test.Errorf("%.20q: no response: %v", text, err)
			continue
		}
		refusal := rpc.Error{}
		err = json.NewDecoder(response.Body).Decode(&refusal)
		if got := fmt.Sprintf("%d %s", response.StatusCode, refusal.Code); got != want || err != nil {
			test.Errorf("%.20q: got %s, %v, want %s", text, got, err, want)
		}
		conn.Close()
	}
	if handled > 0 {
		test.Errorf("%d requests reached the handler", handled)
	}
}
