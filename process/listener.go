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

// drainInterval is the time between checks for idle connections during a drain.
const drainInterval = 20 * time.Millisecond

// ListenOptions configures a listener. Counters, Memory and Budget may be nil.
type ListenOptions struct {
	Limits   ConnLimits
	Counters *metrics.Counters
	Memory   HeadMemory
	Budget   *ConnBudget
}

// Listener is an HTTP server on one address.
type Listener struct {
	server   *http.Server
	listener net.Listener
	tracker  *connTracker
}

// Listen opens an address. Malformed requests get a JSON error; all others, also OPTIONS *, go
// to the handler.
func Listen(address string, handler http.Handler, options ListenOptions) (*Listener, error) {
	if err := rpc.CheckAddress("listen", address); err != nil {
		return nil, err
	}
	netListener, err := net.Listen("tcp", address)
	if err != nil {
		return nil, rpc.Errorf(rpc.BadFlag, "%s: %v", address, err)
	}
	return NewListener(netListener, handler, options), nil
}

// NewListener returns a Listener on an open net.Listener.
func NewListener(netListener net.Listener, handler http.Handler, options ListenOptions) *Listener {
	tracker := newConnTracker(options)
	server := &http.Server{
		Handler:                      checkRequest(handler),
		DisableGeneralOptionsHandler: true,
		MaxHeaderBytes:               math.MaxInt32, // enforced by clientConn
		ErrorLog:                     klog.NewStandardLogger("INFO"),
		ConnContext:                  withConn,
		ConnState: func(conn net.Conn, state http.ConnState) {
			if client, ok := conn.(*clientConn); ok {
				client.stateChanged(state)
			}
		},
	}
	return &Listener{listener: trackedListener{netListener, tracker}, tracker: tracker, server: server}
}

// trackedListener wraps accepted connections so that the tracker's limits apply.
type trackedListener struct {
	net.Listener
	tracker *connTracker
}

// Accept returns the next connection within the budget.
func (listener trackedListener) Accept() (net.Conn, error) {
	for {
		accepted, err := listener.Listener.Accept()
		if err != nil {
			return nil, err
		}
		if conn := listener.tracker.add(accepted); conn != nil {
			return conn, nil
		}
	}
}

// SetLimits changes the limits of new and open connections.
func (listener *Listener) SetLimits(limits ConnLimits) { listener.tracker.setLimits(limits) }

// Serve accepts connections until the listener is drained or closed.
func (listener *Listener) Serve(goroutines *concurrent.Group) {
	goroutines.Start(func() {
		err := listener.server.Serve(listener.listener)
		if !errors.Is(err, http.ErrServerClosed) && !errors.Is(err, net.ErrClosed) {
			klog.Errorf("%s: stopped accepting connections: %v", listener.listener.Addr(), err)
		}
	})
}

// Drain stops accepting connections and waits up to grace for requests in flight. It reports
// whether all finished. Idle connections are closed by a read deadline, so that a request that
// was already read is still served.
func (listener *Listener) Drain(grace time.Duration) bool {
	until := time.Now().Add(grace)
	listener.listener.Close()
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

// Close closes the listener and all its connections immediately.
func (listener *Listener) Close() { _ = listener.server.Close() } // fails only for what is already closed
