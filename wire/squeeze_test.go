package wire

import (
	"bytes"
	"testing"
)

func TestSqueezedRoutingComesBack(test *testing.T) {
	body := bytes.Repeat([]byte("a route like the others;"), 500)
	squeezed := Squeeze(body)
	if len(squeezed) > len(body)/10 {
		test.Errorf("%d bytes of %d", len(squeezed), len(body))
	}
	told := &FetchTold{RoutingBody: squeezed, RoutingPacked: true}
	if back, mishap := told.Unpacked(); mishap != nil || !bytes.Equal(back, body) {
		test.Errorf("%v, %d bytes", mishap, len(back))
	}
	told.RoutingBody = squeezed[:len(squeezed)-3]
	if _, mishap := told.Unpacked(); mishap == nil {
		test.Errorf("a cut body was taken")
	}
	told = &FetchTold{RoutingBody: body}
	if back, mishap := told.Unpacked(); mishap != nil || !bytes.Equal(back, body) {
		test.Errorf("plain: %v", mishap)
	}
}
