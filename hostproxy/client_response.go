package hostproxy

import (
	"io"
	"math/rand/v2"
	"net/http"
	"strconv"
	"time"

	"orchidjunction/rpc"
)

// refuse tells the client that the request did not run. If it may have run, it fails the
// request instead.
func (proxy *Proxy) refuse(request *request, status int, code rpc.Code) {
	if request.mayHaveRun {
		proxy.fail(request)
		return
	}
	proxy.setStage(request, ending)
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

// retryAfter returns when the client should retry, with jitter so that clients refused at the
// same time don't return together.
func (proxy *Proxy) retryAfter(request *request) time.Duration {
	span := 400 * time.Millisecond
	if request.route == nil {
		span = firstViewRetryAfter
	}
	if request.route != nil && request.route.TargetMs > 0 {
		span = min(time.Second, time.Duration(request.route.TargetMs)*time.Millisecond/3)
	}
	return span/2 + time.Duration(rand.Int64N(int64(span)))
}

// fail ends a request that may or may not have run.
func (proxy *Proxy) fail(request *request) {
	proxy.setStage(request, ending)
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

// sendResponse sends the backend's response to the client. If it is truncated, the client's
// connection is aborted so that the client can tell.
func (proxy *Proxy) sendResponse(request *request, response *response) {
	proxy.setStage(request, ending)
	request.result = resultServed
	if response.head.StatusCode >= http.StatusInternalServerError {
		request.result = resultBackendFailure
	}
	proxy.requestMetrics.observeOverhead(request, proxy.clock())
	header, names := request.writer.Header(), &proxy.config.Headers
	connectionOptions := names.connectionOptions(response.head.Header)
	for name, values := range response.head.Header {
		if hopByHop[name] || connectionOptions[name] || name == "Content-Length" || name == names.Load || name == names.Backend ||
			name == names.Warmup {
			continue
		}
		header[name] = values
	}
	if header["Content-Type"] == nil {
		header["Content-Type"] = nil
	}
	size := len(response.body)
	switch {
	case request.source.Method == http.MethodHead && response.head.ContentLength >= 0, response.head.ContentLength > int64(size):
		header.Set("Content-Length", strconv.FormatInt(response.head.ContentLength, 10))
	case response.unread == nil && request.source.Method != http.MethodHead && allowsBody(response.head.StatusCode):
		header.Set("Content-Length", strconv.Itoa(size))
	}
	request.writer.WriteHeader(response.head.StatusCode)
	writer := &shapedWriter{
		to:     request.writer,
		shaper: proxy.outbound,
		ctx:    request.deadlineContext,
		clock:  proxy.clock,
		large:  size > bulkThreshold || response.unread != nil,
	}
	if _, err := writer.Write(response.body); err != nil {
		if response.unread != nil {
			response.release(false)
		}
		proxy.counters.Add("answers_cut_short", 1)
		panic(http.ErrAbortHandler)
	}
	if response.unread != nil {
		copied, err := io.Copy(writer, response.unread)
		size += int(copied)
		complete := err == nil && (response.head.ContentLength < 0 || int64(size) == response.head.ContentLength)
		response.release(complete)
		if !complete {
			proxy.counters.Add("answers_cut_short", 1)
			panic(http.ErrAbortHandler)
		}
	}
	proxy.counters.Add("answered", 1)
	if response.head.StatusCode < 400 {
		proxy.stats.observe(request.route, proxy.clock().Sub(request.begin), size)
	}
}
