package message

import (
	"bytes"
	"compress/flate"
	"io"

	"orchidjunction/rpc"
)

const maxDecompressedBytes = 256 << 20

// Compress compresses body with DEFLATE (RFC 1951).
func Compress(body []byte) []byte {
	buffer := bytes.Buffer{}
	writer, _ := flate.NewWriter(&buffer, flate.DefaultCompression) // fails only for an invalid level
	_, _ = writer.Write(body)                                       // a bytes.Buffer never fails
	_ = writer.Close()                                              // as above
	return buffer.Bytes()
}

// decompress reverses Compress. The result is limited to maxDecompressedBytes.
func decompress(body []byte) ([]byte, error) {
	decompressed, err := io.ReadAll(io.LimitReader(flate.NewReader(bytes.NewReader(body)), maxDecompressedBytes+1))
	if err != nil {
		return nil, err
	}
	if len(decompressed) > maxDecompressedBytes {
		return nil, rpc.Errorf(rpc.BadMessage, "decompressed body exceeds the limit of %d bytes", maxDecompressedBytes)
	}
	return decompressed, nil
}

// DecompressRouting returns the routing's body, decompressed if necessary.
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
