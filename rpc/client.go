package rpc

import (
	"context"
	"net/http"
	"sync"
	"time"

	"connectrpc.com/connect"
)

// userAgent is the User-Agent header of calls.
const userAgent = "oj"

// Client calls the methods of other processes. It is safe for concurrent use.
type Client struct {
	httpClient *http.Client
	mutex      sync.Mutex
	clients    map[string]any
}

// NewClient returns a client that uses transport.
func NewClient(transport http.RoundTripper) *Client {
	return &Client{httpClient: &http.Client{Transport: transport}, clients: map[string]any{}}
}

// Transport returns the client's transport.
func (client *Client) Transport() http.RoundTripper { return client.httpClient.Transport }

// Close closes idle connections. Calls in flight continue.
func (client *Client) Close() { client.httpClient.CloseIdleConnections() }

// Call sends a request to an address (IP:port) and waits up to timeout for the response.
func Call[Request, Response any](
	client *Client,
	address string,
	method Method[Request, Response],
	timeout time.Duration,
	request *Request,
) (*Response, error) {
	return CallContext(context.Background(), client, address, method, timeout, request)
}

// CallContext is like Call but also ends when ctx does. All returned errors are of type *Error:
// ConnectFailed if the request was certainly not sent, UnknownMessage if the server does not know
// the method, Unreachable if there was no response, or else the server's error.
func CallContext[Request, Response any](
	ctx context.Context,
	client *Client,
	address string,
	method Method[Request, Response],
	timeout time.Duration,
	request *Request,
) (*Response, error) {
	if address == "" {
		return nil, Errorf(Unreachable, "no address to call method %s", method)
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

// connectClient returns the cached connect.Client for a URL, creating it at first use.
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

// withShortUserAgent replaces the long User-Agent of package connect to save traffic: calls are
// frequent and cross regions.
func withShortUserAgent(next connect.UnaryFunc) connect.UnaryFunc {
	return func(ctx context.Context, request connect.AnyRequest) (connect.AnyResponse, error) {
		request.Header().Set("User-Agent", userAgent)
		return next(ctx, request)
	}
}
