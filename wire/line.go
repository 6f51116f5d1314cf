package wire

import (
	"context"
	"net/http"
	"sync"
	"time"

	"connectrpc.com/connect"
)

// Line calls other processes by address.
type Line struct {
	client *http.Client
	mutex  sync.Mutex
	made   map[string]any
}

// NewLine makes a line over a transport.
func NewLine(transport http.RoundTripper) *Line {
	return &Line{client: &http.Client{Transport: transport}, made: map[string]any{}}
}

// Transport is what the line goes over.
func (line *Line) Transport() http.RoundTripper { return line.client.Transport }

// Close closes idle connections; calls under way go on.
func (line *Line) Close() { line.client.CloseIdleConnections() }

// Ask sends one message and waits for its answer at most the limit.
func Ask[Asked, Told any](line *Line, address, name string, limit time.Duration, asked *Asked) (*Told, error) {
	return AskIn[Asked, Told](context.Background(), line, address, name, limit, asked)
}

// AskIn is an Ask that ends with its context, too.
func AskIn[Asked, Told any](within context.Context, line *Line, address, name string, limit time.Duration, asked *Asked) (*Told, error) {
	if address == "" {
		return nil, New(Unreachable, "no address for %s", name)
	}
	url := "http://" + address + "/oj/" + name
	line.mutex.Lock()
	client, found := line.made[url].(*connect.Client[Asked, Told])
	if !found {
		client = connect.NewClient[Asked, Told](line.client, url, connect.WithCodec(Codec{}), connect.WithAcceptCompression("gzip", nil, nil), connect.WithReadMaxBytes(messageLimit))
		line.made[url] = client
	}
	line.mutex.Unlock()
	ctx, cancel := context.WithTimeout(within, limit)
	defer cancel()
	response, fault := client.CallUnary(ctx, connect.NewRequest(asked))
	if fault != nil {
		return nil, fromConnect(fault)
	}
	return response.Msg, nil
}
