package serviceproxy

import (
	"bufio"
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	"orchidjunction/rpc"
)

// earlyBackend responds before it has read the whole body, and reads the rest after a pause.
type earlyBackend struct {
	readFirst int // bytes of the body read before the response
	pause     time.Duration
	answer    string // format string with a verb for the task ID
	bytesRead atomic.Int64
}

func (backend *earlyBackend) dial(context.Context, string, string) (net.Conn, error) {
	client, server := net.Pipe()
	go backend.serve(server)
	return client, nil
}

func (backend *earlyBackend) serve(conn net.Conn) {
	defer conn.Close()
	reader := bufio.NewReader(conn)
	if _, err := http.ReadRequest(reader); err != nil {
		return
	}
	const identity = `{"service":"plain","instance":"b1","incarnation":"b1"}`
	_, _ = fmt.Fprintf(conn, "HTTP/1.1 200 OK\r\nContent-Length: %d\r\n\r\n%s", len(identity), identity) // if this fails, so does the task
	request, err := http.ReadRequest(reader)
	if err != nil {
		return
	}
	first, _ := io.CopyN(io.Discard, request.Body, int64(backend.readFirst)) // fewer if the proxy closes the connection
	_, _ = fmt.Fprintf(conn, backend.answer, request.Header.Get("Oj-Task"))  // as above
	time.Sleep(backend.pause)
	rest, _ := io.Copy(io.Discard, request.Body) // whatever the proxy still sends
	backend.bytesRead.Store(first + rest)
}

// A response that came before the whole body was sent counted as a success, but the connection was
// then closed and the backend got only part of the body.
func TestSuccessRequiresWholeRequestBody(test *testing.T) {
	const size = 1 << 20
	for name, tc := range map[string]struct {
		backend *earlyBackend
		code    rpc.Code
	}{
		"after the body":       {&earlyBackend{readFirst: size, answer: answerWithBody}, ""},
		"early, reads on soon": {&earlyBackend{readFirst: 1000, pause: time.Second, answer: answerWithBody}, ""},
		"early, never reads":   {&earlyBackend{readFirst: 1000, pause: time.Hour, answer: answerWithBody}, rpc.DeadlineExceeded},
		"early, without body":  {&earlyBackend{readFirst: 1000, pause: time.Second, answer: answerWithoutBody}, rpc.BadResponse},
		"early, and closes":    {&earlyBackend{readFirst: 1000, pause: time.Second, answer: answerAndClose}, ""},
	} {
		test.Run(name, func(test *testing.T) {
			synctest.Test(test, func(test *testing.T) {
				err := sendBody(tc.backend, size)
				time.Sleep(2 * time.Hour)
				if read := tc.backend.bytesRead.Load(); err == nil && read != size {
					test.Errorf("success, but the backend read %d of %d bytes", read, size)
				}
				if code := rpc.CodeOf(err); (err != nil || tc.code != "") && code != tc.code {
					test.Errorf("got error %v, want code %q", err, tc.code)
				}
				if err != nil && rpc.AsError(err).Outcome != rpc.MayHaveRun {
					test.Errorf("outcome %q", rpc.AsError(err).Outcome)
				}
			})
		})
	}
}

const (
	answerWithBody    = "HTTP/1.1 200 OK\r\nOj-Task: %s\r\nContent-Length: 4\r\n\r\ndone"
	answerWithoutBody = "HTTP/1.1 200 OK\r\nOj-Task: %s\r\nContent-Length: 0\r\n\r\n"
	answerAndClose    = "HTTP/1.1 200 OK\r\nOj-Task: %s\r\nConnection: close\r\nContent-Length: 4\r\n\r\ndone"
)

// sendBody sends a task with a body of the given size to a backend.
func sendBody(backend *earlyBackend, size int) error {
	task, target := newTask(backend.dial, "b1:80", http.MethodPost, 4*time.Second)
	defer target.close()
	task.body = []byte(strings.Repeat("x", size))
	return task.sendWithRetries()
}
