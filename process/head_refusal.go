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

// retryAfterSeconds is when a client that is refused for want of room may come back.
const retryAfterSeconds = "1"

// headRefusal is why a head is refused before the server has read it.
type headRefusal struct {
	status  int
	code    rpc.Code
	message string
	counter string
}

var (
	headTooLarge = &headRefusal{
		http.StatusRequestHeaderFieldsTooLarge, rpc.TooLarge, "the request's head is longer than the limit", "heads_too_large",
	}
	headLate          = &headRefusal{http.StatusRequestTimeout, rpc.RequestTimeout, "the request's head came too slowly", "heads_late"}
	headWithoutMemory = &headRefusal{
		http.StatusServiceUnavailable, rpc.Overloaded, "no memory for the request's head", "heads_without_memory",
	}
	connectionRefused = &headRefusal{http.StatusServiceUnavailable, rpc.Overloaded, "too many connections", "connections_refused_full"}
)

// Times of a refusal: the client's machine has refusalWriteTimeout to take it, and the
// client refusalLinger to read it, since a close with unread bytes resets the connection.
const (
	refusalWriteTimeout = time.Second
	refusalLinger       = 500 * time.Millisecond
)

// refuse answers a head that is not read to its end, and returns what the server shall take
// for the end of the connection.
func (conn *clientConn) refuse(refusal *headRefusal) error {
	conn.refused.Store(true)
	conn.tracker.counters.Add(refusal.counter, 1)
	_ = conn.SetWriteDeadline(time.Now().Add(refusalWriteTimeout)) // as in arm
	if err := refusal.writeTo(conn.Conn); err == nil && conn.CloseWrite() == nil {
		time.Sleep(refusalLinger)
	}
	return os.ErrDeadlineExceeded
}

// refusalBody is the body of a refusal, as all others of the system are.
func refusalBody(code rpc.Code, message string) []byte {
	text, _ := json.Marshal(&rpc.Error{Code: code, Message: message, Outcome: rpc.NotRun}) // texts only
	return append(text, '\n')
}

func (refusal *headRefusal) body() []byte { return refusalBody(refusal.code, refusal.message) }

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
