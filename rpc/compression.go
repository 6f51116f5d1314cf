package rpc

import (
	"compress/gzip"

	"connectrpc.com/connect"
)

const (
	compressionName = "gzip"
	// minCompressedBytes is the size from which a response is worth the processor time. Only
	// first tables and routings, and counts that are handed over, are larger.
	minCompressedBytes = 2048
)

// newCompressor returns a compressor that spares the processor: cores send many daemons the
// same at once.
func newCompressor() connect.Compressor {
	writer, _ := gzip.NewWriterLevel(nil, gzip.BestSpeed) // the level is a valid one
	return writer
}

func newDecompressor() connect.Decompressor { return &gzip.Reader{} }
