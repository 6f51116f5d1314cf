package process

import (
	"errors"
	"math"
	"net"
	"net/http"
	"time"

	"k8s.io/klog/v2"

	"orchidjunction/concurrent"
	"orchidjunction/metrics"
	"orchidjunction/rpc"
)

// drainInterval is the time between looks for connections that a drain can end.
const drainInterval = 20 * time.Millisecond

// ListenOptions are what a listener keeps to. Counters, Memory and Budget may be nil.
type ListenOptions struct {
	Limits   ConnLimits
	Counters *metrics.Counters
	Memory   HeadMemory
	Budget   *ConnBudget
}

// Listener is one open address and what serves it.
type Listener struct {
	server  *http.Server
	open    net.Listener
	tracker *connTracker
}

// Listen opens an address; what the handler does not answer there gets a typed
// refusal, and the library answers nothing in its place.
func Listen(address string, handler http.Handler, options ListenOptions) (*Listener, error) {
	if err := rpc.CheckAddress("listen", address); err != nil {
		return nil, err
	}
	open, err := net.Listen("tcp", address)
	if err != nil {
		return nil, rpc.Errorf(rpc.BadFlag, "%s: %v", address, err)
	}
	return NewListener(open, handler, options), nil
}

// NewListener serves what an open listener accepts.
func NewListener(open net.Listener, handler http.Handler, options ListenOptions) *Listener {
	tracker := newConnTracker(options)
	server := &http.Server{
		Handler:                      checked(handler),
		DisableGeneralOptionsHandler: true,
		MaxHeaderBytes:               math.MaxInt32, // the connections keep the limit
		ErrorLog:                     klog.NewStandardLogger("INFO"),
		ConnContext:                  withConn,
		ConnState: func(conn net.Conn, state http.ConnState) {
			if client, is := conn.(*clientConn); is {
				client.stateChanged(state)
			}
		},
	}
	return &Listener{open: trackedListener{open, tracker}, tracker: tracker, server: server}
}

// trackedListener accepts connections that keep to the tracker's limits.
type trackedListener struct {
	net.Listener
	tracker *connTracker
}

// Accept waits for the next connection that there is room for.
func (listener trackedListener) Accept() (net.Conn, error) {
	for {
		accepted, err := listener.Listener.Accept()
		if err != nil {
			return nil, err
		}
		if conn := listener.tracker.open(accepted); conn != nil {
			return conn, nil
		}
	}
}

// SetLimits puts limits in force, for new connections and for open ones.
func (listener *Listener) SetLimits(limits ConnLimits) { listener.tracker.setLimits(limits) }

// Serve accepts connections until the listener is drained or closed.
func (listener *Listener) Serve(goroutines *concurrent.Group) {
	goroutines.Start(func() {
		err := listener.server.Serve(listener.open)
		if !errors.Is(err, http.ErrServerClosed) && !errors.Is(err, net.ErrClosed) {
			klog.Errorf("%s: stopped accepting connections: %v", listener.open.Addr(), err)
		}
	})
}

// Drain takes nothing new and waits for what is in flight, at most the grace. A
// connection that waits for a request is ended by its reads: what was read of a
// request before that is served.
func (listener *Listener) Drain(grace time.Duration) bool {
	until := time.Now().Add(grace)
	listener.open.Close()
	for {
		if listener.tracker.closeIdle() == 0 {
			return true
		}
		if !time.Now().Before(until) {
			listener.Close()
			return false
		}
		time.Sleep(drainInterval)
	}
}

// Close ends the listener and all its connections at once.
func (listener *Listener) Close() { _ = listener.server.Close() } // what it cannot close is closed already
