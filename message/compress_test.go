package message

import (
	"bytes"
	"testing"
)

func TestSqueezedRoutingComesBack(test *testing.T) {
	body := bytes.Repeat([]byte("a route like the others;"), 500)
	squeezed := Compress(body)
	if len(squeezed) > len(body)/10 {
		test.Errorf("%d bytes of %d", len(squeezed), len(body))
	}
	response := &FetchResponse{RoutingBody: squeezed, RoutingCompressed: true}
	if back, err := response.DecompressRouting(); err != nil || !bytes.Equal(back, body) {
		test.Errorf("%v, %d bytes", err, len(back))
	}
	response.RoutingBody = squeezed[:len(squeezed)-3]
	if _, err := response.DecompressRouting(); err == nil {
		test.Errorf("a cut body was taken")
	}
	response = &FetchResponse{RoutingBody: body}
	if back, err := response.DecompressRouting(); err != nil || !bytes.Equal(back, body) {
		test.Errorf("plain: %v", err)
	}
}
