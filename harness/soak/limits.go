package soak

import (
	"bufio"
	"errors"
	"fmt"
	"io"
	"math/rand/v2"
	"net"
	"net/http"
	"os"
	"strings"
	"time"
)

// limits are those of clients' connections in one version of the routing.
type limits struct {
	HeaderBytes   int
	HeaderTimeout time.Duration
	IdleTimeout   time.Duration
}

// The limits that versions have: each is drawn by itself. They lie on both sides of what a
// process has of its own before it knows a routing.
var (
	tightLimits = limits{HeaderBytes: 4096, HeaderTimeout: time.Second, IdleTimeout: 2 * time.Second}
	wideLimits  = limits{HeaderBytes: 80 << 10, HeaderTimeout: 6500 * time.Millisecond, IdleTimeout: 5 * time.Second}
)

func drawLimits(random *rand.Rand) limits {
	drawn := tightLimits
	if random.IntN(2) == 0 {
		drawn.HeaderBytes = wideLimits.HeaderBytes
	}
	if random.IntN(2) == 0 {
		drawn.HeaderTimeout = wideLimits.HeaderTimeout
	}
	if random.IntN(2) == 0 {
		drawn.IdleTimeout = wideLimits.IdleTimeout
	}
	return drawn
}

// probeKind is what a client does to see a limit act.
type probeKind uint8

const (
	restProbe  probeKind = iota // rests after an answer until the proxy closes the connection
	reuseProbe                  // rests as long as all limits allow, and asks again
	slowProbe                   // sends a part of a head and no more
	longProbe                   // sends a long head
	probeKinds
)

func (kind probeKind) String() string {
	return [...]string{"rest", "reuse", "slow head", "long head"}[kind]
}

const (
	// limitClients is how many clients try the limits at a time.
	limitClients = 8
	// probeTimeout ends a probe that no limit has ended.
	probeTimeout = 10 * time.Second
	// reuseShare is the part of the shortest idle timeout after which clients still ask.
	reuseShare = 0.8
	partOfHead = 60 // bytes
	longHead   = 70 << 10
)

// limitProbe is what a client tried and what became of it.
type limitProbe struct {
	kind   probeKind
	proxy  string
	id     string    // of the request that the probe is about
	begin  time.Time // of the rest or the head
	end    time.Time
	status int // of the answer, 0 if the connection ended without one
	open   bool
}

// limitClient tries the limits of clients' connections, one after the other.
type limitClient struct {
	random  *rand.Rand
	proxies []*machine
	log     *evidence
}

func (client *limitClient) run(done <-chan struct{}) {
	for {
		select {
		case <-done:
			return
		case <-time.After(time.Duration(client.random.Int64N(int64(2 * thinkTime)))):
		}
		proxy := client.proxies[client.random.IntN(len(client.proxies))]
		conn, err := net.DialTimeout("tcp", proxy.clientsAddress(), dialTimeout)
		if err != nil {
			continue
		}
		probe := &limitProbe{kind: probeKind(client.random.IntN(int(probeKinds))), proxy: proxy.name}
		if client.try(probe, conn) {
			client.log.probed(probe)
		}
		conn.Close()
	}
}

// request records a request of the probe's and returns its text, with a head of at least so
// many bytes.
func (client *limitClient) request(probe *limitProbe, size int) string {
	probe.id = fmt.Sprintf("limit-%x", client.random.Uint64())
	exchange := &exchange{
		id: probe.id, proxy: probe.proxy, method: http.MethodGet, path: viewPath + "limit", service: deskService,
		sentAt: time.Now(), body: emptyDigest, isProbe: true,
	}
	client.log.sent(exchange)
	head := fmt.Sprintf("GET %s HTTP/1.1\r\nHost: %s\r\n%s: %s\r\n", exchange.path, host, headers.Attempt, exchange.id)
	return head + "Filler: " + strings.Repeat("x", max(0, size-len(head))) + "\r\n\r\n"
}

// try plays one probe on a connection; false if the connection failed before the probe began.
func (client *limitClient) try(probe *limitProbe, conn net.Conn) bool {
	reader := bufio.NewReader(conn)
	if err := conn.SetDeadline(time.Now().Add(2 * probeTimeout)); err != nil {
		return false
	}
	switch probe.kind {
	case restProbe, reuseProbe:
		if _, err := io.WriteString(conn, client.request(probe, 0)); err != nil || readStatus(reader) != http.StatusOK {
			return false
		}
	case slowProbe, longProbe, probeKinds:
	}
	probe.begin = time.Now()
	switch probe.kind {
	case restProbe:
		probe.open = !closesWithin(conn, reader, probeTimeout)
	case reuseProbe:
		rest := time.Duration(reuseShare * float64(tightLimits.IdleTimeout))
		if closesWithin(conn, reader, rest) {
			break
		}
		if _, err := io.WriteString(conn, client.request(probe, 0)); err == nil {
			probe.status = readStatus(reader)
		}
	case slowProbe:
		if _, err := io.WriteString(conn, client.request(probe, 0)[:partOfHead]); err != nil {
			return false
		}
		probe.status = readStatus(reader)
	case longProbe:
		_, _ = io.WriteString(conn, client.request(probe, longHead)) // a refusal may come before its end
		probe.status = readStatus(reader)
	case probeKinds:
	}
	probe.end = time.Now()
	return true
}

// readStatus reads one answer and returns its status, 0 if none came.
func readStatus(reader *bufio.Reader) int {
	response, err := http.ReadResponse(reader, nil)
	if err != nil {
		return 0
	}
	if _, err := io.Copy(io.Discard, response.Body); err != nil {
		return 0
	}
	return response.StatusCode
}

// closesWithin waits until the connection is closed; false if it is open after the limit.
func closesWithin(conn net.Conn, reader *bufio.Reader, limit time.Duration) bool {
	if err := conn.SetReadDeadline(time.Now().Add(limit)); err != nil {
		return true
	}
	_, err := reader.ReadByte()
	if !errors.Is(err, os.ErrDeadlineExceeded) {
		return true
	}
	return conn.SetReadDeadline(time.Now().Add(probeTimeout)) != nil
}
