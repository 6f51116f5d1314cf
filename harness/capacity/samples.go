// Package capacity measures what each role costs as a deployment grows. A Sweep varies
// one size over Points; Measure runs real cores in processes of their own (RunCore)
// and many simulated daemons, which carry no requests, in shared ones (RunSimulatedDaemons), and
// reads what each process used through a Tap. PlayStates measures the state alone.
// WritePage fits lines to the results and writes the tables of docs/measure.
package capacity

import (
	"context"
	"encoding/json"
	"maps"
	"net"
	"net/http"
	"os"
	"strconv"
	"strings"
	"sync"
	"sync/atomic"
	"syscall"
	"time"

	"orchidjunction/concurrent"
	"orchidjunction/process"
	"orchidjunction/rpc"
)

// ByteCounter counts the bytes and messages that pass one process's listeners and
// connections. Headers of HTTP are in the bytes, those of TCP are not.
type ByteCounter struct {
	in, out  atomic.Uint64
	mutex    sync.Mutex
	messages map[string]uint64
}

func newByteCounter() *ByteCounter { return &ByteCounter{messages: map[string]uint64{}} }

func (tap *ByteCounter) message(path string) {
	tap.mutex.Lock()
	tap.messages[strings.TrimPrefix(path, "/oj/")]++
	tap.mutex.Unlock()
}

func (tap *ByteCounter) counted() map[string]uint64 {
	tap.mutex.Lock()
	defer tap.mutex.Unlock()
	all := make(map[string]uint64, len(tap.messages))
	maps.Copy(all, tap.messages)
	return all
}

type tappedConn struct {
	net.Conn
	tap *ByteCounter
}

func (conn tappedConn) Read(body []byte) (int, error) {
	count, err := conn.Conn.Read(body)
	conn.tap.in.Add(uint64(count))
	return count, err
}

func (conn tappedConn) Write(body []byte) (int, error) {
	count, err := conn.Conn.Write(body)
	conn.tap.out.Add(uint64(count))
	return count, err
}

type tappedListener struct {
	net.Listener
	tap *ByteCounter
}

func (listener tappedListener) Accept() (net.Conn, error) {
	conn, err := listener.Listener.Accept()
	if err != nil {
		return nil, err
	}
	return tappedConn{conn, listener.tap}, nil
}

// tappedTransport is a far transport whose calls are counted.
type tappedTransport struct {
	*http.Transport
	tap *ByteCounter
}

func (transport tappedTransport) RoundTrip(request *http.Request) (*http.Response, error) {
	transport.tap.message(request.URL.Path)
	return transport.Transport.RoundTrip(request)
}

func (tap *ByteCounter) transport() tappedTransport {
	transport := process.WANTransport(userTimeout)
	dial := transport.DialContext
	transport.DialContext = func(ctx context.Context, network, address string) (net.Conn, error) {
		conn, err := dial(ctx, network, address)
		if err != nil {
			return nil, err
		}
		return tappedConn{conn, tap}, nil
	}
	return tappedTransport{transport, tap}
}

// serve opens an address whose messages and bytes are counted.
func (tap *ByteCounter) serve(address string, handler http.Handler, goroutines *concurrent.Group) error {
	open, err := net.Listen("tcp", address)
	if err != nil {
		return rpc.Errorf(rpc.BadFlag, "%s: %v", address, err)
	}
	server := &http.Server{Handler: http.HandlerFunc(func(writer http.ResponseWriter, request *http.Request) {
		tap.message(request.URL.Path)
		handler.ServeHTTP(writer, request)
	}), IdleTimeout: time.Minute}
	goroutines.Start(func() { _ = server.Serve(tappedListener{open, tap}) }) // ends by Close
	goroutines.OnStop(func() { _ = server.Close() })
	return nil
}

// Reading is what one process has used and passed on since its start. Times are
// microseconds.
type Reading struct {
	AtUs        int64
	ProcessorUs int64
	ResidentKB  int64
	Descriptors int
	BytesIn     uint64
	BytesOut    uint64
	Messages    map[string]uint64
	Leads       bool
	Routing     uint64
	Members     int
	Backends    int
	Ready       int
	Counts      map[string]uint64
}

func (tap *ByteCounter) read() Reading {
	usage := syscall.Rusage{}
	_ = syscall.Getrusage(syscall.RUSAGE_SELF, &usage) // fails for wrong arguments only
	reading := Reading{
		AtUs: time.Now().UnixMicro(), ProcessorUs: usage.Utime.Nano()/1000 + usage.Stime.Nano()/1000,
		BytesIn: tap.in.Load(), BytesOut: tap.out.Load(), Messages: tap.counted(),
	}
	if entries, err := os.ReadDir("/proc/self/fd"); err == nil {
		reading.Descriptors = len(entries)
	}
	reading.ResidentKB = residentKB()
	return reading
}

func residentKB() int64 {
	body, _ := os.ReadFile("/proc/self/status")
	for line := range strings.SplitSeq(string(body), "\n") {
		if rest, found := strings.CutPrefix(line, "VmRSS:"); found {
			kilobytes, _ := strconv.ParseInt(strings.Fields(rest)[0], 10, 64)
			return kilobytes
		}
	}
	return 0
}

func writeJSON(writer http.ResponseWriter, value any) {
	writer.Header().Set("Content-Type", "application/json")
	_ = json.NewEncoder(writer).Encode(value) // the client is gone
}

func getJSON(address, path string, value any) error {
	client := &http.Client{Timeout: 20 * time.Second}
	defer client.CloseIdleConnections()
	response, err := client.Get("http://" + address + path)
	if err != nil {
		return rpc.Errorf(rpc.Unreachable, "%s%s: %v", address, path, err)
	}
	defer response.Body.Close()
	if err := json.NewDecoder(response.Body).Decode(value); err != nil {
		return rpc.Errorf(rpc.BadMessage, "%s%s: %v", address, path, err)
	}
	return nil
}
