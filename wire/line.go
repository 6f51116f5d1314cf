package wire

import (
	"context"
	"net/http"
	"sync"
	"time"

	"connectrpc.com/connect"
)

// Client calls other processes by address.
type Client struct {
	httpClient *http.Client
	mutex      sync.Mutex
	clients    map[string]any
}

// NewClient makes a line over a transport.
func NewClient(transport http.RoundTripper) *Client {
	return &Client{httpClient: &http.Client{Transport: transport}, clients: map[string]any{}}
}

// Transport is what the line goes over.
func (line *Client) Transport() http.RoundTripper { return line.httpClient.Transport }

// Close closes idle connections; calls under way go on.
func (line *Client) Close() { line.httpClient.CloseIdleConnections() }

// Call sends one message and waits for its answer at most the limit.
func Call[Asked, Told any](line *Client, address, name string, limit time.Duration, asked *Asked) (*Told, error) {
	return CallContext[Asked, Told](context.Background(), line, address, name, limit, asked)
}

// CallContext is an Ask that ends with its context, too.
func CallContext[Asked, Told any](within context.Context, line *Client, address, name string, limit time.Duration, asked *Asked) (*Told, error) {
	if address == "" {
		return nil, Errorf(Unreachable, "no address for %s", name)
	}
	url := "http://" + address + "/oj/" + name
	line.mutex.Lock()
	client, found := line.clients[url].(*connect.Client[Asked, Told])
	if !found {
		client = connect.NewClient[Asked, Told](line.httpClient, url, connect.WithCodec(Codec{}), connect.WithAcceptCompression("gzip", nil, nil), connect.WithReadMaxBytes(maxMessageBytes))
		line.clients[url] = client
	}
	line.mutex.Unlock()
	ctx, cancel := context.WithTimeout(within, limit)
	defer cancel()
	response, err := client.CallUnary(ctx, connect.NewRequest(asked))
	if err != nil {
		return nil, fromConnect(err)
	}
	return response.Msg, nil
}
