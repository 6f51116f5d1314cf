package rpc

import (
	"compress/gzip"
	"io"
	"sync"

	"connectrpc.com/connect"
)

const (
	compressionName = "gzip"
	// minCompressedBytes is the minimum size of a response for which compression is worth its CPU
	// time. Only initial tables and routings, and transferred counts, are larger.
	minCompressedBytes = 2048
)

// sharedWriter is the only gzip writer of the process: a writer uses almost a megabyte, and a core
// responds to hundreds of daemons at once. It is locked while a message is compressed into memory,
// never while a connection is written. The compression level favours CPU time over size.
var sharedWriter struct {
	mutex sync.Mutex
	gzip  *gzip.Writer
}

// compressor implements connect.Compressor with the shared writer, one message at a time.
type compressor struct {
	target      io.Writer
	holdsWriter bool // it has locked sharedWriter
}

func newCompressor() connect.Compressor { return &compressor{} }

// Reset starts a message that is written to target.
func (compressor *compressor) Reset(target io.Writer) { compressor.target = target }

// Write appends to the message. The first call locks the shared writer.
func (compressor *compressor) Write(body []byte) (int, error) {
	if !compressor.holdsWriter {
		sharedWriter.mutex.Lock()
		compressor.holdsWriter = true
		if sharedWriter.gzip == nil {
			sharedWriter.gzip, _ = gzip.NewWriterLevel(nil, gzip.BestSpeed) // fails only for an invalid level
		}
		sharedWriter.gzip.Reset(compressor.target)
	}
	return sharedWriter.gzip.Write(body)
}

// Close completes the message and unlocks the shared writer.
func (compressor *compressor) Close() error {
	if !compressor.holdsWriter {
		return nil
	}
	defer sharedWriter.mutex.Unlock()
	compressor.holdsWriter = false
	return sharedWriter.gzip.Close()
}

func newDecompressor() connect.Decompressor { return &gzip.Reader{} }
