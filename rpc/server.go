// Package rpc implements calls between the system's own processes: a Client and a Server over
// HTTP (package connect), a Codec, and an Error whose Code is preserved across processes. The
// messages are defined in package message.
package rpc

import (
	"context"
	"net/http"
	"strings"

	"connectrpc.com/connect"

	"orchidjunction/metrics"
)

// Server is an http.Handler for the methods registered by Handle. It counts failed calls in
// wire_unknown_message, wire_bad_message and wire_handler_panic.
type Server struct {
	mux      *http.ServeMux
	counters *metrics.Counters
	paths    map[string]bool
	limits   map[string]*callLimit // by path
}

// NewServer returns a server without methods.
func NewServer(counters *metrics.Counters) *Server {
	return &Server{mux: http.NewServeMux(), counters: counters, paths: map[string]bool{}, limits: map[string]*callLimit{}}
}

// ServeHTTP handles a call. It responds with 404 to an unknown method and with 415 to another
// content type than application/msgpack.
func (server *Server) ServeHTTP(writer http.ResponseWriter, request *http.Request) {
	if !server.paths[request.URL.Path] {
		server.counters.Add("wire_unknown_message", 1)
		http.Error(writer, string(UnknownMessage), http.StatusNotFound)
		return
	}
	if !strings.HasPrefix(request.Header.Get("Content-Type"), "application/msgpack") {
		server.counters.Add("wire_bad_message", 1)
		http.Error(writer, string(BadMessage), http.StatusUnsupportedMediaType)
		return
	}
	request.Body = http.MaxBytesReader(writer, request.Body, maxMessageBytes+1)
	writer.Header()["Date"] = nil // omitted to save traffic; no client reads it
	if limit := server.limits[request.URL.Path]; limit != nil {
		if !limit.acquire(request) {
			return
		}
		defer limit.release()
	}
	server.mux.ServeHTTP(writer, request)
}

// Handle registers the handler of a method. It must be called before the server starts serving.
func Handle[Request, Response any](
	server *Server,
	method Method[Request, Response],
	handle func(context.Context, *Request) (*Response, error),
) {
	path := method.path()
	server.paths[path] = true
	handler := connect.NewUnaryHandler(path,
		func(ctx context.Context, request *connect.Request[Request]) (*connect.Response[Response], error) {
			response, err := handle(ctx, request.Msg)
			if err != nil {
				return nil, AsError(err).toConnect()
			}
			return connect.NewResponse(response), nil
		},
		connect.WithCodec(countingCodec{counters: server.counters}),
		connect.WithReadMaxBytes(maxMessageBytes),
		connect.WithCompression(compressionName, newDecompressor, newCompressor),
		connect.WithCompressMinBytes(minCompressedBytes),
		connect.WithRecover(server.convertPanic))
	server.mux.Handle(path, handler)
}

// convertPanic converts a handler's panic to an error for the caller.
func (server *Server) convertPanic(_ context.Context, _ connect.Spec, _ http.Header, value any) error {
	server.counters.Add("wire_handler_panic", 1)
	return AsError(Errorf(BadMessage, "handler panicked: %v", value)).toConnect()
}

// countingCodec counts messages that cannot be decoded.
type countingCodec struct {
	Codec
	counters *metrics.Counters
}

func (codec countingCodec) Unmarshal(body []byte, message any) error {
	err := codec.Codec.Unmarshal(body, message)
	if err != nil {
		codec.counters.Add("wire_bad_message", 1)
	}
	return err
}
