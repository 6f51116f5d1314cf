package hostproxy

import (
	"errors"
	"io"
	"math"
	"net/http"
	"net/http/httptest"
	"os"
	"strconv"
	"strings"
	"testing"
	"time"

	"orchidjunction/routing"
)

// With a body limit of math.MaxInt64, limit+1 overflowed to a negative number, and every body was
// forwarded empty as if complete.
func TestBodiesAreForwardedCompleteOrRefused(test *testing.T) {
	const size = 40 << 10
	body := string(letters(0, size))
	chunks := "Transfer-Encoding: chunked\r\n\r\n" + strconv.FormatInt(size, 16) + "\r\n" + body + "\r\n0\r\n\r\n"
	head := "POST /once/a HTTP/1.1\r\nHost: host.example\r\nAttempt: id\r\nDeadline: 1500\r\n"
	for limit, status := range map[int64]int{
		0: 200, 1: 413, size - 1: 413, size: 200, size + 1: 200, math.MaxInt32: 200, math.MaxInt64 - 1: 200, math.MaxInt64: 200,
	} {
		for framing, text := range map[string]string{"length": rawRequest("POST", "/once/a", "id", "", body), "chunks": head + chunks} {
			withTestEnv(test, func(env *testEnv) {
				env.addBackend("b1")
				env.update(func() { env.state.Config.Limits.BodyBytes = limit })
				client := env.client()
				defer client.conn.Close()
				reply := client.roundTrip("POST", text)
				if reply.err != nil || reply.status != status {
					test.Errorf("limit %d, %s: status %d, error %v, want status %d", limit, framing, reply.status, reply.err, status)
				}
				for _, received := range env.receivedRequests() {
					if string(received.body) != body {
						test.Errorf("limit %d, %s: backend received %d of %d bytes", limit, framing, len(received.body), size)
					}
				}
				if count := len(env.receivedRequests()); (count == 1) != (status == 200) {
					test.Errorf("limit %d, %s: %d received requests, want 1 only with status 200", limit, framing, count)
				}
			})
		}
	}
}

// A body that is shorter than its Content-Length is never forwarded as complete.
func TestBodyShorterThanItsLengthIsRefused(test *testing.T) {
	withTestEnv(test, func(env *testEnv) {
		env.addBackend("b1")
		source := httptest.NewRequest(http.MethodPost, "http://host.example/once/a", io.NopCloser(strings.NewReader("short")))
		source.RequestURI, source.ContentLength = "/once/a", 9
		source.Header.Set("Attempt", "id")
		recorder := httptest.NewRecorder()
		env.proxy.ServeHTTP(recorder, source)
		if recorder.Code != http.StatusBadRequest || len(env.receivedRequests()) != 0 {
			test.Errorf("status %d, %d received requests, want 400 and none", recorder.Code, len(env.receivedRequests()))
		}
	})
}

// With any number of the configuration at either end of its range, a request with a body is served
// or refused, but never altered.
func TestBoundaryConfigValuesDoNotAlterRequests(test *testing.T) {
	numbers := map[string]func(*routing.Config, int64){
		"timeout": func(config *routing.Config, value int64) {
			config.Routes[0].TimeoutMs = int(max(1, min(value, math.MaxInt32)))
		},
		"target":   func(config *routing.Config, value int64) { config.Routes[0].TargetMs = int(min(value, math.MaxInt32)) },
		"priority": func(config *routing.Config, value int64) { config.Routes[0].Priority = int(min(value, math.MaxInt32)) },
		"attempts": func(config *routing.Config, value int64) {
			config.Routes[0].Attempts = int(max(1, min(value, math.MaxInt32)))
		},
		"connections": func(config *routing.Config, value int64) {
			config.Services[0].MaxConnections = int(min(value, math.MaxInt32))
		},
		"warm-up":        func(config *routing.Config, value int64) { config.Services[0].WarmupMs = int(min(value, 1e9)) },
		"warm-up rate":   func(config *routing.Config, value int64) { config.Services[0].WarmupRate = float64(min(value, 1e12)) },
		"header bytes":   func(config *routing.Config, value int64) { config.Limits.HeaderBytes = int(value) },
		"body bytes":     func(config *routing.Config, value int64) { config.Limits.BodyBytes = value },
		"header timeout": func(config *routing.Config, value int64) { config.Limits.HeaderMs = int(value) },
		"idle timeout":   func(config *routing.Config, value int64) { config.Limits.IdleMs = int(value) },
		"weights": func(config *routing.Config, value int64) {
			weight := int(max(1, min(value, math.MaxInt32)))
			config.Routes[0].Service = ""
			config.Routes[0].Split = []routing.WeightedService{{Service: "plain", Weight: weight}, {Service: "plain", Weight: weight}}
		},
	}
	const body = "a short body"
	for name, apply := range numbers {
		for _, value := range []int64{0, 1, math.MaxInt32 - 1, math.MaxInt32, math.MaxInt64 - 1, math.MaxInt64} {
			withTestEnv(test, func(env *testEnv) {
				env.addBackend("b1")
				env.update(func() { apply(&env.state.Config, value) })
				if err := env.state.Config.Check(); err != nil {
					test.Fatalf("%s at %d: config rejected: %v", name, value, err)
				}
				client := env.client()
				defer client.conn.Close()
				reply := client.roundTrip("POST", rawRequest("POST", "/once/a", "id", "", body))
				served := reply.status == 200
				tooShort := name == "timeout" && value <= 1 && reply.status >= 503
				tooLarge := name == "body bytes" && value == 1 && reply.status == 413
				headTooLong := name == "header bytes" && value == 1
				if headTooLong && reply.status != 431 {
					test.Errorf("%s at %d: status %d, want 431: the limit has no effect", name, value, reply.status)
				}
				if reply.err != nil || !served && !tooShort && !tooLarge && !headTooLong {
					test.Errorf("%s at %d: status %d, error %v", name, value, reply.status, reply.err)
				}
				for _, received := range env.receivedRequests() {
					if string(received.body) != body {
						test.Errorf("%s at %d: backend received body %q", name, value, received.body)
					}
				}
				if open := !headTooLong && !tooLarge &&
					client.isOpenAfter(30*time.Second); served &&
					open == (name == "idle timeout" && value == 1) {
					test.Errorf("%s at %d: connection open after 30 s: %v", name, value, open)
				}
			})
		}
	}
}

// isOpenAfter reports whether the proxy keeps the connection open, without sending, for a duration.
func (client *client) isOpenAfter(duration time.Duration) bool {
	client.setTimeout(duration)
	_, err := client.reader.ReadByte()
	return errors.Is(err, os.ErrDeadlineExceeded)
}
