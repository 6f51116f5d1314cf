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
	// maxBufferedBody is how many bytes of a body are read before any goes to the client.
	maxBufferedBody = 256 << 10
	// maxSurplus and maxInterim bound the answers to other requests and the 1xx heads
	// that are passed over.
	maxSurplus = 3
	maxInterim = 8
	// refusalDrain is how long the body of a refusal is waited for.
	refusalDrain = 50 * time.Millisecond
)

// answer is a backend's answer: whole, or its head with the rest still to read. release
// gives its connection back, and tells whether the answer was read whole.
type answer struct {
	response  *http.Response
	body      []byte
	remainder io.Reader
	release   func(whole bool)
}

// headKind is what the head of an answer means to the request that waits for one.
type headKind uint8

const (
	// malformedHead lets nothing be concluded: the request may have run.
	malformedHead headKind = iota
	// interimHead precedes the answer proper.
	interimHead
	// surplusHead begins an answer to another request.
	surplusHead
	// refusalHead says that the backend did not run the request and will not.
	refusalHead
	// finalHead begins the answer to the request.
	finalHead
)

// classify tells what a head means to a request with an attempt id. Nothing is
// concluded from a head that names no attempt, or more than one.
func (names *Headers) classify(response *http.Response, id string, repeats bool) headKind {
	status := response.StatusCode
	if response.Proto != "HTTP/1.1" || status < 100 || status == http.StatusSwitchingProtocols || twoHeads(response) {
		return malformedHead
	}
	if status < 200 {
		return interimHead
	}
	ids := response.Header[names.Attempt]
	if len(ids) != 1 || len(response.Header[names.Seal]) > 1 {
		return malformedHead
	}
	if ids[0] != id {
		return surplusHead
	}
	refused := response.Header.Get(names.NotExecuted) != ""
	switch {
	case refused && status < 400:
		return malformedHead
	case refused || status == http.StatusMisdirectedRequest:
		return refusalHead
	case status < 300 && response.Header.Get(names.Seal) == "":
		return malformedHead
	case !repeats && promisesNotRun(status):
		return malformedHead
	}
	return finalHead
}

// promisesNotRun is whether a status tells the client that the request has not run.
func promisesNotRun(status int) bool {
	return status == http.StatusRequestTimeout || status == http.StatusTooManyRequests || status == http.StatusServiceUnavailable
}

// twoHeads is whether another answer's status line stands inside a head: an answer
// that was broken off, or a part of a surplus one, runs into the next on the same
// connection. The parser moves the names of trailers out of the fields; in protocols
// other than HTTP/1.1 it drops fields as well, which is why these are not read.
func twoHeads(response *http.Response) bool {
	if holdsStatusLine(response.Status) {
		return true
	}
	for name := range response.Trailer {
		if holdsStatusLine(name) {
			return true
		}
	}
	for _, values := range response.Header {
		if slices.ContainsFunc(values, holdsStatusLine) {
			return true
		}
	}
	return false
}

// holdsStatusLine is whether a text holds "HTTP/1.x nnn".
func holdsStatusLine(text string) bool {
	const version = "HTTP/1."
	for {
		at := strings.Index(text, version)
		if at < 0 {
			return false
		}
		text = text[at+len(version):]
		if len(text) >= 5 && digits(text[:1]) && text[1] == ' ' && digits(text[2:5]) {
			return true
		}
	}
}

func digits(text string) bool {
	return strings.Trim(text, "0123456789") == ""
}

// receive reads the answer to this request; answers to others are passed over. A
// refusal gives the connection back, and so ends what stop ends.
func (proxy *Proxy) receive(request *request, held *candidate, connection *connection, stop func() bool) (*answer, outcome) {
	interim, surplus := 0, 0
	for {
		response, err := connection.answer(request.source)
		if err != nil {
			return nil, lost
		}
		kind := proxy.config.Headers.classify(response, request.id, request.route.Kind.IsIdempotent())
		if kind == refusalHead || kind == finalHead {
			connection.answeredEarly = !connection.upload.finished()
			held.target.observeLoad(response.Header.Get(proxy.config.Headers.Load), proxy.clock())
			connection.observeKeepAlive(response.Header.Get("Keep-Alive"))
		}
		switch kind {
		case interimHead:
			if interim++; interim > maxInterim {
				return nil, lost
			}
		case surplusHead:
			proxy.counters.Add("answers_surplus", 1)
			if surplus++; surplus > maxSurplus {
				return nil, lost
			}
			if !readToEnd(response) {
				return nil, lost
			}
		case refusalHead:
			proxy.takeRefusal(held.target, connection, response, stop)
			return &answer{response: response}, refused
		case finalHead:
			return proxy.readBody(request, response)
		default:
			return nil, lost
		}
	}
}

// readToEnd reads an answer's body that nobody needs; false when another answer
// cannot follow it on the connection.
func readToEnd(response *http.Response) bool {
	count, err := io.Copy(io.Discard, io.LimitReader(response.Body, maxBufferedBody))
	return err == nil && count < maxBufferedBody && !response.Close
}

// takeRefusal gives the connection of a refusal back. The head alone says that the
// request did not run, so its body is waited for only briefly.
func (proxy *Proxy) takeRefusal(target *target, connection *connection, response *http.Response, stop func() bool) {
	if stop() {
		err := connection.conn.SetDeadline(proxy.clock().Add(refusalDrain))
		proxy.release(target, connection, err == nil && readToEnd(response))
	} else {
		target.discardConnection(connection)
	}
	if response.StatusCode == http.StatusMisdirectedRequest {
		target.recordReplacement(proxy.clock())
		proxy.counters.Add("backends_replaced", 1)
	}
}

// readBody reads the body of an answer, or the first part of a large one.
func (proxy *Proxy) readBody(request *request, response *http.Response) (*answer, outcome) {
	got := &answer{response: response}
	if request.source.Method == http.MethodHead || !hasBody(response.StatusCode) {
		return got, answered
	}
	if response.ContentLength < 0 && len(response.TransferEncoding) == 0 {
		return nil, lost
	}
	buffer := bytes.Buffer{}
	if response.ContentLength > 0 && response.ContentLength <= maxBufferedBody {
		buffer.Grow(int(response.ContentLength) + bytes.MinRead)
	}
	source := &shapedReader{
		from:   response.Body,
		shaper: proxy.inbound,
		ctx:    request.bounded,
		clock:  proxy.clock,
		large:  response.ContentLength > bulkThreshold,
	}
	count, err := io.Copy(&buffer, io.LimitReader(source, maxBufferedBody))
	if err != nil {
		return nil, lost
	}
	got.body = buffer.Bytes()
	switch {
	case response.ContentLength >= 0 && count == response.ContentLength:
	case count == maxBufferedBody:
		got.remainder = source
	case response.ContentLength >= 0:
		return nil, lost
	}
	return got, answered
}

// hasBody is whether an answer of this status may have a body.
func hasBody(status int) bool {
	return status != http.StatusNoContent && status != http.StatusNotModified
}
