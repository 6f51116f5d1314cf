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
	// requestDeadline is how long a client waits; the routes allow as much.
	requestDeadline = 4 * time.Second
	answerSlack     = 500 * time.Millisecond
	dialTimeout     = time.Second
	thinkTime       = 30 * time.Millisecond
	maxBody         = 48 << 10
	// smallBodies is the share of bodies that fit one packet.
	smallBodies = 0.7
	smallBody   = 600
)

// Services and the routes to them.
const (
	deskService = "desk"
	roomService = "room"
	viewPath    = "/view/"
	postPath    = "/post/"
	movedPath   = "/moved/" // to either service, as the configuration says
)

// emptyDigest is the digest of a body without bytes.
var emptyDigest = digestOf(nil)

func digestOf(body []byte) string {
	digest := sha256.Sum256(body)
	return hex.EncodeToString(digest[:])
}

// client sends one request after the other on a connection to a random proxy. It uses the
// connection until the proxy closes it or asks it to.
type client struct {
	number  int
	random  *rand.Rand
	proxies []*machine
	log     *evidence
	count   int

	conn   net.Conn
	reader *bufio.Reader
	proxy  *machine
	used   bool
}

// run sends requests until done is closed.
func (client *client) run(done <-chan struct{}) {
	defer client.hangUp()
	for {
		select {
		case <-done:
			return
		case <-time.After(time.Duration(client.random.Int64N(int64(2 * thinkTime)))):
		}
		if client.conn != nil || client.connect() {
			client.request()
		}
	}
}

func (client *client) connect() bool {
	proxy := client.proxies[client.random.IntN(len(client.proxies))]
	conn, err := net.DialTimeout("tcp", proxy.clientsAddress(), dialTimeout)
	if err != nil {
		return false
	}
	client.conn, client.reader, client.proxy, client.used = conn, bufio.NewReader(conn), proxy, false
	return true
}

func (client *client) hangUp() {
	if client.conn != nil {
		client.conn.Close()
		client.conn = nil
	}
}

// next draws the next request and its body.
func (client *client) next() (*exchange, []byte) {
	client.count++
	exchange := &exchange{
		id:     fmt.Sprintf("%x-%x", client.number, client.count),
		proxy:  client.proxy.name,
		method: http.MethodGet,
		reused: client.used,
	}
	body := []byte{}
	switch client.random.IntN(4) {
	case 0, 1:
		exchange.path, exchange.service = viewPath, deskService
	case 2:
		exchange.path = movedPath
	case 3:
		exchange.method, exchange.path, exchange.service = http.MethodPost, postPath, deskService
		body = client.body()
	}
	exchange.path += strconv.Itoa(client.count) + "?from=" + strconv.Itoa(client.number)
	exchange.body = digestOf(body)
	return exchange, body
}

func (client *client) body() []byte {
	size := client.random.IntN(smallBody)
	if client.random.Float64() > smallBodies {
		size = client.random.IntN(maxBody)
	}
	body := make([]byte, size)
	for index := range body {
		body[index] = byte(client.random.Uint32())
	}
	return body
}

// request sends one request and records its answer.
func (client *client) request() {
	exchange, body := client.next()
	text := &bytes.Buffer{}
	fmt.Fprintf(text, "%s %s HTTP/1.1\r\nHost: %s\r\n%s: %s\r\n%s: %d\r\n", exchange.method, exchange.path, host,
		headers.Attempt, exchange.id, headers.Deadline, requestDeadline.Milliseconds())
	if exchange.method == http.MethodPost {
		fmt.Fprintf(text, "Content-Length: %d\r\n", len(body))
	}
	text.WriteString("\r\n")
	text.Write(body)
	exchange.sentAt = time.Now()
	client.log.sent(exchange)
	client.used = true
	keep := client.exchange(exchange, text.Bytes())
	exchange.endedAt = time.Now()
	if !keep {
		client.hangUp()
	}
}

// exchange sends a request and reads its answer; it returns whether the connection may be
// used again.
func (client *client) exchange(exchange *exchange, text []byte) bool {
	if err := client.conn.SetDeadline(exchange.sentAt.Add(requestDeadline + answerSlack)); err != nil {
		return false
	}
	if _, err := client.conn.Write(text); err != nil {
		return false
	}
	response, err := http.ReadResponse(client.reader, &http.Request{Method: exchange.method})
	if err != nil {
		exchange.timedOut = errors.Is(err, os.ErrDeadlineExceeded)
		return false
	}
	defer response.Body.Close()
	answer, err := io.ReadAll(response.Body)
	if err != nil {
		exchange.timedOut = errors.Is(err, os.ErrDeadlineExceeded)
		return false
	}
	exchange.status, exchange.seal, exchange.answer = response.StatusCode, response.Header.Get(headers.Seal), string(answer)
	return !response.Close
}
