package process

import (
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"os"
	"time"

	"orchidjunction/rpc"
)

// retryAfterSeconds is the Retry-After value of 503 responses.
const retryAfterSeconds = "1"

// headRefusal is the response to a request that is rejected because of its head or its connection.
type headRefusal struct {
	status  int
	code    rpc.Code
	message string
	counter string
}

var (
	headTooLarge = &headRefusal{
		http.StatusRequestHeaderFieldsTooLarge, rpc.TooLarge, "request head exceeds the size limit", "heads_too_large",
	}
	headTimeout       = &headRefusal{http.StatusRequestTimeout, rpc.RequestTimeout, "request head not received in time", "heads_late"}
	headWithoutMemory = &headRefusal{
		http.StatusServiceUnavailable, rpc.Overloaded, "not enough memory for the request head", "heads_without_memory",
	}
	connectionRefused = &headRefusal{http.StatusServiceUnavailable, rpc.Overloaded, "too many connections", "connections_refused_full"}
)

// refusalWriteTimeout bounds the writing of a refusal. The connection stays open for refusalLinger
// after it, since closing with unread bytes resets the connection before the client has read it.
const (
	refusalWriteTimeout = time.Second
	refusalLinger       = 500 * time.Millisecond
)

// refuse responds to a head that is not read to its end. It returns the read error that makes
// the server close the connection.
func (conn *clientConn) refuse(refusal *headRefusal) error {
	conn.refused.Store(true)
	conn.tracker.counters.Add(refusal.counter, 1)
	_ = conn.SetWriteDeadline(time.Now().Add(refusalWriteTimeout)) // as in arm
	if err := refusal.writeTo(conn.Conn); err == nil && conn.CloseWrite() == nil {
		time.Sleep(refusalLinger)
	}
	return os.ErrDeadlineExceeded
}

// refusalBody returns an error body in the same format as the handlers' errors.
func refusalBody(code rpc.Code, message string) []byte {
	text, _ := json.Marshal(&rpc.Error{Code: code, Message: message, Outcome: rpc.NotRun}) // cannot fail: plain values only
	return append(text, '\n')
}

func (refusal *headRefusal) body() []byte { return refusalBody(refusal.code, refusal.message) }

// answer rejects a request that the server has read, and closes the connection.
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

// writeTo writes the refusal directly to the connection.
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
