package hostproxy

import (
	"io"
	"math/rand/v2"
	"net/http"
	"strconv"
	"time"

	"orchidjunction/rpc"
)

// refuse ends a request that has not run and will not. One that may have run fails
// instead, whoever refuses it.
func (proxy *Proxy) refuse(request *request, status int, code rpc.Code) {
	if request.mayHaveRun {
		proxy.fail(request)
		return
	}
	proxy.move(request, ending)
	request.result = resultRefused
	proxy.counters.Add("refused_"+string(code), 1)
	header := request.writer.Header()
	if status == http.StatusServiceUnavailable {
		header.Set("Retry-After", strconv.FormatFloat(proxy.retryAfter(request).Seconds(), 'f', 3, 64))
	}
	header.Set("Content-Type", "application/json")
	request.writer.WriteHeader(status)
	request.writer.Write([]byte(`{"code":"` + string(code) + `"}`))
}

// retryAfter is when a client should ask again: spread, so that those refused
// together do not return together.
func (proxy *Proxy) retryAfter(request *request) time.Duration {
	span := 400 * time.Millisecond
	if request.route == nil {
		span = firstViewRetry
	}
	if request.route != nil && request.route.TargetMs > 0 {
		span = min(time.Second, time.Duration(request.route.TargetMs)*time.Millisecond/3)
	}
	return span/2 + time.Duration(rand.Int64N(int64(span)))
}

// fail ends a request of which nobody knows whether it ran.
func (proxy *Proxy) fail(request *request) {
	proxy.move(request, ending)
	request.result = resultProxyFailure
	status, code := http.StatusBadGateway, rpc.BadResponse
	if !proxy.clock().Before(request.deadline) {
		status, code = http.StatusGatewayTimeout, rpc.DeadlineExceeded
	}
	proxy.counters.Add("failed_"+string(code), 1)
	request.writer.Header().Set("Content-Type", "application/json")
	request.writer.WriteHeader(status)
	request.writer.Write([]byte(`{"code":"` + string(code) + `"}`))
}

// finish gives the backend's answer to the client; one that breaks off half way
// never looks whole.
func (proxy *Proxy) finish(request *request, answer *answer) {
	proxy.move(request, ending)
	request.result = resultServed
	if answer.response.StatusCode >= http.StatusInternalServerError {
		request.result = resultBackendFailure
	}
	proxy.figures.observeOverhead(request, proxy.clock())
	header, names := request.writer.Header(), &proxy.config.Headers
	listed := names.listedByConnection(answer.response.Header)
	for name, values := range answer.response.Header {
		if hopByHop[name] || listed[name] || name == "Content-Length" || name == names.Load || name == names.Backend ||
			name == names.Warmup {
			continue
		}
		header[name] = values
	}
	if header["Content-Type"] == nil {
		header["Content-Type"] = nil
	}
	size := len(answer.body)
	switch {
	case request.source.Method == http.MethodHead && answer.response.ContentLength >= 0, answer.response.ContentLength > int64(size):
		header.Set("Content-Length", strconv.FormatInt(answer.response.ContentLength, 10))
	case answer.remainder == nil && request.source.Method != http.MethodHead && hasBody(answer.response.StatusCode):
		header.Set("Content-Length", strconv.Itoa(size))
	}
	request.writer.WriteHeader(answer.response.StatusCode)
	writer := &shapedWriter{
		to:     request.writer,
		shaper: proxy.outbound,
		ctx:    request.bounded,
		clock:  proxy.clock,
		large:  size > bulkThreshold || answer.remainder != nil,
	}
	if _, err := writer.Write(answer.body); err != nil {
		if answer.remainder != nil {
			answer.release(false)
		}
		proxy.counters.Add("answers_cut_short", 1)
		panic(http.ErrAbortHandler)
	}
	if answer.remainder != nil {
		copied, err := io.Copy(writer, answer.remainder)
		size += int(copied)
		whole := err == nil && (answer.response.ContentLength < 0 || int64(size) == answer.response.ContentLength)
		answer.release(whole)
		if !whole {
			proxy.counters.Add("answers_cut_short", 1)
			panic(http.ErrAbortHandler)
		}
	}
	proxy.counters.Add("answered", 1)
	if answer.response.StatusCode < 400 {
		proxy.stats.observe(request.route, proxy.clock().Sub(request.begin), size)
	}
}
