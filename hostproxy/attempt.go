package hostproxy

import (
	"context"
	"net/http"
	"slices"
	"strconv"
	"strings"
	"time"
)

// outcome is how an attempt ended: whether its request may have run, and whether the
// client can have the answer.
type outcome uint8

const (
	// answered: the backend's answer can go to the client.
	answered outcome = iota
	// unsent: no byte of the request reached the backend.
	unsent
	// withdrawn: no byte was sent, because a view has come into force that does not have
	// the backend as a candidate.
	withdrawn
	// refused: the backend says that it did not run the request.
	refused
	// lost: the request may have run, and there is no answer to trust.
	lost
)

// How long a dial may take, within the own region and beyond it.
const (
	nearDialTimeout = 300 * time.Millisecond
	farDialTimeout  = 600 * time.Millisecond
)

// hopByHop are the fields that concern one connection only.
var hopByHop = map[string]bool{
	"Connection": true, "Keep-Alive": true, "Proxy-Connection": true, "Proxy-Authenticate": true, "Proxy-Authorization": true,
	"Te": true, "Trailer": true, "Transfer-Encoding": true, "Upgrade": true,
}

// listedByConnection are the fields that a Connection field lists; those that end to
// end attribution needs are never among them.
func (names *Headers) listedByConnection(header http.Header) map[string]bool {
	var listed map[string]bool
	for _, value := range header["Connection"] {
		for name := range strings.SplitSeq(value, ",") {
			name = http.CanonicalHeaderKey(strings.TrimSpace(name))
			if name == "" || name == names.Attempt || name == names.Seal {
				continue
			}
			if listed == nil {
				listed = map[string]bool{}
			}
			listed[name] = true
		}
	}
	return listed
}

// connect gives a connection to the target, an idle one or a new one; nil when there
// is none to have. A dial ends at once when its target is withdrawn, and says nothing
// of the target then.
func (proxy *Proxy) connect(held *candidate, most int, limit time.Time) *connection {
	if taken := held.target.takeIdle(proxy.clock()); taken != nil {
		return taken
	}
	if !held.target.reserveConnection(most) {
		proxy.counters.Add("connections_capped", 1)
		return nil
	}
	patience := nearDialTimeout
	if held.distance == otherRegion {
		patience = farDialTimeout
	}
	begin := proxy.clock()
	if until := begin.Add(patience); until.Before(limit) {
		limit = until
	}
	ctx, cancel := context.WithDeadline(held.eligible, limit)
	conn, err := proxy.dial(ctx, "tcp", held.target.backend.Address)
	cancel()
	if err != nil {
		held.target.unreserveConnection()
		if held.isWithdrawn() {
			return nil
		}
		held.target.recordFailure(proxy.clock(), true)
		proxy.counters.Add("connections_failed", 1)
		return nil
	}
	held.target.recordDial(proxy.clock().Sub(begin))
	proxy.counters.Add("connections_opened", 1)
	return newConnection(conn)
}

// attempt sends the request to one backend and reads what it answers. One that may
// have run already, and may run only once, is sent nowhere; nor is one to a backend that
// was withdrawn since it was chosen.
func (proxy *Proxy) attempt(request *request, held *candidate, limit int) (*answer, outcome) {
	if request.mayHaveRun && !request.route.Kind.IsIdempotent() {
		proxy.counters.Add("repeats_prevented", 1)
		return nil, lost
	}
	connectBegin := proxy.clock()
	connection := proxy.connect(held, limit, request.deadline)
	request.spent.connecting += proxy.clock().Sub(connectBegin)
	if held.isWithdrawn() {
		if connection != nil {
			held.target.releaseConnection(connection)
		}
		return nil, withdrawn
	}
	if connection == nil {
		return nil, unsent
	}
	if request.deadline.Sub(proxy.clock()) < time.Millisecond || request.context.Err() != nil {
		held.target.releaseConnection(connection)
		return nil, unsent
	}
	proxy.figures.observeSend(request, proxy.clock())
	if held.isWithdrawn() {
		proxy.counters.Add("attempts_sent_withdrawn", 1)
	}
	before := request.mayHaveRun
	request.mayHaveRun = true
	begun := proxy.usageMeter.begin(request.tenantName())
	exchangeBegin := proxy.clock()
	held.countSent()
	answer, ended := proxy.exchange(request, held, connection)
	request.spent.backends += proxy.clock().Sub(exchangeBegin)
	proxy.scoreExchange(request, held, answer, ended, exchangeBegin)
	notRun := ended == unsent || ended == refused
	if notRun {
		request.mayHaveRun = before
	}
	proxy.usageMeter.finish(begun, !notRun)
	return answer, ended
}

// exchange sends one request on a connection and reads its answer. The connection is
// given back, or closed, in every case but that of an answer that still streams.
func (proxy *Proxy) exchange(request *request, held *candidate, connection *connection) (*answer, outcome) {
	begin := proxy.clock()
	if err := connection.conn.SetDeadline(request.deadline.Add(deadlineSlack)); err != nil {
		held.target.discardConnection(connection)
		held.target.recordFailure(begin, false)
		return nil, unsent
	}
	stop := context.AfterFunc(request.context, connection.interrupt)
	head := proxy.requestHead(request, held.target.backend.Name, request.deadline.Sub(begin))
	if sent, err := proxy.send(connection, head, &request.body); err != nil {
		stop()
		held.target.discardConnection(connection)
		held.target.recordFailure(proxy.clock(), false)
		if sent {
			return nil, lost
		}
		return nil, unsent
	}
	if stop() {
		stop = context.AfterFunc(request.context, func() {
			_ = connection.conn.SetReadDeadline(time.Unix(1, 0)) // fails where nobody waits at it any more
		})
	}
	answer, ended := proxy.receive(request, held, connection, stop)
	switch now := proxy.clock(); ended {
	case answered:
		answer.release = func(whole bool) {
			waited := stop()
			if whole && connection.owesBody(answer) {
				proxy.finishUpload(request, held.target, connection)
				return
			}
			proxy.release(held.target, connection, waited && whole && !answer.response.Close)
		}
		held.target.recordResponse(now.Sub(begin), request.stats.meanMs(request.route), answer.response.StatusCode < 500)
		if answer.remainder == nil {
			answer.release(true)
		}
	case lost:
		stop()
		held.target.discardConnection(connection)
		if request.context.Err() == nil && now.Before(request.deadline) {
			held.target.recordFailure(now, false)
		}
	}
	return answer, ended
}

// release gives a connection back where nothing unread is left on it, at either end.
func (proxy *Proxy) release(target *target, connection *connection, sound bool) {
	if !sound || connection.answeredEarly || connection.reader.Buffered() > 0 {
		target.discardConnection(connection)
		return
	}
	if connection.conn.SetDeadline(time.Time{}) != nil || connection.unwatchPeer() != nil {
		target.discardConnection(connection)
		return
	}
	target.releaseConnection(connection)
}

// send writes head and body, a large one in the background; sent is whether any byte
// of them may have arrived.
func (proxy *Proxy) send(connection *connection, head []byte, body *requestBody) (bool, error) {
	connection.upload = nil
	proxy.figures.linkWait.Observe(proxy.outbound.recordUrgent(len(head)+int(body.size), proxy.clock()))
	if body.size <= smallBody {
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

// requestHead is the request's line and fields as this backend gets them.
func (proxy *Proxy) requestHead(request *request, backend string, left time.Duration) []byte {
	names, source := &proxy.config.Headers, request.source
	head := make([]byte, 0, 512+min(request.body.size, smallBody))
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
	listed := names.listedByConnection(source.Header)
	for name, values := range source.Header {
		if hopByHop[name] || listed[name] || proxy.withheldHeaders[name] || name == "Content-Length" || name == "Expect" {
			continue
		}
		if name == "Authorization" && slices.ContainsFunc(values, proxy.hasAPIKey) {
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
	if request.body.size > 0 || source.ContentLength >= 0 && source.Method != http.MethodGet && source.Method != http.MethodHead ||
		len(source.TransferEncoding) > 0 {
		field("Content-Length", strconv.FormatInt(request.body.size, 10))
	}
	return append(head, "\r\n"...)
}
