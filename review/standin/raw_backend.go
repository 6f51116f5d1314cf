package main

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"net/http"
	"sync"
	"time"
)

// rawBackend is the stand-in of a backend that serves a request by hand on its connection, so that
// it can answer before it has read a body, or read one slowly. Between two requests it keeps the
// connection.
type rawBackend struct {
	serve func(exchange *rawExchange)

	mutex     sync.Mutex
	exchanges map[string]*rawExchange // by attempt id
}

// smallWindow is how many bytes a rawBackend's connection holds that it has not read: the pages'
// links have small windows.
const smallWindow = 64 << 10

// rawExchange is one request at a rawBackend.
type rawExchange struct {
	id      string
	size    int64 // of the body, as the head declares it
	backend *backend
	conn    net.Conn
	reader  *bufio.Reader

	mutex sync.Mutex
	read  int64 // bytes of the body that have come
	err   error // what ended the reading early
	done  bool
}

// newRawBackend returns an entry of the platform's list whose address a rawBackend serves.
func newRawBackend(id, zone string, serve func(exchange *rawExchange)) (*backend, *rawBackend, error) {
	listener, err := net.Listen("tcp", "127.0.3.1:0")
	if err != nil {
		return nil, nil, err
	}
	listed := &backend{ID: id, Service: "desk", Address: listener.Addr().String(), Zone: zone, Capacity: capacity}
	raw := &rawBackend{serve: serve, exchanges: map[string]*rawExchange{}}
	go func() {
		for {
			conn, err := listener.Accept()
			if err != nil {
				return
			}
			if own, able := conn.(*net.TCPConn); able {
				_ = own.SetReadBuffer(smallWindow) // with the kernel's own the cases take longer bodies
			}
			go raw.serveConn(listed, conn)
		}
	}()
	return listed, raw, nil
}

// serveConn serves one request after the other, until one is not read to its end.
func (raw *rawBackend) serveConn(listed *backend, conn net.Conn) {
	defer func() { _ = conn.Close() }()
	reader := bufio.NewReader(conn)
	for {
		request, err := http.ReadRequest(reader)
		if err != nil {
			return
		}
		exchange := &rawExchange{
			id:      request.Header.Get(headers.Attempt),
			size:    max(request.ContentLength, 0),
			backend: listed,
			conn:    conn,
			reader:  reader,
		}
		raw.mutex.Lock()
		raw.exchanges[exchange.id] = exchange
		raw.mutex.Unlock()
		raw.serve(exchange)
		exchange.mutex.Lock()
		exchange.done = true
		failed := exchange.err != nil
		exchange.mutex.Unlock()
		if failed {
			return
		}
	}
}

// exchange returns the request of an attempt id, nil if none came.
func (raw *rawBackend) exchange(id string) *rawExchange {
	raw.mutex.Lock()
	defer raw.mutex.Unlock()
	return raw.exchanges[id]
}

// readBody reads so many bytes of the body, or what is left of it.
func (exchange *rawExchange) readBody(most int64) {
	exchange.mutex.Lock()
	left := min(most, exchange.size-exchange.read)
	exchange.mutex.Unlock()
	part := make([]byte, 64<<10)
	for left > 0 {
		count, err := io.ReadFull(exchange.reader, part[:min(left, int64(len(part)))])
		exchange.mutex.Lock()
		exchange.read += int64(count)
		exchange.err = err
		exchange.mutex.Unlock()
		if err != nil {
			return
		}
		left -= int64(count)
	}
}

// answer sends a success with the seal; the body tells how much of the request's body has come.
func (exchange *rawExchange) answer() error {
	body := fmt.Sprintf("%d bytes so far\n", exchange.bytes())
	_, err := fmt.Fprintf(exchange.conn, "HTTP/1.1 200 OK\r\n%s: %s\r\n%s: seal-%s\r\nContent-Length: %d\r\n\r\n%s",
		headers.Attempt, exchange.id, headers.Seal, exchange.backend.ID, len(body), body)
	return err
}

func (exchange *rawExchange) bytes() int64 {
	exchange.mutex.Lock()
	defer exchange.mutex.Unlock()
	return exchange.read
}

// await waits until the backend is done with the request, at most as long as timeout, and returns
// how much of the body came and what ended the reading.
func (exchange *rawExchange) await(timeout time.Duration) (int64, error) {
	for until := time.Now().Add(timeout); time.Now().Before(until); time.Sleep(10 * time.Millisecond) {
		exchange.mutex.Lock()
		done := exchange.done
		exchange.mutex.Unlock()
		if done {
			break
		}
	}
	exchange.mutex.Lock()
	defer exchange.mutex.Unlock()
	return exchange.read, exchange.err
}
