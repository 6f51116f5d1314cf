package hostproxy

import (
	"bytes"
	"io"
	"net/http"
	"slices"
	"strings"
	"time"
)

const (
	// maxBufferedBodyBytes of a response body are buffered before any byte is sent to the
	// client.
	maxBufferedBodyBytes = 256 << 10
	// maxMismatchedResponses and maxInterimResponses limit the responses to other requests and
	// the 1xx heads that are skipped while waiting for a response.
	maxMismatchedResponses = 3
	maxInterimResponses    = 8
	// refusalDrainTimeout limits the wait for the body of a refusal.
	refusalDrainTimeout = 50 * time.Millisecond
)

// response is a backend's response: buffered in full, or with the rest of its body unread.
// release reuses or closes the connection; whole tells whether the body was read to its end.
type response struct {
	head    *http.Response
	body    []byte
	unread  io.Reader
	release func(whole bool)
}

// headKind says what a response head means for the request that waits for a response.
type headKind uint8

const (
	// malformedHead proves nothing: the request may have run.
	malformedHead headKind = iota
	// interimHead is a 1xx head, which precedes the final response.
	interimHead
	// mismatchedHead belongs to the response to another request.
	mismatchedHead
	// refusalHead says that the backend did not run the request and will not run it.
	refusalHead
	// finalHead belongs to the response to this request.
	finalHead
)

// classify returns the kind of a response head. Nothing can be concluded from a head, other than
// a 1xx, without exactly one attempt ID: it is malformed.
func (names *Headers) classify(head *http.Response, id string, repeatable bool) headKind {
	status := head.StatusCode
	if head.Proto != "HTTP/1.1" || status < 100 || status == http.StatusSwitchingProtocols || containsSecondHead(head) {
		return malformedHead
	}
	if status < 200 {
		return interimHead
	}
	ids := head.Header[names.Attempt]
	if len(ids) != 1 || len(head.Header[names.Seal]) > 1 {
		return malformedHead
	}
	if ids[0] != id {
		return mismatchedHead
	}
	refused := head.Header.Get(names.NotExecuted) != ""
	switch {
	case refused && status < 400:
		return malformedHead
	case refused || status == http.StatusMisdirectedRequest:
		return refusalHead
	case status < 300 && head.Header.Get(names.Seal) == "":
		return malformedHead
	case !repeatable && impliesNotExecuted(status):
		return malformedHead
	}
	return finalHead
}

// impliesNotExecuted reports whether clients take a status to mean that the request did not
// run.
func impliesNotExecuted(status int) bool {
	return status == http.StatusRequestTimeout || status == http.StatusTooManyRequests || status == http.StatusServiceUnavailable
}

// containsSecondHead reports whether a head contains another response's status line: a
// truncated or mismatched response runs into the next one on the connection. The parser moves
// trailer names out of the header, and drops more fields for protocols other than HTTP/1.1,
// which classify rejects.
func containsSecondHead(head *http.Response) bool {
	if containsStatusLine(head.Status) {
		return true
	}
	for name := range head.Trailer {
		if containsStatusLine(name) {
			return true
		}
	}
	for _, values := range head.Header {
		if slices.ContainsFunc(values, containsStatusLine) {
			return true
		}
	}
	return false
}

// containsStatusLine reports whether a text contains "HTTP/1.x nnn".
func containsStatusLine(text string) bool {
	const version = "HTTP/1."
	for {
		at := strings.Index(text, version)
		if at < 0 {
			return false
		}
		text = text[at+len(version):]
		if len(text) >= 5 && isDigits(text[:1]) && text[1] == ' ' && isDigits(text[2:5]) {
			return true
		}
	}
}

func isDigits(text string) bool {
	return strings.Trim(text, "0123456789") == ""
}

// readResponse reads the response to this request and skips responses to other requests. On a
// refusal it also calls stop and releases the connection.
func (proxy *Proxy) readResponse(request *request, candidate *candidate, connection *connection, stop func() bool) (*response, outcome) {
	interim, mismatched := 0, 0
	for {
		head, err := connection.readHead(request.source)
		if err != nil {
			return nil, lost
		}
		kind := proxy.config.Headers.classify(head, request.id, request.route.Kind.IsIdempotent())
		if kind == refusalHead || kind == finalHead {
			connection.respondedEarly = !connection.upload.sentAll()
			candidate.target.observeLoad(head.Header.Get(proxy.config.Headers.Load), proxy.clock())
			connection.observeKeepAlive(head.Header.Get("Keep-Alive"))
		}
		switch kind {
		case interimHead:
			if interim++; interim > maxInterimResponses {
				return nil, lost
			}
		case mismatchedHead:
			proxy.counters.Add("answers_surplus", 1)
			if mismatched++; mismatched > maxMismatchedResponses {
				return nil, lost
			}
			if !drainBody(head) {
				return nil, lost
			}
		case refusalHead:
			proxy.handleRefusal(candidate.target, connection, head, stop)
			return &response{head: head}, refused
		case finalHead:
			return proxy.readResponseBody(request, head)
		default:
			return nil, lost
		}
	}
}

// drainBody reads and discards a response body. It returns false if no further response can
// follow on the connection.
func drainBody(head *http.Response) bool {
	count, err := io.Copy(io.Discard, io.LimitReader(head.Body, maxBufferedBodyBytes))
	return err == nil && count < maxBufferedBodyBytes && !head.Close
}

// handleRefusal releases the connection of a refusal. It waits only briefly for the body,
// since the head alone proves that the request did not run.
func (proxy *Proxy) handleRefusal(target *target, connection *connection, head *http.Response, stop func() bool) {
	if stop() {
		err := connection.conn.SetDeadline(proxy.clock().Add(refusalDrainTimeout))
		proxy.release(target, connection, err == nil && drainBody(head))
	} else {
		target.discardConnection(connection)
	}
	if head.StatusCode == http.StatusMisdirectedRequest {
		target.recordReplacement(proxy.clock())
		proxy.counters.Add("backends_replaced", 1)
	}
}

// readResponseBody reads a response body, or the first maxBufferedBodyBytes of a larger one. A
// body without a length ends with its connection: an orderly close completes it, a reset is an
// error (RFC 9112, section 8).
func (proxy *Proxy) readResponseBody(request *request, head *http.Response) (*response, outcome) {
	response := &response{head: head}
	if request.source.Method == http.MethodHead || !allowsBody(head.StatusCode) {
		return response, answered
	}
	buffer := bytes.Buffer{}
	if head.ContentLength > 0 && head.ContentLength <= maxBufferedBodyBytes {
		buffer.Grow(int(head.ContentLength) + bytes.MinRead)
	}
	source := &shapedReader{
		from:   head.Body,
		shaper: proxy.inbound,
		ctx:    request.deadlineContext,
		clock:  proxy.clock,
		large:  head.ContentLength > bulkThreshold,
	}
	count, err := io.Copy(&buffer, io.LimitReader(source, maxBufferedBodyBytes))
	if err != nil {
		return nil, lost
	}
	response.body = buffer.Bytes()
	switch {
	case head.ContentLength >= 0 && count == head.ContentLength:
	case count == maxBufferedBodyBytes:
		response.unread = source
	case head.ContentLength >= 0:
		return nil, lost
	}
	return response, answered
}

// allowsBody reports whether a response with this status may have a body.
func allowsBody(status int) bool {
	return status != http.StatusNoContent && status != http.StatusNotModified
}
