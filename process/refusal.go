package process

import (
	"bytes"
	"context"
	"net"
	"net/http"
	"strings"

	"orchidjunction/rpc"
)

// connContextKey is the context key of a request's connection.
type connContextKey struct{}

func withConn(ctx context.Context, conn net.Conn) context.Context {
	return context.WithValue(ctx, connContextKey{}, conn)
}

// checkRequest wraps a handler. It marks the connection as answering and rejects requests over
// the connection budget or with too long a head.
func checkRequest(handler http.Handler) http.Handler {
	return http.HandlerFunc(func(writer http.ResponseWriter, request *http.Request) {
		conn, ok := request.Context().Value(connContextKey{}).(*clientConn)
		if !ok {
			handler.ServeHTTP(writer, request)
			return
		}
		conn.answering.Store(true)
		switch {
		case conn.overBudget:
			conn.tracker.counters.Add(connectionRefused.counter, 1)
			connectionRefused.answer(writer)
		case headSize(request) > conn.headerLimit():
			conn.tracker.counters.Add(headTooLarge.counter, 1)
			headTooLarge.answer(writer)
		default:
			handler.ServeHTTP(writer, request)
		}
	})
}

// Lengths of the parts of a request head besides its field names and values.
const (
	requestLineOverhead    = len("  \r\n")
	fieldOverhead          = len(":\r\n")
	headTerminatorLength   = len("\r\n")
	hostLength             = len("Host")
	transferEncodingLength = len("Transfer-Encoding")
)

// headSize returns the minimum length of a request's head, since net/http does not report white
// space around values. It includes the fields that net/http removes from the header.
func headSize(request *http.Request) int64 {
	size := len(request.Method) + len(request.RequestURI) + len(request.Proto) + requestLineOverhead + headTerminatorLength
	if request.Host != "" {
		size += hostLength + len(request.Host) + fieldOverhead
	}
	for _, coding := range request.TransferEncoding {
		size += transferEncodingLength + len(coding) + fieldOverhead
	}
	for name, values := range request.Header {
		for _, value := range values {
			size += len(name) + len(value) + fieldOverhead
		}
	}
	return int64(size)
}

// libraryErrorHeader follows the status line in net/http's own error responses. Responses of
// handlers always have a Date.
var libraryErrorHeader = []byte("\r\nContent-Type: text/plain; charset=utf-8\r\nConnection: close\r\n\r\n")

// Write replaces net/http's own error responses to malformed requests by the JSON errors of the
// system. It passes on a handler's bytes unchanged.
func (conn *clientConn) Write(body []byte) (int, error) {
	if conn.answering.Load() {
		return conn.Conn.Write(body)
	}
	line, text, found := bytes.Cut(body, libraryErrorHeader)
	if !found || !bytes.HasPrefix(line, []byte("HTTP/1.")) || bytes.Contains(line, []byte("\r\n")) {
		return conn.Conn.Write(body)
	}
	code := rpc.BadRequest
	if strings.Contains(string(line), " 431 ") || strings.Contains(string(line), " 413 ") {
		code = rpc.TooLarge
	}
	if err := writeRefusal(conn.Conn, string(line), "", refusalBody(code, strings.TrimSpace(string(text)))); err != nil {
		return 0, err
	}
	return len(body), nil
}
