package wire

import (
	"context"
	"net/http"
	"strings"

	"orchidjunction/run"

	"connectrpc.com/connect"
)

// Server takes messages from other processes and counts what it refuses.
type Server struct {
	mux    *http.ServeMux
	counts *run.Counts
	paths  map[string]bool
}

// NewServer makes a door that takes nothing until messages are registered by Take.
func NewServer(counts *run.Counts) *Server {
	return &Server{mux: http.NewServeMux(), counts: counts, paths: map[string]bool{}}
}

// ServeHTTP refuses unknown messages and content types, and hands on the others.
func (door *Server) ServeHTTP(writer http.ResponseWriter, request *http.Request) {
	if !door.paths[request.URL.Path] {
		door.counts.Add("wire_unknown_message", 1)
		http.Error(writer, string(UnknownMessage), http.StatusNotFound)
		return
	}
	if !strings.HasPrefix(request.Header.Get("Content-Type"), "application/msgpack") {
		door.counts.Add("wire_bad_message", 1)
		http.Error(writer, string(BadMessage), http.StatusUnsupportedMediaType)
		return
	}
	request.Body = http.MaxBytesReader(writer, request.Body, maxMessageBytes+1)
	door.mux.ServeHTTP(writer, request)
}

// Handle registers what answers one message.
func Handle[Asked, Told any](door *Server, name string, answer func(context.Context, *Asked) (*Told, error)) {
	path := "/oj/" + name
	door.paths[path] = true
	handler := connect.NewUnaryHandler(path,
		func(ctx context.Context, request *connect.Request[Asked]) (*connect.Response[Told], error) {
			told, err := answer(ctx, request.Msg)
			if err != nil {
				return nil, AsError(err).toConnect()
			}
			return connect.NewResponse(told), nil
		},
		connect.WithCodec(countingCodec{counts: door.counts}),
		connect.WithReadMaxBytes(maxMessageBytes),
		connect.WithCompression("gzip", nil, nil),
		connect.WithRecover(func(_ context.Context, _ connect.Spec, _ http.Header, cause any) error {
			door.counts.Add("wire_handler_panic", 1)
			return AsError(Errorf(BadMessage, "handler: %v", cause)).toConnect()
		}))
	door.mux.Handle(path, handler)
}

type countingCodec struct {
	Codec
	counts *run.Counts
}

func (codec countingCodec) Unmarshal(body []byte, message any) error {
	err := codec.Codec.Unmarshal(body, message)
	if err != nil {
		codec.counts.Add("wire_bad_message", 1)
	}
	return err
}
