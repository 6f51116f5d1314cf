package message

import (
	"bytes"
	"context"
	"maps"
	"net/http"
	"net/http/httptest"
	"testing"

	"github.com/vmihailenco/msgpack/v5"

	"orchidjunction/metrics"
	"orchidjunction/rpc"
)

// The server rejects and counts messages with an unknown field, a field of the wrong type or out
// of range, and malformed encodings, and continues to serve valid ones.
func TestServerRejectsInvalidMessages(test *testing.T) {
	counters := metrics.NewCounters()
	server := rpc.NewServer(counters)
	accepted := 0
	rpc.Handle(server, MethodHeartbeat, func(context.Context, *HeartbeatRequest) (*HeartbeatResponse, error) {
		accepted++
		return &HeartbeatResponse{Accepted: true}, nil
	})
	valid := map[string]any{"Ballot": map[string]any{"Round": 3, "Core": 1}, "Duck": false}
	send := func(path, contentType string, body []byte) int {
		request := httptest.NewRequest(http.MethodPost, path, bytes.NewReader(body))
		request.Header.Set("Content-Type", contentType)
		recorder := httptest.NewRecorder()
		server.ServeHTTP(recorder, request)
		return recorder.Code
	}
	encode := func(modify func(map[string]any)) []byte {
		message := map[string]any{}
		maps.Copy(message, valid)
		modify(message)
		body, err := msgpack.Marshal(message)
		if err != nil {
			test.Fatal(err)
		}
		return body
	}
	validBody := encode(func(map[string]any) {})
	if code := send("/oj/beat", "application/msgpack", validBody); code != http.StatusOK || accepted != 1 {
		test.Fatalf("valid message: status %d", code)
	}
	for name, body := range map[string][]byte{
		"unknown field":        encode(func(message map[string]any) { message["Colour"] = 1 }),
		"unknown nested":       encode(func(message map[string]any) { message["Ballot"] = map[string]any{"Round": 3, "Core": 1, "Age": 2} }),
		"string as ballot":     encode(func(message map[string]any) { message["Ballot"] = "3.1" }),
		"string as round":      encode(func(message map[string]any) { message["Ballot"] = map[string]any{"Round": "three", "Core": 1} }),
		"string as flag":       encode(func(message map[string]any) { message["Duck"] = "yes" }),
		"no ballot":            encode(func(message map[string]any) { delete(message, "Ballot") }),
		"round 0":              encode(func(message map[string]any) { message["Ballot"] = map[string]any{"Round": 0, "Core": 1} }),
		"core 0":               encode(func(message map[string]any) { message["Ballot"] = map[string]any{"Round": 3, "Core": 0} }),
		"core too large":       encode(func(message map[string]any) { message["Ballot"] = map[string]any{"Round": 3, "Core": MaxPeerID + 1} }),
		"truncated":            validBody[:len(validBody)-1],
		"trailing byte":        append(append([]byte{}, validBody...), 0),
		"not msgpack":          []byte("{\"Ballot\":1}"),
		"array":                {0x93, 1, 2, 3},
		"oversized map length": {0xdf, 0xff, 0xff, 0xff, 0xff},
	} {
		before := counters.Get("wire_bad_message")
		if code := send("/oj/beat", "application/msgpack", body); code == http.StatusOK {
			test.Errorf("%s is accepted", name)
		}
		if counters.Get("wire_bad_message") != before+1 {
			test.Errorf("%s is not counted as a bad message", name)
		}
	}
	if code := send(
		"/oj/nothing",
		"application/msgpack",
		validBody,
	); code != http.StatusNotFound ||
		counters.Get("wire_unknown_message") != 1 {
		test.Errorf("unknown method: status %d", code)
	}
	if code := send("/oj/beat", "application/json", []byte("{}")); code == http.StatusOK {
		test.Errorf("content type JSON is accepted")
	}
	if code := send("/oj/beat", "application/msgpack", validBody); code != http.StatusOK || accepted != 2 {
		test.Errorf("valid message afterwards: status %d, accepted %d", code, accepted)
	}
}

// A message with a chunk that does not match its digest is rejected.
func TestCorruptChunkIsRejected(test *testing.T) {
	text := []byte(`{"a":1}`)
	valid := &FetchChunksResponse{Chunks: Chunks{DigestOf(text): text}}
	body, err := rpc.Codec{}.Marshal(valid)
	if err != nil || (rpc.Codec{}).Unmarshal(body, &FetchChunksResponse{}) != nil {
		test.Fatal("the valid message is rejected")
	}
	for index := range text {
		corrupted := append([]byte{}, text...)
		corrupted[index] ^= 4
		for name, message := range map[string]any{"parts": &FetchChunksResponse{Chunks: Chunks{DigestOf(text): corrupted}}, "accept": &AcceptRequest{Term: Term{Number: 1, Core: 1}, Chunks: Chunks{DigestOf(text): corrupted}}} {
			body, _ := rpc.Codec{}.Marshal(message)
			target := any(&FetchChunksResponse{})
			if name == "accept" {
				target = &AcceptRequest{}
			}
			if err := (rpc.Codec{}).Unmarshal(body, target); rpc.CodeOf(err) != rpc.CorruptChunk {
				test.Errorf("%s with byte %d corrupted: %v", name, index, err)
			}
		}
	}
}
