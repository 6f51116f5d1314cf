package wire

import (
	"context"
	"net/http"
	"strings"

	"orchidjunction/run"

	"connectrpc.com/connect"
)

// Door takes messages from other processes and counts what it refuses.
type Door struct {
	mux    *http.ServeMux
	counts *run.Counts
	known  map[string]bool
}

// NewDoor makes a door that takes nothing until messages are registered by Take.
func NewDoor(counts *run.Counts) *Door {
	return &Door{mux: http.NewServeMux(), counts: counts, known: map[string]bool{}}
}

// ServeHTTP refuses unknown messages and content types, and hands on the others.
func (door *Door) ServeHTTP(writer http.ResponseWriter, request *http.Request) {
	if !door.known[request.URL.Path] {
		door.counts.Add("wire_unknown_message", 1)
		http.Error(writer, string(UnknownMessage), http.StatusNotFound)
		return
	}
	if !strings.HasPrefix(request.Header.Get("Content-Type"), "application/msgpack") {
		door.counts.Add("wire_bad_message", 1)
		http.Error(writer, string(BadMessage), http.StatusUnsupportedMediaType)
		return
	}
	request.Body = http.MaxBytesReader(writer, request.Body, messageLimit+1)
	door.mux.ServeHTTP(writer, request)
}

// Take registers what answers one message.
func Take[Asked, Told any](door *Door, name string, answer func(context.Context, *Asked) (*Told, error)) {
	path := "/oj/" + name
	door.known[path] = true
	handler := connect.NewUnaryHandler(path,
		func(ctx context.Context, request *connect.Request[Asked]) (*connect.Response[Told], error) {
			told, fault := answer(ctx, request.Msg)
			if fault != nil {
				return nil, AsMishap(fault).toConnect()
			}
			return connect.NewResponse(told), nil
		},
		connect.WithCodec(countingCodec{counts: door.counts}),
		connect.WithReadMaxBytes(messageLimit),
		connect.WithCompression("gzip", nil, nil),
		connect.WithRecover(func(_ context.Context, _ connect.Spec, _ http.Header, cause any) error {
			door.counts.Add("wire_handler_panic", 1)
			return AsMishap(New(BadMessage, "handler: %v", cause)).toConnect()
		}))
	door.mux.Handle(path, handler)
}

type countingCodec struct {
	Codec
	counts *run.Counts
}

func (codec countingCodec) Unmarshal(body []byte, message any) error {
	fault := codec.Codec.Unmarshal(body, message)
	if fault != nil {
		codec.counts.Add("wire_bad_message", 1)
	}
	return fault
}
