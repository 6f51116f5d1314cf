package process

import (
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"

	"orchidjunction/rpc"
)

// retryAfterSeconds is when a client that is refused for want of room may come back.
const retryAfterSeconds = "1"

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

// body is the refusal as all others of the system are.
func (refusal *headRefusal) body() []byte {
	text, _ := json.Marshal(&rpc.Error{Code: refusal.code, Message: refusal.message, Outcome: rpc.NotRun}) // texts only
	return append(text, '\n')
}

// answer refuses a request that the server has read; the connection ends with it.
func (refusal *headRefusal) answer(writer http.ResponseWriter) {
	header := writer.Header()
	header.Set("Content-Type", "application/json")
	header.Set("Connection", "close")
	if refusal.status == http.StatusServiceUnavailable {
		header.Set("Retry-After", retryAfterSeconds)
	}
	writer.WriteHeader(refusal.status)
	writer.Write(refusal.body())
}

// writeTo refuses a request on its connection.
func (refusal *headRefusal) writeTo(conn io.Writer) error {
	retry := ""
	if refusal.status == http.StatusServiceUnavailable {
		retry = "Retry-After: " + retryAfterSeconds + "\r\n"
	}
	line := fmt.Sprintf("HTTP/1.1 %d %s", refusal.status, http.StatusText(refusal.status))
	return writeRefusal(conn, line, retry, refusal.body())
}

func writeRefusal(conn io.Writer, line, fields string, body []byte) error {
	const head = "%s\r\nContent-Type: application/json\r\nConnection: close\r\n%sContent-Length: %d\r\n\r\n%s"
	_, err := fmt.Fprintf(conn, head, line, fields, len(body), body)
	return err
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
	refusal, _ := json.Marshal(&rpc.Error{Code: code, Message: strings.TrimSpace(string(text)), Outcome: rpc.NotRun}) // texts only
	if err := writeRefusal(conn.Conn, string(line), "", append(refusal, '\n')); err != nil {
		return 0, err
	}
	return len(body), nil
}
