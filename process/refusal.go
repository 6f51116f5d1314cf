package process

import (
	"bytes"
	"context"
	"net"
	"net/http"
	"strings"

	"orchidjunction/rpc"
)

// connKey is where a request's context holds its connection.
type connKey struct{}

// withConn puts the connection into the context of its requests.
func withConn(ctx context.Context, conn net.Conn) context.Context {
	return context.WithValue(ctx, connKey{}, conn)
}

// checked lets a connection know that a handler answers on it, and refuses what the
// connection may not carry before the handler sees it.
func checked(handler http.Handler) http.Handler {
	return http.HandlerFunc(func(writer http.ResponseWriter, request *http.Request) {
		conn, is := request.Context().Value(connKey{}).(*clientConn)
		if !is {
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

// Lengths of the parts of a head beside its names and values.
const (
	requestLineSpaces = len("  \r\n")
	fieldSeparators   = len(":\r\n")
	headEnd           = len("\r\n")
	hostName          = len("Host")
	transferEncoding  = len("Transfer-Encoding")
)

// headSize is the least length of a request's head: the library does not tell of white space
// around values. It counts what the library takes out of the header as well.
func headSize(request *http.Request) int64 {
	size := len(request.Method) + len(request.RequestURI) + len(request.Proto) + requestLineSpaces + headEnd
	if request.Host != "" {
		size += hostName + len(request.Host) + fieldSeparators
	}
	for _, coding := range request.TransferEncoding {
		size += transferEncoding + len(coding) + fieldSeparators
	}
	for name, values := range request.Header {
		for _, value := range values {
			size += len(name) + len(value) + fieldSeparators
		}
	}
	return int64(size)
}

// bareHead is how the library's refusals go on after the status line; answers
// of handlers always have a date.
var bareHead = []byte("\r\nContent-Type: text/plain; charset=utf-8\r\nConnection: close\r\n\r\n")

// Write gives the library's own refusals of malformed requests the form that all other
// refusals have. A handler's bytes are never touched.
func (conn *clientConn) Write(body []byte) (int, error) {
	if conn.answering.Load() {
		return conn.Conn.Write(body)
	}
	line, text, found := bytes.Cut(body, bareHead)
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
