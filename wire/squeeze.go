package wire

import (
	"bytes"
	"compress/flate"
	"io"
)

const squeezedMost = 256 << 20

// Squeeze makes a body shorter where it is made once and sent to many.
func Squeeze(body []byte) []byte {
	buffer := bytes.Buffer{}
	writer, _ := flate.NewWriter(&buffer, flate.DefaultCompression) // the level is a valid one
	_, _ = writer.Write(body)                                       // a bytes.Buffer takes all of it
	_ = writer.Close()                                              // as above
	return buffer.Bytes()
}

// Unpacked is the routing's body as it was before it was squeezed.
func (told *FetchTold) Unpacked() ([]byte, error) {
	if !told.RoutingPacked {
		return told.RoutingBody, nil
	}
	body, fault := io.ReadAll(io.LimitReader(flate.NewReader(bytes.NewReader(told.RoutingBody)), squeezedMost+1))
	if fault != nil || len(body) > squeezedMost {
		return nil, New(BadMessage, "routing of %d squeezed bytes: %v", len(told.RoutingBody), fault)
	}
	return body, nil
}
