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

// One message, changed in one field at a time: what nobody knows, what has the
// wrong type and what lies out of range is refused and counted, and the door lives on.
func TestDoorRefusesOneFieldAtATime(test *testing.T) {
	counters := metrics.NewCounters()
	server := rpc.NewServer(counters)
	taken := 0
	rpc.Handle(server, MethodHeartbeat, func(context.Context, *HeartbeatRequest) (*HeartbeatResponse, error) {
		taken++
		return &HeartbeatResponse{Accepted: true}, nil
	})
	good := map[string]any{"Ballot": map[string]any{"Round": 3, "Core": 1}, "Duck": false}
	send := func(path, kind string, body []byte) int {
		request := httptest.NewRequest(http.MethodPost, path, bytes.NewReader(body))
		request.Header.Set("Content-Type", kind)
		recorder := httptest.NewRecorder()
		server.ServeHTTP(recorder, request)
		return recorder.Code
	}
	pack := func(change func(map[string]any)) []byte {
		message := map[string]any{}
		maps.Copy(message, good)
		change(message)
		body, err := msgpack.Marshal(message)
		if err != nil {
			test.Fatal(err)
		}
		return body
	}
	plain := pack(func(map[string]any) {})
	if code := send("/oj/beat", "application/msgpack", plain); code != http.StatusOK || taken != 1 {
		test.Fatalf("the good message: %d", code)
	}
	for name, body := range map[string][]byte{
		"unknown field":      pack(func(message map[string]any) { message["Colour"] = 1 }),
		"unknown inner":      pack(func(message map[string]any) { message["Ballot"] = map[string]any{"Round": 3, "Core": 1, "Age": 2} }),
		"text for a ballot":  pack(func(message map[string]any) { message["Ballot"] = "3.1" }),
		"text for a round":   pack(func(message map[string]any) { message["Ballot"] = map[string]any{"Round": "three", "Core": 1} }),
		"number for a flag":  pack(func(message map[string]any) { message["Duck"] = "yes" }),
		"no ballot":          pack(func(message map[string]any) { delete(message, "Ballot") }),
		"round 0":            pack(func(message map[string]any) { message["Ballot"] = map[string]any{"Round": 0, "Core": 1} }),
		"core 0":             pack(func(message map[string]any) { message["Ballot"] = map[string]any{"Round": 3, "Core": 0} }),
		"core too high":      pack(func(message map[string]any) { message["Ballot"] = map[string]any{"Round": 3, "Core": MaxPeerID + 1} }),
		"truncated":          plain[:len(plain)-1],
		"bytes behind":       append(append([]byte{}, plain...), 0),
		"not msgpack":        []byte("{\"Ballot\":1}"),
		"a list":             {0x93, 1, 2, 3},
		"huge announced map": {0xdf, 0xff, 0xff, 0xff, 0xff},
	} {
		before := counters.Get("wire_bad_message")
		if code := send("/oj/beat", "application/msgpack", body); code == http.StatusOK {
			test.Errorf("%s is taken", name)
		}
		if counters.Get("wire_bad_message") != before+1 {
			test.Errorf("%s is not counted", name)
		}
	}
	if code := send("/oj/nothing", "application/msgpack", plain); code != http.StatusNotFound || counters.Get("wire_unknown_message") != 1 {
		test.Errorf("unknown message: %d", code)
	}
	if code := send("/oj/beat", "application/json", []byte("{}")); code == http.StatusOK {
		test.Errorf("json is taken")
	}
	if code := send("/oj/beat", "application/msgpack", plain); code != http.StatusOK || taken != 2 {
		test.Errorf("the good message afterwards: %d, taken %d", code, taken)
	}
}

// A branch whose digest is not its text's is refused, and nothing of its message is taken.
func TestDamagedBranchIsRefused(test *testing.T) {
	text := []byte(`{"a":1}`)
	good := &FetchChunksResponse{Chunks: Chunks{DigestOf(text): text}}
	body, err := rpc.Codec{}.Marshal(good)
	if err != nil || (rpc.Codec{}).Unmarshal(body, &FetchChunksResponse{}) != nil {
		test.Fatal("the good message is refused")
	}
	for index := range text {
		worn := append([]byte{}, text...)
		worn[index] ^= 4
		for name, message := range map[string]any{"parts": &FetchChunksResponse{Chunks: Chunks{DigestOf(text): worn}}, "accept": &AcceptRequest{Term: Term{Number: 1, Core: 1}, Chunks: Chunks{DigestOf(text): worn}}} {
			body, _ := rpc.Codec{}.Marshal(message)
			into := any(&FetchChunksResponse{})
			if name == "accept" {
				into = &AcceptRequest{}
			}
			if err := (rpc.Codec{}).Unmarshal(body, into); rpc.CodeOf(err) != rpc.CorruptChunk {
				test.Errorf("%s with byte %d worn: %v", name, index, err)
			}
		}
	}
}
