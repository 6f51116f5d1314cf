package process

import (
	"bufio"
	"io"
	"net"
	"net/http"
	"sync"
	"testing"
	"time"

	"orchidjunction/concurrent"
)

// heldReadListener accepts connections whose second read returns only after held is done.
type heldReadListener struct {
	net.Listener
	held *sync.WaitGroup
	read *sync.WaitGroup
}

func (listener heldReadListener) Accept() (net.Conn, error) {
	conn, err := listener.Listener.Accept()
	if err != nil {
		return nil, err
	}
	return &heldReadConn{Conn: conn, held: listener.held, read: listener.read}, nil
}

type heldReadConn struct {
	net.Conn
	held  *sync.WaitGroup
	read  *sync.WaitGroup
	mutex sync.Mutex
	reads int
}

func (conn *heldReadConn) Read(body []byte) (int, error) {
	count, err := conn.Conn.Read(body)
	if count > 1 {
		conn.mutex.Lock()
		conn.reads++
		second := conn.reads == 2
		conn.mutex.Unlock()
		if second {
			conn.read.Done()
			conn.held.Wait()
		}
	}
	return count, err
}

// A drain must serve a request that the process has read, even before the server has seen it.
// It must close idle connections immediately and accept no new ones.
func TestDrainServesRequestsAlreadyRead(test *testing.T) {
	netListener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		test.Fatal(err)
	}
	held, read := &sync.WaitGroup{}, &sync.WaitGroup{}
	held.Add(1)
	read.Add(1)
	handler := http.HandlerFunc(func(writer http.ResponseWriter, _ *http.Request) { writer.Write([]byte("served")) })
	listener := NewListener(heldReadListener{netListener, held, read}, handler, ListenOptions{})
	goroutines := concurrent.NewGroup()
	listener.Serve(goroutines)
	ask := func(conn net.Conn) { send(test, conn, "GET / HTTP/1.1\r\nHost: a\r\n\r\n") }
	answer := func(reader *bufio.Reader) string {
		response, err := http.ReadResponse(reader, nil)
		if err != nil {
			return err.Error()
		}
		body, _ := io.ReadAll(response.Body)
		return string(body)
	}
	dial := func() (net.Conn, *bufio.Reader) {
		conn, err := net.Dial("tcp", netListener.Addr().String())
		if err != nil {
			test.Fatal(err)
		}
		ask(conn)
		reader := bufio.NewReader(conn)
		if got := answer(reader); got != "served" {
			test.Fatalf("first response: %s", got)
		}
		return conn, reader
	}
	_, idle := dial()
	busy, reader := dial()
	ask(busy)
	read.Wait()
	drained := make([]bool, 1)
	ended := &sync.WaitGroup{}
	ended.Add(1)
	goroutines.Start(func() {
		defer ended.Done()
		drained[0] = listener.Drain(10 * time.Second)
	})
	if _, err := idle.ReadByte(); err == nil {
		test.Error("idle connection received data")
	}
	held.Done()
	if got := answer(reader); got != "served" {
		test.Errorf("request already read: got %s, want it served", got)
	}
	ended.Wait()
	if !drained[0] {
		test.Error("Drain returned false")
	}
	if conn, err := net.Dial("tcp", netListener.Addr().String()); err == nil {
		conn.Close()
		test.Error("connection accepted after the drain began")
	}
}
