package soak

import (
	"bufio"
	"bytes"
	"crypto/sha256"
	"encoding/hex"
	"errors"
	"fmt"
	"io"
	"math/rand/v2"
	"net"
	"net/http"
	"os"
	"strconv"
	"time"
)

const (
	host = "desk.example"
	// requestDeadline is how long a client waits; the routes' timeout is the same.
	requestDeadline = 4 * time.Second
	responseSlack   = 500 * time.Millisecond
	dialTimeout     = time.Second
	thinkTime       = 30 * time.Millisecond
	maxBody         = 48 << 10
	// smallBodyShare is the fraction of bodies that fit into one packet.
	smallBodyShare = 0.7
	maxSmallBody   = 600
)

// Services and the paths of the routes to them.
const (
	deskService = "desk"
	roomService = "room"
	viewPath    = "/view/"
	postPath    = "/post/"
	movedPath   = "/moved/" // to the service that the configuration names
)

var emptyDigest = digestOf(nil)

func digestOf(body []byte) string {
	digest := sha256.Sum256(body)
	return hex.EncodeToString(digest[:])
}

// client sends one request at a time to a random proxy, on one connection until the proxy
// closes it or asks for that.
type client struct {
	number   int
	random   *rand.Rand
	proxies  []*machine
	recorder *recorder
	requests int

	conn     net.Conn
	reader   *bufio.Reader
	proxy    *machine
	connUsed bool
}

// run sends requests until done is closed.
func (client *client) run(done <-chan struct{}) {
	defer client.disconnect()
	for {
		select {
		case <-done:
			return
		case <-time.After(time.Duration(client.random.Int64N(int64(2 * thinkTime)))):
		}
		if client.conn != nil || client.connect() {
			client.sendRequest()
		}
	}
}

func (client *client) connect() bool {
	proxy := client.proxies[client.random.IntN(len(client.proxies))]
	conn, err := net.DialTimeout("tcp", proxy.clientsAddress(), dialTimeout)
	if err != nil {
		return false
	}
	client.conn, client.reader, client.proxy, client.connUsed = conn, bufio.NewReader(conn), proxy, false
	return true
}

func (client *client) disconnect() {
	if client.conn != nil {
		client.conn.Close()
		client.conn = nil
	}
}

// nextRequest returns a random request and its body.
func (client *client) nextRequest() (*exchange, []byte) {
	client.requests++
	exchange := &exchange{
		id:           fmt.Sprintf("%x-%x", client.number, client.requests),
		proxy:        client.proxy.name,
		method:       http.MethodGet,
		onReusedConn: client.connUsed,
	}
	body := []byte{}
	switch client.random.IntN(4) {
	case 0, 1:
		exchange.path, exchange.routeService = viewPath, deskService
	case 2:
		exchange.path = movedPath
	case 3:
		exchange.method, exchange.path, exchange.routeService = http.MethodPost, postPath, deskService
		body = client.randomBody()
	}
	exchange.path += strconv.Itoa(client.requests) + "?from=" + strconv.Itoa(client.number)
	exchange.bodyDigest = digestOf(body)
	return exchange, body
}

func (client *client) randomBody() []byte {
	size := client.random.IntN(maxSmallBody)
	if client.random.Float64() > smallBodyShare {
		size = client.random.IntN(maxBody)
	}
	body := make([]byte, size)
	for index := range body {
		body[index] = byte(client.random.Uint32())
	}
	return body
}

func (client *client) sendRequest() {
	exchange, body := client.nextRequest()
	request := &bytes.Buffer{}
	fmt.Fprintf(request, "%s %s HTTP/1.1\r\nHost: %s\r\n%s: %s\r\n%s: %d\r\n", exchange.method, exchange.path, host,
		headers.Attempt, exchange.id, headers.Deadline, requestDeadline.Milliseconds())
	if exchange.method == http.MethodPost {
		fmt.Fprintf(request, "Content-Length: %d\r\n", len(body))
	}
	request.WriteString("\r\n")
	request.Write(body)
	exchange.sentAt = time.Now()
	client.recorder.addExchange(exchange)
	client.connUsed = true
	reusable := client.roundTrip(exchange, request.Bytes())
	exchange.endedAt = time.Now()
	if !reusable {
		client.disconnect()
	}
}

// roundTrip sends a request, reads its response and reports whether the connection is reusable.
func (client *client) roundTrip(exchange *exchange, request []byte) bool {
	if err := client.conn.SetDeadline(exchange.sentAt.Add(requestDeadline + responseSlack)); err != nil {
		return false
	}
	if _, err := client.conn.Write(request); err != nil {
		return false
	}
	response, err := http.ReadResponse(client.reader, &http.Request{Method: exchange.method})
	if err != nil {
		exchange.timedOut = errors.Is(err, os.ErrDeadlineExceeded)
		return false
	}
	defer response.Body.Close()
	body, err := io.ReadAll(response.Body)
	if err != nil {
		exchange.timedOut = errors.Is(err, os.ErrDeadlineExceeded)
		return false
	}
	exchange.status, exchange.seal, exchange.responseBody = response.StatusCode, response.Header.Get(headers.Seal), string(body)
	return !response.Close
}
