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

// connLimits are the limits on client connections in one version of the configuration.
type connLimits struct {
	HeaderBytes   int
	HeaderTimeout time.Duration
	IdleTimeout   time.Duration
}

// Each limit of a version is drawn independently from these two. They lie on both sides of
// the defaults that a process uses before it has a configuration.
var (
	lowLimits  = connLimits{HeaderBytes: 4096, HeaderTimeout: time.Second, IdleTimeout: 2 * time.Second}
	highLimits = connLimits{HeaderBytes: 80 << 10, HeaderTimeout: 6500 * time.Millisecond, IdleTimeout: 5 * time.Second}
)

func randomLimits(random *rand.Rand) connLimits {
	drawn := lowLimits
	if random.IntN(2) == 0 {
		drawn.HeaderBytes = highLimits.HeaderBytes
	}
	if random.IntN(2) == 0 {
		drawn.HeaderTimeout = highLimits.HeaderTimeout
	}
	if random.IntN(2) == 0 {
		drawn.IdleTimeout = highLimits.IdleTimeout
	}
	return drawn
}

// probeKind is the way in which a client probes a limit.
type probeKind uint8

const (
	idleProbe       probeKind = iota // idles after a response until the proxy closes the connection
	reuseProbe                       // idles for less than all idle timeouts, then sends another request
	slowHeaderProbe                  // sends part of a header and no more
	longHeaderProbe                  // sends a long header
	probeKindCount
)

func (kind probeKind) String() string {
	return [...]string{"idle", "reuse", "slow header", "long header"}[kind]
}

const (
	// limitClients is the number of clients that probe limits concurrently.
	limitClients = 8
	// probeTimeout ends a probe that no limit ends.
	probeTimeout = 10 * time.Second
	// reuseIdleShare is the fraction of the shortest idle timeout before a reuse.
	reuseIdleShare     = 0.8
	partialHeaderBytes = 60
	longHeaderBytes    = 70 << 10
)

type limitProbe struct {
	kind      probeKind
	proxy     string
	requestID string    // of the probe's last request
	begin     time.Time // of the idle time or the header
	end       time.Time
	status    int // of the response, 0 if the connection ended without one
	stillOpen bool
}

// limitClient probes random limits on client connections, one at a time.
type limitClient struct {
	random   *rand.Rand
	proxies  []*machine
	recorder *recorder
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
		probe := &limitProbe{kind: probeKind(client.random.IntN(int(probeKindCount))), proxy: proxy.name}
		if client.runProbe(probe, conn) {
			client.recorder.addProbe(probe)
		}
		conn.Close()
	}
}

// newRequest records a request and returns its text, padded to at least headerBytes.
func (client *limitClient) newRequest(probe *limitProbe, headerBytes int) string {
	probe.requestID = fmt.Sprintf("limit-%x", client.random.Uint64())
	exchange := &exchange{
		id: probe.requestID, proxy: probe.proxy, method: http.MethodGet, path: viewPath + "limit", routeService: deskService,
		sentAt: time.Now(), bodyDigest: emptyDigest, isProbe: true,
	}
	client.recorder.addExchange(exchange)
	header := fmt.Sprintf("GET %s HTTP/1.1\r\nHost: %s\r\n%s: %s\r\n", exchange.path, host, headers.Attempt, exchange.id)
	return header + "Filler: " + strings.Repeat("x", max(0, headerBytes-len(header))) + "\r\n\r\n"
}

// runProbe runs one probe; false if the connection failed before it began.
func (client *limitClient) runProbe(probe *limitProbe, conn net.Conn) bool {
	reader := bufio.NewReader(conn)
	if err := conn.SetDeadline(time.Now().Add(2 * probeTimeout)); err != nil {
		return false
	}
	switch probe.kind {
	case idleProbe, reuseProbe:
		if _, err := io.WriteString(conn, client.newRequest(probe, 0)); err != nil || readStatus(reader) != http.StatusOK {
			return false
		}
	case slowHeaderProbe, longHeaderProbe, probeKindCount:
	}
	probe.begin = time.Now()
	switch probe.kind {
	case idleProbe:
		probe.stillOpen = !closedWithin(conn, reader, probeTimeout)
	case reuseProbe:
		idle := time.Duration(reuseIdleShare * float64(lowLimits.IdleTimeout))
		if closedWithin(conn, reader, idle) {
			break
		}
		if _, err := io.WriteString(conn, client.newRequest(probe, 0)); err == nil {
			probe.status = readStatus(reader)
		}
	case slowHeaderProbe:
		if _, err := io.WriteString(conn, client.newRequest(probe, 0)[:partialHeaderBytes]); err != nil {
			return false
		}
		probe.status = readStatus(reader)
	case longHeaderProbe:
		_, _ = io.WriteString(conn, client.newRequest(probe, longHeaderBytes)) // the proxy may refuse it before its end
		probe.status = readStatus(reader)
	case probeKindCount:
	}
	probe.end = time.Now()
	return true
}

// readStatus reads one response and returns its status, 0 if none came.
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

// closedWithin waits for the peer to close the connection; false after the limit.
func closedWithin(conn net.Conn, reader *bufio.Reader, limit time.Duration) bool {
	if err := conn.SetReadDeadline(time.Now().Add(limit)); err != nil {
		return true
	}
	_, err := reader.ReadByte()
	if !errors.Is(err, os.ErrDeadlineExceeded) {
		return true
	}
	return conn.SetReadDeadline(time.Now().Add(probeTimeout)) != nil
}
