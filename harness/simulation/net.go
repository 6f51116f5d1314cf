package simulation

import (
	"bytes"
	"context"
	"errors"
	"io"
	"math/rand/v2"
	"net"
	"net/http"
	"sync"
	"time"

	"orchidjunction/concurrent"
)

// MessageFaults has the probabilities, per mille, that a request or its response is lost or
// that it is sent twice, and its maximum random delay.
type MessageFaults struct {
	RequestLoss  int
	ResponseLoss int
	Duplicate    int
	MaxDelayMs   int
}

// Network connects hosts; the host of an address is its IP address.
type Network struct {
	mutex          sync.Mutex
	random         *rand.Rand
	listeners      map[string]*listener
	conns          []*conn
	cut            map[[2]string]bool
	frozen         map[string]bool
	blackholed     map[string]bool
	incarnations   map[string]int
	faults         MessageFaults
	requestDelays  map[string]time.Duration
	lag            func(from, to string) time.Duration
	bytesPerSecond int
	goroutines     *concurrent.Group
	Messages       int
	Bytes          int
}

var (
	errRefused = errors.New("connection refused")
	errLost    = errors.New("message lost")
)

// NewNetwork returns a network without faults whose random delays follow the seed.
func NewNetwork(seed uint64) *Network {
	return &Network{
		random:       rand.New(rand.NewPCG(seed, 13)),
		listeners:    map[string]*listener{},
		cut:          map[[2]string]bool{},
		frozen:       map[string]bool{},
		blackholed:   map[string]bool{},
		incarnations: map[string]int{},
		goroutines:   concurrent.NewGroup(),
	}
}

// draw returns true with the given probability; the caller holds the mutex.
func (network *Network) draw(perMille int) bool {
	return perMille > 0 && network.random.IntN(1000) < perMille
}

func (network *Network) delay(from, to string) time.Duration {
	network.mutex.Lock()
	defer network.mutex.Unlock()
	span := time.Duration(200+network.random.IntN(800)) * time.Microsecond
	if network.lag != nil {
		span += network.lag(from, to)
	}
	return span
}

// SetLag adds a delay that depends on the two hosts.
func (network *Network) SetLag(lag func(from, to string) time.Duration) {
	network.mutex.Lock()
	network.lag = lag
	network.mutex.Unlock()
}

// SetRate limits the bandwidth of every connection in each direction; 0 means no limit.
func (network *Network) SetRate(bytesPerSecond int) {
	network.mutex.Lock()
	network.bytesPerSecond = bytesPerSecond
	network.mutex.Unlock()
}

func (network *Network) transmissionTime(bytes int) time.Duration {
	network.mutex.Lock()
	defer network.mutex.Unlock()
	if network.bytesPerSecond == 0 {
		return 0
	}
	return time.Duration(float64(bytes) / float64(network.bytesPerSecond) * float64(time.Second))
}

func host(address string) string {
	name, _, _ := splitHost(address)
	return name
}

func splitHost(address string) (string, string, error) { return net.SplitHostPort(address) }

// blocked reports whether bytes from one host to another are held back.
func (network *Network) blocked(from, to string) bool {
	network.mutex.Lock()
	defer network.mutex.Unlock()
	return network.cut[[2]string{from, to}] || network.frozen[from] || network.frozen[to]
}

// unreachable reports whether one of two hosts is blackholed.
func (network *Network) unreachable(from, to string) bool {
	network.mutex.Lock()
	defer network.mutex.Unlock()
	return network.blackholed[from] || network.blackholed[to]
}

func (network *Network) update(apply func()) {
	network.mutex.Lock()
	apply()
	conns := append([]*conn{}, network.conns...)
	network.mutex.Unlock()
	for _, conn := range conns {
		conn.in.wakeReader()
		conn.out.wakeReader()
	}
}

// Cut blocks the traffic between two hosts in both directions, or unblocks it.
func (network *Network) Cut(left, right string, cut bool) {
	network.update(func() { network.cut[[2]string{left, right}], network.cut[[2]string{right, left}] = cut, cut })
}

// CutOneWay blocks or unblocks the traffic in one direction only.
func (network *Network) CutOneWay(from, to string, cut bool) {
	network.update(func() { network.cut[[2]string{from, to}] = cut })
}

// Freeze blocks a host's traffic. When the host is unfrozen, the bytes in flight arrive late.
func (network *Network) Freeze(host string, frozen bool) {
	network.update(func() { network.frozen[host] = frozen })
}

// SetRequestDelay delays all messages to one host and none to others; an empty name ends it.
func (network *Network) SetRequestDelay(host string, span time.Duration) {
	network.mutex.Lock()
	defer network.mutex.Unlock()
	if network.requestDelays = map[string]time.Duration{}; host != "" {
		network.requestDelays[host] = span
	}
}

// SetMessageFaults replaces the present message faults.
func (network *Network) SetMessageFaults(faults MessageFaults) {
	network.mutex.Lock()
	network.faults = faults
	network.mutex.Unlock()
}

// Kill breaks every connection of a host, as a killed process does. Bytes that a cut held
// back are lost, since no process is left to retransmit them.
func (network *Network) Kill(name string) {
	for _, conn := range network.disconnect(name) {
		conn.in.close(true)
		conn.out.close(conn.out.blocked())
	}
}

// disconnect removes a host's listeners and both ends of its connections from the network.
// Dialers of its process fail from then on.
func (network *Network) disconnect(name string) []*conn {
	network.mutex.Lock()
	network.incarnations[name]++
	broken := network.removeConns(func(conn *conn) bool { return conn.hasEndpoint(name) })
	closing := []*listener{}
	for address, ln := range network.listeners {
		if host(address) == name {
			closing = append(closing, ln)
		}
	}
	network.mutex.Unlock()
	for _, ln := range closing {
		_ = ln.Close() // never fails
	}
	return broken
}

// removeConns removes and returns the wanted connections; the caller holds the mutex.
func (network *Network) removeConns(wanted func(*conn) bool) []*conn {
	kept, removed := []*conn{}, []*conn{}
	for _, conn := range network.conns {
		if wanted(conn) {
			removed = append(removed, conn)
		} else {
			kept = append(kept, conn)
		}
	}
	network.conns = kept
	return removed
}

// Blackhole makes a host disappear without closing its connections: they hang, and so do
// attempts to connect, until the host is back.
func (network *Network) Blackhole(name string, blackholed bool) {
	network.mutex.Lock()
	network.blackholed[name] = blackholed
	network.mutex.Unlock()
	if !blackholed {
		return
	}
	remaining := []*conn{}
	for _, conn := range network.disconnect(name) {
		if host(string(conn.local)) == name {
			conn.abandon()
		} else {
			remaining = append(remaining, conn)
		}
	}
	network.mutex.Lock()
	network.conns = append(network.conns, remaining...)
	network.mutex.Unlock()
}

// Reset breaks all connections between two hosts, which may reconnect.
func (network *Network) Reset(left, right string) {
	network.mutex.Lock()
	broken := network.removeConns(func(conn *conn) bool { return conn.hasEndpoint(left) && conn.hasEndpoint(right) })
	network.mutex.Unlock()
	for _, conn := range broken {
		conn.in.close(true)
		conn.out.close(true)
	}
}

type listener struct {
	network *Network
	address string
	mutex   sync.Mutex
	wake    *sync.Cond
	backlog []*conn
	closed  bool
}

// Listen fails if the address is already in use.
func (network *Network) Listen(address string) (*listener, error) {
	network.mutex.Lock()
	defer network.mutex.Unlock()
	if network.listeners[address] != nil {
		return nil, errRefused
	}
	ln := &listener{network: network, address: address}
	ln.wake = sync.NewCond(&ln.mutex)
	network.listeners[address] = ln
	return ln, nil
}

func (listener *listener) Accept() (net.Conn, error) {
	listener.mutex.Lock()
	defer listener.mutex.Unlock()
	for len(listener.backlog) == 0 {
		if listener.closed {
			return nil, net.ErrClosed
		}
		listener.wake.Wait()
	}
	conn := listener.backlog[0]
	listener.backlog = listener.backlog[1:]
	return conn, nil
}

func (listener *listener) Close() error {
	listener.network.mutex.Lock()
	if listener.network.listeners[listener.address] == listener {
		delete(listener.network.listeners, listener.address)
	}
	listener.network.mutex.Unlock()
	listener.mutex.Lock()
	listener.closed = true
	backlog := listener.backlog
	listener.backlog = nil
	listener.wake.Broadcast()
	listener.mutex.Unlock()
	for _, conn := range backlog {
		_ = conn.Close() // never fails
	}
	return nil
}

func (listener *listener) Addr() net.Addr { return address(listener.address) }

// Dialer returns a host's dial function; it fails once the host's process has ended.
func (network *Network) Dialer(from string) func(ctx context.Context, network, to string) (net.Conn, error) {
	network.mutex.Lock()
	incarnation := network.incarnations[from]
	network.mutex.Unlock()
	return func(ctx context.Context, _, to string) (netConn, error) {
		return network.dial(ctx, from, to, func() bool { return network.incarnations[from] != incarnation })
	}
}

type netConn = net.Conn

func (network *Network) dial(ctx context.Context, from, to string, processEnded func() bool) (net.Conn, error) {
	until := time.Now().Add(time.Second)
	if deadline, found := ctx.Deadline(); found && deadline.Before(until) {
		until = deadline
	}
	for network.blocked(from, host(to)) || network.unreachable(from, host(to)) {
		if !time.Now().Before(until) {
			return nil, dialError(context.DeadlineExceeded)
		}
		time.Sleep(5 * time.Millisecond)
		if ctx.Err() != nil {
			return nil, dialError(ctx.Err())
		}
	}
	network.mutex.Lock()
	ln := network.listeners[to]
	if ln == nil || processEnded() {
		network.mutex.Unlock()
		return nil, dialError(errRefused)
	}
	target := host(to)
	toServer := newStream(func() bool { return network.blocked(from, target) })
	toClient := newStream(func() bool { return network.blocked(target, from) })
	clientEnd := &conn{in: toClient, out: toServer, local: address(from + ":1"), remote: address(to), network: network}
	serverEnd := &conn{in: toServer, out: toClient, local: address(to), remote: address(from + ":1"), network: network}
	network.conns = append(network.conns, clientEnd, serverEnd)
	network.mutex.Unlock()
	ln.mutex.Lock()
	defer ln.mutex.Unlock()
	if ln.closed {
		_ = clientEnd.Close() // never fails
		return nil, dialError(errRefused)
	}
	ln.backlog = append(ln.backlog, serverEnd)
	ln.wake.Signal()
	return clientEnd, nil
}

func dialError(cause error) error { return &net.OpError{Op: "dial", Net: "tcp", Err: cause} }

// Transport returns a transport for a host's messages that applies the network's faults.
func (network *Network) Transport(from string) *Transport {
	return &Transport{
		network: network,
		inner:   &http.Transport{DialContext: network.Dialer(from), IdleConnTimeout: 20 * time.Second, MaxIdleConnsPerHost: 8},
	}
}

// Transport is an HTTP transport that loses, duplicates and delays whole messages.
type Transport struct {
	network *Network
	inner   *http.Transport
}

// CloseIdleConnections closes the connections without a request in flight.
func (transport *Transport) CloseIdleConnections() { transport.inner.CloseIdleConnections() }

// RoundTrip implements http.RoundTripper with the network's faults.
func (transport *Transport) RoundTrip(request *http.Request) (*http.Response, error) {
	network := transport.network
	network.mutex.Lock()
	faults := network.faults
	network.Messages++
	network.Bytes += int(max(request.ContentLength, 0))
	loseRequest, loseResponse, resend := network.draw(faults.RequestLoss), network.draw(faults.ResponseLoss), network.draw(faults.Duplicate)
	delay := network.requestDelays[host(request.URL.Host)]
	if faults.MaxDelayMs > 0 {
		delay += time.Duration(network.random.IntN(faults.MaxDelayMs*1000)) * time.Microsecond
	}
	network.mutex.Unlock()
	if delay > 0 {
		time.Sleep(delay)
	}
	if loseRequest {
		<-request.Context().Done()
		return nil, errLost
	}
	if resend && request.Body != nil {
		body, err := io.ReadAll(request.Body)
		request.Body.Close()
		if err != nil {
			return nil, err
		}
		request.Body = io.NopCloser(bytes.NewReader(body))
		network.goroutines.Start(func() { transport.sendDuplicate(request, body) })
	}
	response, err := transport.inner.RoundTrip(request)
	if err == nil && loseResponse {
		response.Body.Close()
		<-request.Context().Done()
		return nil, errLost
	}
	return response, err
}

// sendDuplicate sends the same message again after a random delay and discards the response.
func (transport *Transport) sendDuplicate(request *http.Request, body []byte) {
	transport.network.mutex.Lock()
	delay := time.Duration(transport.network.random.IntN(400)) * time.Millisecond
	transport.network.mutex.Unlock()
	time.Sleep(delay)
	ctx, cancel := context.WithTimeout(context.Background(), time.Second)
	defer cancel()
	copied := request.Clone(ctx)
	copied.Body = io.NopCloser(bytes.NewReader(body))
	if response, err := transport.inner.RoundTrip(copied); err == nil {
		_, _ = io.Copy(io.Discard, response.Body) // the response is not needed
		response.Body.Close()
	}
}

// Close waits for the duplicates in flight and closes all connections.
func (network *Network) Close() {
	network.goroutines.Wait()
	network.mutex.Lock()
	conns := network.conns
	network.conns = nil
	network.mutex.Unlock()
	for _, conn := range conns {
		_ = conn.Close() // never fails
	}
}

// Count returns how many messages were sent so far, and their size in bytes.
func (network *Network) Count() (int, int) {
	network.mutex.Lock()
	defer network.mutex.Unlock()
	return network.Messages, network.Bytes
}
