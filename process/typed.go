package process

import (
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"net"
	"net/http"
	"strings"
	"sync/atomic"

	"orchidjunction/rpc"
)

// jsonErrorListener gives net/http's own refusals of malformed requests the form
// that all other refusals have.
type jsonErrorListener struct{ net.Listener }

func (listener jsonErrorListener) Accept() (net.Conn, error) {
	conn, err := listener.Listener.Accept()
	if err != nil {
		return nil, err
	}
	return &jsonErrorConn{Conn: conn}, nil
}

// jsonErrorConn is a client's connection. Only what the library writes while no handler
// answers there can be a refusal of its own; a handler's bytes are never touched.
type jsonErrorConn struct {
	net.Conn
	answering atomic.Bool
}

// jsonErrorConnKey is where a request's context holds its connection.
type jsonErrorConnKey struct{}

// withConn puts the connection into the context of its requests.
func withConn(ctx context.Context, conn net.Conn) context.Context {
	return context.WithValue(ctx, jsonErrorConnKey{}, conn)
}

// marked lets a connection know that a handler answers on it; turned ends that.
func marked(handler http.Handler) http.Handler {
	return http.HandlerFunc(func(writer http.ResponseWriter, request *http.Request) {
		if conn, is := request.Context().Value(jsonErrorConnKey{}).(*jsonErrorConn); is {
			conn.answering.Store(true)
		}
		handler.ServeHTTP(writer, request)
	})
}

// turned takes a change of the connection's state: an idle one has no answer to end.
func (conn *jsonErrorConn) turned(state http.ConnState) {
	if state == http.StateIdle {
		conn.answering.Store(false)
	}
}

// CloseWrite lets the library end an answer before it closes.
func (conn *jsonErrorConn) CloseWrite() error {
	if half, able := conn.Conn.(interface{ CloseWrite() error }); able {
		return half.CloseWrite()
	}
	return nil
}

// bareHead is how the library's refusals go on after the status line; answers
// of handlers always have a date.
var bareHead = []byte("\r\nContent-Type: text/plain; charset=utf-8\r\nConnection: close\r\n\r\n")

func (conn *jsonErrorConn) Write(body []byte) (int, error) {
	if conn.answering.Load() {
		return conn.Conn.Write(body)
	}
	line, text, found := bytes.Cut(body, bareHead)
	if !found || !bytes.HasPrefix(line, []byte("HTTP/1.")) || bytes.Contains(line, []byte("\r\n")) {
		return conn.Conn.Write(body)
	}
	kind := rpc.BadRequest
	if strings.Contains(string(line), " 431 ") || strings.Contains(string(line), " 413 ") {
		kind = rpc.TooLarge
	}
	refusal, _ := json.Marshal(&rpc.Error{Code: kind, Message: strings.TrimSpace(string(text)), Outcome: rpc.NotRun})
	const head = "%s\r\nContent-Type: application/json\r\nConnection: close\r\nContent-Length: %d\r\n\r\n"
	if _, err := fmt.Fprintf(conn.Conn, head+"%s\n", line, len(refusal)+1, refusal); err != nil {
		return 0, err
	}
	return len(body), nil
}
