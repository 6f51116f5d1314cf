package message

import (
	"bytes"
	"testing"
)

func TestCompressedRoutingRoundTrip(test *testing.T) {
	body := bytes.Repeat([]byte("a route like the others;"), 500)
	compressed := Compress(body)
	if len(compressed) > len(body)/10 {
		test.Errorf("compressed to %d of %d bytes", len(compressed), len(body))
	}
	response := &FetchResponse{RoutingBody: compressed, RoutingCompressed: true}
	if decompressed, err := response.DecompressRouting(); err != nil || !bytes.Equal(decompressed, body) {
		test.Errorf("error %v, decompressed to %d bytes", err, len(decompressed))
	}
	response.RoutingBody = compressed[:len(compressed)-3]
	if _, err := response.DecompressRouting(); err == nil {
		test.Errorf("a truncated body was accepted")
	}
	response = &FetchResponse{RoutingBody: body}
	if decompressed, err := response.DecompressRouting(); err != nil || !bytes.Equal(decompressed, body) {
		test.Errorf("uncompressed routing: %v", err)
	}
}
