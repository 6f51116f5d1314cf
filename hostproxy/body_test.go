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

// A limit at the end of its range emptied every body: one byte more than the limit overflowed
// to a number below 0, and what was read of a body under it passed for the whole.
func TestBodiesUnderAnyLimitArriveWholeOrAreRefused(test *testing.T) {
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
					test.Errorf("limit %d, %s: %d %v, want %d", limit, framing, reply.status, reply.err, status)
				}
				for _, arrived := range env.receivedRequests() {
					if string(arrived.body) != body {
						test.Errorf("limit %d, %s: %d of %d bytes arrived", limit, framing, len(arrived.body), size)
					}
				}
				if count := len(env.receivedRequests()); (count == 1) != (status == 200) {
					test.Errorf("limit %d, %s: %d arrivals", limit, framing, count)
				}
			})
		}
	}
}

// A body that ends before the length that its head gives is never passed on as a whole one.
func TestBodyShorterThanItsLengthIsRefused(test *testing.T) {
	withTestEnv(test, func(env *testEnv) {
		env.addBackend("b1")
		source := httptest.NewRequest(http.MethodPost, "http://host.example/once/a", io.NopCloser(strings.NewReader("short")))
		source.RequestURI, source.ContentLength = "/once/a", 9
		source.Header.Set("Attempt", "id")
		recorder := httptest.NewRecorder()
		env.proxy.ServeHTTP(recorder, source)
		if recorder.Code != http.StatusBadRequest || len(env.receivedRequests()) != 0 {
			test.Errorf("%d, %d arrivals", recorder.Code, len(env.receivedRequests()))
		}
	})
}

// Every number of a configuration may stand at either end of its range: requests with bodies
// are served as before, or turned away, never changed.
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
	const body = "a body of some bytes"
	for name, apply := range numbers {
		for _, value := range []int64{0, 1, math.MaxInt32 - 1, math.MaxInt32, math.MaxInt64 - 1, math.MaxInt64} {
			withTestEnv(test, func(env *testEnv) {
				env.addBackend("b1")
				env.update(func() { apply(&env.state.Config, value) })
				if err := env.state.Config.Check(); err != nil {
					test.Fatalf("%s at %d: %v", name, value, err)
				}
				client := env.client()
				defer client.conn.Close()
				reply := client.roundTrip("POST", rawRequest("POST", "/once/a", "id", "", body))
				served := reply.status == 200
				tooShort := name == "timeout" && value <= 1 && reply.status >= 503
				tooLarge := name == "body bytes" && value == 1 && reply.status == 413
				headTooLong := name == "header bytes" && value == 1
				if headTooLong && reply.status != 431 {
					test.Errorf("%s at %d: %d, the limit does not act", name, value, reply.status)
				}
				if reply.err != nil || !served && !tooShort && !tooLarge && !headTooLong {
					test.Errorf("%s at %d: %d %v", name, value, reply.status, reply.err)
				}
				for _, arrived := range env.receivedRequests() {
					if string(arrived.body) != body {
						test.Errorf("%s at %d: %q arrived", name, value, arrived.body)
					}
				}
				if open := !headTooLong && !tooLarge &&
					client.isOpenAfter(30*time.Second); served &&
					open == (name == "idle timeout" && value == 1) {
					test.Errorf("%s at %d: open after 30 s: %v", name, value, open)
				}
			})
		}
	}
}

// openAfter is whether the proxy has not closed the connection after a time.
func (client *client) isOpenAfter(duration time.Duration) bool {
	client.setTimeout(duration)
	_, err := client.reader.ReadByte()
	return errors.Is(err, os.ErrDeadlineExceeded)
}
