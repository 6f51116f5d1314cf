package wire

import (
	"bytes"
	"compress/flate"
	"io"
)

const maxDecompressedBytes = 256 << 20

// Compress makes a body shorter where it is made once and sent to many.
func Compress(body []byte) []byte {
	buffer := bytes.Buffer{}
	writer, _ := flate.NewWriter(&buffer, flate.DefaultCompression) // the level is a valid one
	_, _ = writer.Write(body)                                       // a bytes.Buffer takes all of it
	_ = writer.Close()                                              // as above
	return buffer.Bytes()
}

// DecompressRouting is the routing's body as it was before it was squeezed.
func (told *FetchResponse) DecompressRouting() ([]byte, error) {
	if !told.RoutingCompressed {
		return told.RoutingBody, nil
	}
	body, err := io.ReadAll(io.LimitReader(flate.NewReader(bytes.NewReader(told.RoutingBody)), maxDecompressedBytes+1))
	if err != nil || len(body) > maxDecompressedBytes {
		return nil, Errorf(BadMessage, "routing of %d squeezed bytes: %v", len(told.RoutingBody), err)
	}
	return body, nil
}
