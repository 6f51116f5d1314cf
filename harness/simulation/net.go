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

// Faults are the odds, in a thousand, of what happens to a message.
type Faults struct {
	LoseAsked int
	LoseTold  int
	Twice     int
	SlowMs    int
}

// Net joins hosts; the host of an address is its IP.
type Net struct {
	mutex      sync.Mutex
	random     *rand.Rand
	listeners  map[string]*listener
	conns      []*conn
	cut        map[[2]string]bool
	frozen     map[string]bool
	gone       map[string]bool
	lives      map[string]int
	faults     Faults
	slow       map[string]time.Duration
	lag        func(from, to string) time.Duration
	rate       int
	goroutines *concurrent.Group
	Messages   int
	Bytes      int
}

var (
	errRefused = errors.New("connection refused")
	errLost    = errors.New("message lost")
)

// NewNet returns a network without faults whose delays are drawn by seed.
func NewNet(seed uint64) *Net {
	return &Net{
		random:     rand.New(rand.NewPCG(seed, 13)),
		listeners:  map[string]*listener{},
		cut:        map[[2]string]bool{},
		frozen:     map[string]bool{},
		gone:       map[string]bool{},
		lives:      map[string]int{},
		goroutines: concurrent.NewGroup(),
	}
}

func (net *Net) odds(of int) bool { return of > 0 && net.random.IntN(1000) < of }

func (net *Net) delay(from, to string) time.Duration {
	net.mutex.Lock()
	defer net.mutex.Unlock()
	span := time.Duration(200+net.random.IntN(800)) * time.Microsecond
	if net.lag != nil {
		span += net.lag(from, to)
	}
	return span
}

// Lag makes the way from one host to another longer.
func (net *Net) Lag(lag func(from, to string) time.Duration) {
	net.mutex.Lock()
	net.lag = lag
	net.mutex.Unlock()
}

// Rate makes every connection carry so many bytes a second in each direction from now on; 0
// is no bound.
func (net *Net) Rate(bytesPerSecond int) {
	net.mutex.Lock()
	net.rate = bytesPerSecond
	net.mutex.Unlock()
}

// sending returns how long a connection is busy with so many bytes.
func (net *Net) sending(bytes int) time.Duration {
	net.mutex.Lock()
	defer net.mutex.Unlock()
	if net.rate == 0 {
		return 0
	}
	return time.Duration(float64(bytes) / float64(net.rate) * float64(time.Second))
}

func host(address string) string {
	name, _, _ := splitHost(address)
	return name
}

func splitHost(address string) (string, string, error) { return net.SplitHostPort(address) }

// shut is whether bytes from one host to another stand still.
func (net *Net) shut(from, to string) bool {
	net.mutex.Lock()
	defer net.mutex.Unlock()
	return net.cut[[2]string{from, to}] || net.frozen[from] || net.frozen[to]
}

// away is whether one of two hosts is gone without a word.
func (net *Net) away(from, to string) bool {
	net.mutex.Lock()
	defer net.mutex.Unlock()
	return net.gone[from] || net.gone[to]
}

func (net *Net) change(turn func()) {
	net.mutex.Lock()
	turn()
	conns := append([]*conn{}, net.conns...)
	net.mutex.Unlock()
	for _, conn := range conns {
		conn.in.stir()
		conn.out.stir()
	}
}

// Cut stops all bytes between two hosts, both ways, until healed.
func (net *Net) Cut(left, right string, cut bool) {
	net.change(func() { net.cut[[2]string{left, right}], net.cut[[2]string{right, left}] = cut, cut })
}

// CutOneWay stops bytes in one direction only.
func (net *Net) CutOneWay(from, to string, cut bool) {
	net.change(func() { net.cut[[2]string{from, to}] = cut })
}

// Freeze stops a host's bytes; thawed, what was under way arrives late.
func (net *Net) Freeze(host string, frozen bool) {
	net.change(func() { net.frozen[host] = frozen })
}

// Slow makes one host's answers to messages late; no name ends all of it.
func (net *Net) Slow(host string, span time.Duration) {
	net.mutex.Lock()
	defer net.mutex.Unlock()
	if net.slow = map[string]time.Duration{}; host != "" {
		net.slow[host] = span
	}
}

// Faults sets how often messages are lost, doubled and late from now on.
func (net *Net) Faults(faults Faults) {
	net.mutex.Lock()
	net.faults = faults
	net.mutex.Unlock()
}

// Kill breaks every connection of a host, as a killed process does; bytes that
// a cut held back are lost, since nobody is left to send them again. What the
// dead process had under way reaches nobody any more.
func (net *Net) Kill(name string) {
	for _, conn := range net.disconnect(name) {
		conn.in.close(true)
		conn.out.close(conn.out.shut())
	}
}

// disconnect takes a host's listeners and connections out of the net: both ends
// of each connection. What its process has under way reaches nobody any more.
func (net *Net) disconnect(name string) []*conn {
	net.mutex.Lock()
	net.lives[name]++
	broken := net.take(func(conn *conn) bool { return conn.joins(name) })
	closing := []*listener{}
	for address, open := range net.listeners {
		if host(address) == name {
			closing = append(closing, open)
		}
	}
	net.mutex.Unlock()
	for _, open := range closing {
		_ = open.Close() // never fails
	}
	return broken
}

// take removes connections from the net's list; the caller holds the mutex.
func (net *Net) take(wanted func(*conn) bool) []*conn {
	kept, taken := []*conn{}, []*conn{}
	for _, conn := range net.conns {
		if wanted(conn) {
			taken = append(taken, conn)
		} else {
			kept = append(kept, conn)
		}
	}
	net.conns = kept
	return taken
}

// Vanish takes a host away with no word to anybody: connections to it hang, and so
// do attempts to connect, as long as it is gone.
func (net *Net) Vanish(name string, gone bool) {
	net.mutex.Lock()
	net.gone[name] = gone
	net.mutex.Unlock()
	if !gone {
		return
	}
	left := []*conn{}
	for _, conn := range net.disconnect(name) {
		if host(string(conn.local)) == name {
			conn.abandon()
		} else {
			left = append(left, conn)
		}
	}
	net.mutex.Lock()
	net.conns = append(net.conns, left...)
	net.mutex.Unlock()
}

// Reset breaks all connections between two hosts; both may connect again.
func (net *Net) Reset(left, right string) {
	net.mutex.Lock()
	broken := net.take(func(conn *conn) bool { return conn.joins(left) && conn.joins(right) })
	net.mutex.Unlock()
	for _, conn := range broken {
		conn.in.close(true)
		conn.out.close(true)
	}
}

type listener struct {
	net     *Net
	address string
	mutex   sync.Mutex
	wake    *sync.Cond
	waiting []*conn
	closed  bool
}

// Listen opens an address; it fails where the address is open already.
func (net *Net) Listen(address string) (*listener, error) {
	net.mutex.Lock()
	defer net.mutex.Unlock()
	if net.listeners[address] != nil {
		return nil, errRefused
	}
	open := &listener{net: net, address: address}
	open.wake = sync.NewCond(&open.mutex)
	net.listeners[address] = open
	return open, nil
}

func (listener *listener) Accept() (net.Conn, error) {
	listener.mutex.Lock()
	defer listener.mutex.Unlock()
	for len(listener.waiting) == 0 {
		if listener.closed {
			return nil, net.ErrClosed
		}
		listener.wake.Wait()
	}
	conn := listener.waiting[0]
	listener.waiting = listener.waiting[1:]
	return conn, nil
}

func (listener *listener) Close() error {
	listener.net.mutex.Lock()
	if listener.net.listeners[listener.address] == listener {
		delete(listener.net.listeners, listener.address)
	}
	listener.net.mutex.Unlock()
	listener.mutex.Lock()
	listener.closed = true
	waiting := listener.waiting
	listener.waiting = nil
	listener.wake.Broadcast()
	listener.mutex.Unlock()
	for _, conn := range waiting {
		_ = conn.Close() // never fails
	}
	return nil
}

func (listener *listener) Addr() net.Addr { return address(listener.address) }

// Dialer is how a host reaches others.
func (net *Net) Dialer(from string) func(ctx context.Context, network, to string) (net.Conn, error) {
	net.mutex.Lock()
	life := net.lives[from]
	net.mutex.Unlock()
	return func(ctx context.Context, _, to string) (netConn, error) {
		return net.dial(ctx, from, to, func() bool { return net.lives[from] != life })
	}
}

type netConn = net.Conn

func (net *Net) dial(ctx context.Context, from, to string, dead func() bool) (net.Conn, error) {
	until := time.Now().Add(time.Second)
	if limit, found := ctx.Deadline(); found && limit.Before(until) {
		until = limit
	}
	for net.shut(from, host(to)) || net.away(from, host(to)) {
		if !time.Now().Before(until) {
			return nil, dialFault(context.DeadlineExceeded)
		}
		time.Sleep(5 * time.Millisecond)
		if ctx.Err() != nil {
			return nil, dialFault(ctx.Err())
		}
	}
	net.mutex.Lock()
	open := net.listeners[to]
	if open == nil || dead() {
		net.mutex.Unlock()
		return nil, dialFault(errRefused)
	}
	target := host(to)
	there := newHalf(func() bool { return net.shut(from, target) })
	back := newHalf(func() bool { return net.shut(target, from) })
	near := &conn{in: back, out: there, local: address(from + ":1"), remote: address(to), net: net}
	far := &conn{in: there, out: back, local: address(to), remote: address(from + ":1"), net: net}
	net.conns = append(net.conns, near, far)
	net.mutex.Unlock()
	open.mutex.Lock()
	defer open.mutex.Unlock()
	if open.closed {
		_ = near.Close() // never fails
		return nil, dialFault(errRefused)
	}
	open.waiting = append(open.waiting, far)
	open.wake.Signal()
	return near, nil
}

func dialFault(cause error) error { return &net.OpError{Op: "dial", Net: "tcp", Err: cause} }

// Transport carries a host's messages, with the net's faults.
func (net *Net) Transport(from string) *Transport {
	return &Transport{
		net:   net,
		inner: &http.Transport{DialContext: net.Dialer(from), IdleConnTimeout: 20 * time.Second, MaxIdleConnsPerHost: 8},
	}
}

// Transport loses, doubles and delays whole messages.
type Transport struct {
	net   *Net
	inner *http.Transport
}

// CloseIdleConnections closes the connections that carry no request.
func (transport *Transport) CloseIdleConnections() { transport.inner.CloseIdleConnections() }

// RoundTrip carries a request as http.RoundTripper says, with the network's faults.
func (transport *Transport) RoundTrip(request *http.Request) (*http.Response, error) {
	network := transport.net
	network.mutex.Lock()
	faults := network.faults
	network.Messages++
	network.Bytes += int(max(request.ContentLength, 0))
	loseAsked, loseTold, twice := network.odds(faults.LoseAsked), network.odds(faults.LoseTold), network.odds(faults.Twice)
	wait := network.slow[host(request.URL.Host)]
	if faults.SlowMs > 0 {
		wait += time.Duration(network.random.IntN(faults.SlowMs*1000)) * time.Microsecond
	}
	network.mutex.Unlock()
	if wait > 0 {
		time.Sleep(wait)
	}
	if loseAsked {
		<-request.Context().Done()
		return nil, errLost
	}
	if twice && request.Body != nil {
		body, err := io.ReadAll(request.Body)
		request.Body.Close()
		if err != nil {
			return nil, err
		}
		request.Body = io.NopCloser(bytes.NewReader(body))
		network.goroutines.Start(func() { transport.again(request, body) })
	}
	response, err := transport.inner.RoundTrip(request)
	if err == nil && loseTold {
		response.Body.Close()
		<-request.Context().Done()
		return nil, errLost
	}
	return response, err
}

// again sends the same message once more, later, and drops the answer.
func (transport *Transport) again(request *http.Request, body []byte) {
	transport.net.mutex.Lock()
	wait := time.Duration(transport.net.random.IntN(400)) * time.Millisecond
	transport.net.mutex.Unlock()
	time.Sleep(wait)
	ctx, cancel := context.WithTimeout(context.Background(), time.Second)
	defer cancel()
	copied := request.Clone(ctx)
	copied.Body = io.NopCloser(bytes.NewReader(body))
	if response, err := transport.inner.RoundTrip(copied); err == nil {
		_, _ = io.Copy(io.Discard, response.Body) // nobody waits for this answer
		response.Body.Close()
	}
}

// Close ends what is left once a world ends.
func (net *Net) Close() {
	net.goroutines.Wait()
	net.mutex.Lock()
	conns := net.conns
	net.conns = nil
	net.mutex.Unlock()
	for _, conn := range conns {
		_ = conn.Close() // never fails
	}
}

// Count is how many messages went out so far, and their bytes.
func (net *Net) Count() (int, int) {
	net.mutex.Lock()
	defer net.mutex.Unlock()
	return net.Messages, net.Bytes
}
