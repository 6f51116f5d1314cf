package message

import (
	"bytes"
	"compress/flate"
	"io"

	"orchidjunction/rpc"
)

const maxDecompressedBytes = 256 << 20

// Compress returns body compressed by DEFLATE (RFC 1951).
func Compress(body []byte) []byte {
	buffer := bytes.Buffer{}
	writer, _ := flate.NewWriter(&buffer, flate.DefaultCompression) // the level is a valid one
	_, _ = writer.Write(body)                                       // a bytes.Buffer accepts all of it
	_ = writer.Close()                                              // as above
	return buffer.Bytes()
}

// decompress returns what Compress compressed.
func decompress(body []byte) ([]byte, error) {
	plain, err := io.ReadAll(io.LimitReader(flate.NewReader(bytes.NewReader(body)), maxDecompressedBytes+1))
	if err != nil {
		return nil, err
	}
	if len(plain) > maxDecompressedBytes {
		return nil, rpc.Errorf(rpc.BadMessage, "more than %d bytes", maxDecompressedBytes)
	}
	return plain, nil
}

// DecompressRouting returns the routing's body as it was before it was compressed.
func (response *FetchResponse) DecompressRouting() ([]byte, error) {
	if !response.RoutingCompressed {
		return response.RoutingBody, nil
	}
	body, err := decompress(response.RoutingBody)
	if err != nil {
		return nil, rpc.Errorf(rpc.BadMessage, "routing of %d compressed bytes: %w", len(response.RoutingBody), err)
	}
	return body, nil
}
