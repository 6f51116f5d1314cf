package hostproxy

import (
	"context"
	"net/http"
	"slices"
	"strconv"
	"strings"
	"time"
)

// outcome tells whether the request of an attempt may have run, and whether there is a
// response for the client.
type outcome uint8

const (
	// answered: the backend's response can be sent to the client.
	answered outcome = iota
	// unsent: no byte of the request reached the backend.
	unsent
	// withdrawn: no byte was sent, because the backend is no longer a candidate in the current
	// view.
	withdrawn
	// refused: the backend says that it did not run the request.
	refused
	// lost: the request may have run, and there is no valid response.
	lost
)

// Dial timeouts for backends in the proxy's own region and in other regions.
const (
	nearDialTimeout = 300 * time.Millisecond
	farDialTimeout  = 600 * time.Millisecond
)

// hopByHop lists the header fields that apply to a single connection.
var hopByHop = map[string]bool{
	"Connection": true, "Keep-Alive": true, "Proxy-Connection": true, "Proxy-Authenticate": true, "Proxy-Authorization": true,
	"Te": true, "Trailer": true, "Transfer-Encoding": true, "Upgrade": true,
}

// connectionOptions returns the fields named by a Connection header, except the attempt ID and
// the seal, which attribute a response to its request end to end.
func (names *Headers) connectionOptions(header http.Header) map[string]bool {
	var options map[string]bool
	for _, value := range header["Connection"] {
		for name := range strings.SplitSeq(value, ",") {
			name = http.CanonicalHeaderKey(strings.TrimSpace(name))
			if name == "" || name == names.Attempt || name == names.Seal {
				continue
			}
			if options == nil {
				options = map[string]bool{}
			}
			options[name] = true
		}
	}
	return options
}

// connect returns an idle or new connection to the candidate, or nil if there is none. A dial
// is cancelled when its candidate is withdrawn; that doesn't count as a failure of the target.
func (proxy *Proxy) connect(candidate *candidate, maxOpen int, deadline time.Time) *connection {
	if idle := candidate.target.takeIdle(proxy.clock()); idle != nil {
		return idle
	}
	if !candidate.target.reserveConnection(maxOpen) {
		proxy.counters.Add("connections_capped", 1)
		return nil
	}
	timeout := nearDialTimeout
	if candidate.distance == otherRegion {
		timeout = farDialTimeout
	}
	begin := proxy.clock()
	if timeoutAt := begin.Add(timeout); timeoutAt.Before(deadline) {
		deadline = timeoutAt
	}
	ctx, cancel := context.WithDeadline(candidate.eligible, deadline)
	conn, err := proxy.dial(ctx, "tcp", candidate.target.backend.Address)
	cancel()
	if err != nil {
		candidate.target.unreserveConnection()
		if candidate.isWithdrawn() {
			return nil
		}
		candidate.target.recordFailure(proxy.clock(), true)
		proxy.counters.Add("connections_failed", 1)
		return nil
	}
	candidate.target.recordDial(proxy.clock().Sub(begin))
	proxy.counters.Add("connections_opened", 1)
	return newConnection(conn)
}

// attempt sends the request to one backend and reads the response. It sends nothing if a
// non-repeatable request may have run already or the backend has been withdrawn.
func (proxy *Proxy) attempt(request *request, candidate *candidate, maxOpen int) (*response, outcome) {
	if request.mayHaveRun && !request.route.Kind.IsIdempotent() {
		proxy.counters.Add("repeats_prevented", 1)
		return nil, lost
	}
	connectBegin := proxy.clock()
	connection := proxy.connect(candidate, maxOpen, request.deadline)
	request.timings.connecting += proxy.clock().Sub(connectBegin)
	if candidate.isWithdrawn() {
		if connection != nil {
			candidate.target.releaseConnection(connection)
		}
		return nil, withdrawn
	}
	if connection == nil {
		return nil, unsent
	}
	if request.deadline.Sub(proxy.clock()) < time.Millisecond || request.context.Err() != nil {
		candidate.target.releaseConnection(connection)
		return nil, unsent
	}
	proxy.requestMetrics.observeSend(request, proxy.clock())
	if candidate.isWithdrawn() {
		proxy.counters.Add("attempts_sent_withdrawn", 1)
	}
	mayHaveRunBefore := request.mayHaveRun
	request.mayHaveRun = true
	usage := proxy.usageMeter.begin(request.tenantName())
	exchangeBegin := proxy.clock()
	candidate.countSent()
	response, outcome := proxy.exchange(request, candidate, connection)
	request.timings.backends += proxy.clock().Sub(exchangeBegin)
	proxy.scoreExchange(request, candidate, response, outcome, exchangeBegin)
	notExecuted := outcome == unsent || outcome == refused
	if notExecuted {
		request.mayHaveRun = mayHaveRunBefore
	}
	proxy.usageMeter.finish(usage, !notExecuted)
	return response, outcome
}

// exchange sends a request and reads the response. It releases or closes the connection unless
// a response is still being streamed.
func (proxy *Proxy) exchange(request *request, candidate *candidate, connection *connection) (*response, outcome) {
	begin := proxy.clock()
	if err := connection.conn.SetDeadline(request.deadline.Add(deadlineSlack)); err != nil {
		candidate.target.discardConnection(connection)
		candidate.target.recordFailure(begin, false)
		return nil, unsent
	}
	stop := context.AfterFunc(request.context, connection.interrupt)
	head := proxy.encodeRequestHead(request, candidate.target.backend.Name, request.deadline.Sub(begin))
	if sent, err := proxy.send(connection, head, &request.body); err != nil {
		stop()
		candidate.target.discardConnection(connection)
		candidate.target.recordFailure(proxy.clock(), false)
		if sent {
			return nil, lost
		}
		return nil, unsent
	}
	if stop() {
		stop = context.AfterFunc(request.context, func() {
			_ = connection.conn.SetReadDeadline(time.Unix(1, 0)) // fails only on a closed connection
		})
	}
	response, outcome := proxy.readResponse(request, candidate, connection, stop)
	switch now := proxy.clock(); outcome {
	case answered:
		response.release = func(whole bool) {
			notInterrupted := stop()
			if whole && connection.mustFinishUpload(response) {
				proxy.finishUpload(request, candidate.target, connection)
				return
			}
			proxy.release(candidate.target, connection, notInterrupted && whole && !response.head.Close)
		}
		candidate.target.recordResponse(now.Sub(begin), request.stats.meanMs(request.route), response.head.StatusCode < 500)
		if response.unread == nil {
			response.release(true)
		}
	case lost:
		stop()
		candidate.target.discardConnection(connection)
		if request.context.Err() == nil && now.Before(request.deadline) {
			candidate.target.recordFailure(now, false)
		}
	}
	return response, outcome
}

// release returns a connection to the idle pool unless unread or unsent bytes remain on it.
func (proxy *Proxy) release(target *target, connection *connection, reusable bool) {
	if !reusable || connection.respondedEarly || connection.reader.Buffered() > 0 {
		target.discardConnection(connection)
		return
	}
	if connection.conn.SetDeadline(time.Time{}) != nil || connection.unwatchPeer() != nil {
		target.discardConnection(connection)
		return
	}
	target.releaseConnection(connection)
}

// send writes the head and the body of a request, a large body in the background. It returns
// whether any byte may have reached the backend.
func (proxy *Proxy) send(connection *connection, head []byte, body *requestBody) (bool, error) {
	connection.upload = nil
	proxy.requestMetrics.linkWait.Observe(proxy.outbound.recordUrgent(len(head)+int(body.size), proxy.clock()))
	if body.size <= maxInlineBodyBytes {
		count, err := connection.conn.Write(body.appendTo(head))
		return count > 0, err
	}
	count, err := connection.conn.Write(head)
	if err == nil {
		proxy.watchPeer(connection)
		connection.upload = startUpload(proxy.goroutines, connection, body)
	}
	return count > 0, err
}

// encodeRequestHead returns the request line and header for this backend.
func (proxy *Proxy) encodeRequestHead(request *request, backend string, remaining time.Duration) []byte {
	names, source := &proxy.config.Headers, request.source
	head := make([]byte, 0, 512+min(request.body.size, maxInlineBodyBytes))
	head = append(head, source.Method...)
	head = append(head, ' ')
	head = append(head, source.RequestURI...)
	head = append(head, " HTTP/1.1\r\nHost: "...)
	head = append(head, source.Host...)
	head = append(head, "\r\n"...)
	appendField := func(name, value string) {
		head = append(head, name...)
		head = append(head, ": "...)
		head = append(head, value...)
		head = append(head, "\r\n"...)
	}
	connectionOptions := names.connectionOptions(source.Header)
	for name, values := range source.Header {
		if hopByHop[name] || connectionOptions[name] || proxy.strippedHeaders[name] || name == "Content-Length" || name == "Expect" {
			continue
		}
		if name == "Authorization" && slices.ContainsFunc(values, proxy.hasAPIKey) {
			continue
		}
		for _, value := range values {
			appendField(name, value)
		}
	}
	appendField(names.Deadline, strconv.FormatInt(max(1, remaining.Milliseconds()), 10))
	appendField(names.Target, backend)
	if request.tenant != nil {
		appendField(names.Tenant, request.tenant.Name)
	}
	if request.body.size > 0 || source.ContentLength >= 0 && source.Method != http.MethodGet && source.Method != http.MethodHead ||
		len(source.TransferEncoding) > 0 {
		appendField("Content-Length", strconv.FormatInt(request.body.size, 10))
	}
	return append(head, "\r\n"...)
}
