package proxy

import (
	"bytes"
	"context"
	"io"
	"net/http"
	"slices"
	"strconv"
	"strings"
	"time"
)

// fate is how an attempt ended: whether its request may have run, and whether the
// client can have the answer.
type fate uint8

const (
	answered fate = iota
	unsent
	refused
	lost
	spoiled
)

const (
	wholeMost   = 256 << 10
	surplusMost = 3
	dialNear    = 300 * time.Millisecond
	dialFar     = 600 * time.Millisecond
)

// answer is a backend's answer: whole, or its head with the rest still to read.
type answer struct {
	response *http.Response
	body     []byte
	rest     io.Reader
	release  func(sound bool)
}

// hopByHop are the fields that concern one connection only.
var hopByHop = map[string]bool{"Connection": true, "Keep-Alive": true, "Proxy-Connection": true, "Proxy-Authenticate": true, "Proxy-Authorization": true,
	"Te": true, "Trailer": true, "Transfer-Encoding": true, "Upgrade": true}

// named are the fields that a Connection field lists.
func named(header http.Header) map[string]bool {
	var names map[string]bool
	for _, value := range header["Connection"] {
		for _, name := range strings.Split(value, ",") {
			if name = strings.TrimSpace(name); name != "" {
				if names == nil {
					names = map[string]bool{}
				}
				names[http.CanonicalHeaderKey(name)] = true
			}
		}
	}
	return names
}

// connect gives a connection to the target, an idle one or a new one.
func (proxy *Proxy) connect(held *candidate, most int, limit time.Time) (*connection, bool) {
	if taken := held.target.take(proxy.clock()); taken != nil {
		return taken, true
	}
	if !held.target.reserve(most) {
		proxy.counts.Add("connections_capped", 1)
		return nil, false
	}
	patience := dialNear
	if held.far == otherRegion {
		patience = dialFar
	}
	begin := proxy.clock()
	if until := begin.Add(patience); until.Before(limit) {
		limit = until
	}
	ctx, cancel := context.WithDeadline(context.Background(), limit)
	conn, fault := proxy.dial(ctx, "tcp", held.target.backend.Address)
	cancel()
	if fault != nil {
		held.target.unreserve()
		held.target.failed(proxy.clock(), true)
		proxy.counts.Add("connections_failed", 1)
		return nil, false
	}
	held.target.dialled(proxy.clock().Sub(begin))
	proxy.counts.Add("connections_opened", 1)
	return newConnection(conn), false
}

// attempt sends the request to one backend and reads what it answers.
func (proxy *Proxy) attempt(request *request, held *candidate, most int) (*answer, fate) {
	connection, _ := proxy.connect(held, most, request.limit)
	if connection == nil {
		return nil, unsent
	}
	begin := proxy.clock()
	left := request.limit.Sub(begin)
	if left < time.Millisecond || request.context.Err() != nil {
		held.target.give(connection)
		return nil, unsent
	}
	connection.conn.SetDeadline(request.limit.Add(limitSlack))
	stop := context.AfterFunc(request.context, func() { connection.conn.SetDeadline(time.Unix(1, 0)) })
	head := proxy.head(request, held.target.backend.Name, left)
	begun := proxy.meter.begin(request.tenantName())
	sent, fault := send(connection, head, request.body)
	if fault != nil {
		stop()
		held.target.drop(connection)
		held.target.failed(proxy.clock(), false)
		proxy.meter.settle(begun, sent)
		if sent {
			return nil, lost
		}
		return nil, unsent
	}
	answer, ended := proxy.receive(request, held, connection, stop)
	now := proxy.clock()
	proxy.meter.settle(begun, ended != refused)
	switch ended {
	case answered:
		answer.release = func(sound bool) {
			if !stop() {
				sound = false
			}
			proxy.release(held.target, connection, sound)
		}
		good := answer.response.StatusCode < 500
		held.target.served(now.Sub(begin), request.stat.mean(request.route), good)
		if answer.rest == nil {
			answer.release(answer.response == nil || !answer.response.Close)
		}
	case refused:
	default:
		stop()
		held.target.drop(connection)
		if request.context.Err() == nil && now.Before(request.limit) {
			held.target.failed(now, false)
		}
	}
	return answer, ended
}

// promises is whether a status tells the client that the request has not run.
func promises(status int) bool {
	return status == http.StatusRequestTimeout || status == http.StatusTooManyRequests || status == http.StatusServiceUnavailable
}

// release gives a connection back where nothing unread is left on it.
func (proxy *Proxy) release(target *target, connection *connection, sound bool) {
	if !sound || connection.reader.Buffered() > 0 {
		target.drop(connection)
		return
	}
	connection.conn.SetDeadline(time.Time{})
	target.give(connection)
}

// send writes head and body; sent is whether any byte of them may have arrived.
func send(connection *connection, head, body []byte) (bool, error) {
	if len(body) > 0 && len(body) <= 64<<10 {
		head = append(head, body...)
		body = nil
	}
	count, fault := connection.conn.Write(head)
	if fault != nil {
		return count > 0, fault
	}
	if len(body) > 0 {
		_, fault = connection.conn.Write(body)
	}
	return true, fault
}

// head is the request's line and fields as this backend gets them.
func (proxy *Proxy) head(request *request, backend string, left time.Duration) []byte {
	names, source := &proxy.place.Headers, request.source
	head := make([]byte, 0, 512+len(request.body)%(64<<10))
	head = append(head, source.Method...)
	head = append(head, ' ')
	head = append(head, source.RequestURI...)
	head = append(head, " HTTP/1.1\r\nHost: "...)
	head = append(head, source.Host...)
	head = append(head, "\r\n"...)
	field := func(name, value string) {
		head = append(head, name...)
		head = append(head, ": "...)
		head = append(head, value...)
		head = append(head, "\r\n"...)
	}
	listed := named(source.Header)
	for name, values := range source.Header {
		if hopByHop[name] || listed[name] || proxy.withheld[name] || name == "Content-Length" || name == "Expect" {
			continue
		}
		if name == "Authorization" && slices.ContainsFunc(values, proxy.isKey) {
			continue
		}
		for _, value := range values {
			field(name, value)
		}
	}
	field(names.Deadline, strconv.FormatInt(max(1, left.Milliseconds()), 10))
	field(names.Target, backend)
	if request.tenant != nil {
		field(names.Tenant, request.tenant.Name)
	}
	if len(request.body) > 0 || source.ContentLength >= 0 && source.Method != http.MethodGet && source.Method != http.MethodHead || len(source.TransferEncoding) > 0 {
		field("Content-Length", strconv.Itoa(len(request.body)))
	}
	return append(head, "\r\n"...)
}

// receive reads the answer to this request; answers to others are passed over. A
// refusal gives the connection back, and so ends what stop ends.
func (proxy *Proxy) receive(request *request, held *candidate, connection *connection, stop func() bool) (*answer, fate) {
	names := &proxy.place.Headers
	for surplus := 0; ; {
		response, fault := connection.answer(request.source)
		if fault != nil {
			return nil, lost
		}
		if response.StatusCode < 200 {
			if response.StatusCode == http.StatusSwitchingProtocols {
				return nil, spoiled
			}
			continue
		}
		id := response.Header.Get(names.Attempt)
		if id != "" && id != request.id {
			proxy.counts.Add("answers_surplus", 1)
			if surplus++; surplus > surplusMost {
				return nil, spoiled
			}
			if _, fault := io.Copy(io.Discard, response.Body); fault != nil || response.Close {
				return nil, lost
			}
			continue
		}
		held.target.tell(response.Header.Get(names.Load), proxy.clock())
		connection.heed(response.Header.Get("Keep-Alive"))
		if response.StatusCode == http.StatusMisdirectedRequest || response.Header.Get(names.NotExecuted) != "" {
			count, fault := io.Copy(io.Discard, io.LimitReader(response.Body, wholeMost))
			sound := stop() && fault == nil && count < wholeMost && !response.Close
			proxy.release(held.target, connection, sound)
			if response.StatusCode == http.StatusMisdirectedRequest {
				held.target.displace(proxy.clock())
				proxy.counts.Add("backends_replaced", 1)
			}
			return &answer{response: response}, refused
		}
		if id == "" || response.StatusCode < 300 && response.Header.Get(names.Seal) == "" || !request.route.Kind.Repeats() && promises(response.StatusCode) {
			return nil, spoiled
		}
		got := &answer{response: response}
		if request.source.Method == http.MethodHead || response.StatusCode == http.StatusNoContent || response.StatusCode == http.StatusNotModified {
			return got, answered
		}
		if response.ContentLength < 0 && len(response.TransferEncoding) == 0 {
			return nil, spoiled
		}
		buffer := bytes.Buffer{}
		if response.ContentLength > 0 && response.ContentLength <= wholeMost {
			buffer.Grow(int(response.ContentLength) + bytes.MinRead)
		}
		source := &paced{from: response.Body, lane: proxy.inward, ctx: request.within, clock: proxy.clock, large: response.ContentLength > bulkLeast}
		count, fault := io.Copy(&buffer, io.LimitReader(source, wholeMost))
		if fault != nil {
			return nil, lost
		}
		got.body = buffer.Bytes()
		switch {
		case response.ContentLength >= 0 && count == response.ContentLength:
		case response.ContentLength >= 0 && count < response.ContentLength && count < wholeMost:
			return nil, lost
		case count == wholeMost:
			got.rest = source
		}
		return got, answered
	}
}
