package rpc

import (
	"context"
	"net/http"
	"sync"
	"time"

	"connectrpc.com/connect"
)

// userAgent is what a call says of its sender's program.
const userAgent = "oj"

// Client calls other processes by their addresses. It is safe for concurrent use.
type Client struct {
	httpClient *http.Client
	mutex      sync.Mutex
	clients    map[string]any
}

// NewClient returns a client that sends over transport.
func NewClient(transport http.RoundTripper) *Client {
	return &Client{httpClient: &http.Client{Transport: transport}, clients: map[string]any{}}
}

// Transport returns what the client sends over.
func (client *Client) Transport() http.RoundTripper { return client.httpClient.Transport }

// Close closes idle connections; calls under way continue.
func (client *Client) Close() { client.httpClient.CloseIdleConnections() }

// Call sends a request to an address (IP:port) and waits for the response, at most as
// long as timeout.
func Call[Request, Response any](
	client *Client,
	address string,
	method Method[Request, Response],
	timeout time.Duration,
	request *Request,
) (*Response, error) {
	return CallContext(context.Background(), client, address, method, timeout, request)
}

// CallContext is a Call that also ends when ctx does. All errors it returns are of
// type *Error: ConnectFailed if the message was certainly not sent, UnknownMessage if the
// other process does not know the method, Unreachable if no response came, else what the
// other process answered.
func CallContext[Request, Response any](
	ctx context.Context,
	client *Client,
	address string,
	method Method[Request, Response],
	timeout time.Duration,
	request *Request,
) (*Response, error) {
	if address == "" {
		return nil, Errorf(Unreachable, "no address for %s", method)
	}
	ctx, cancel := context.WithTimeout(ctx, timeout)
	defer cancel()
	caller := connectClient[Request, Response](client, "http://"+address+method.path())
	response, err := caller.CallUnary(ctx, connect.NewRequest(request))
	if err != nil {
		return nil, fromConnect(err)
	}
	return response.Msg, nil
}

// connectClient returns the client's connect.Client for a URL.
func connectClient[Request, Response any](client *Client, url string) *connect.Client[Request, Response] {
	client.mutex.Lock()
	defer client.mutex.Unlock()
	cached, isCached := client.clients[url].(*connect.Client[Request, Response])
	if isCached {
		return cached
	}
	created := connect.NewClient[Request, Response](client.httpClient, url,
		connect.WithCodec(Codec{}),
		connect.WithAcceptCompression(compressionName, newDecompressor, newCompressor),
		connect.WithInterceptors(connect.UnaryInterceptorFunc(withShortUserAgent)),
		connect.WithReadMaxBytes(maxMessageBytes))
	client.clients[url] = created
	return created
}

// withShortUserAgent replaces the long name that package connect gives itself: calls are
// many, and their headers cross regions.
func withShortUserAgent(next connect.UnaryFunc) connect.UnaryFunc {
	return func(ctx context.Context, request connect.AnyRequest) (connect.AnyResponse, error) {
		request.Header().Set("User-Agent", userAgent)
		return next(ctx, request)
	}
}
