package rpc

import (
	"compress/gzip"
	"io"
	"sync"

	"connectrpc.com/connect"
)

const (
	compressionName = "gzip"
	// minCompressedBytes is the size from which a response is worth the processor time. Only
	// first tables and routings, and counts that are handed over, are larger.
	minCompressedBytes = 2048
)

// sharedWriter is the one gzip writer of the process, which takes most of a megabyte: a core
// answers hundreds of daemons at once. It is held from the first byte of a message to its
// end, which is in memory. The level spares the processor.
var sharedWriter struct {
	mutex sync.Mutex
	gzip  *gzip.Writer
}

// compressor compresses one message after the other with the shared writer. It implements
// connect.Compressor.
type compressor struct {
	target      io.Writer
	holdsWriter bool // the shared writer
}

func newCompressor() connect.Compressor { return &compressor{} }

// Reset begins a message that is written to target.
func (compressor *compressor) Reset(target io.Writer) { compressor.target = target }

// Write adds to the message. The first call waits for the shared writer.
func (compressor *compressor) Write(body []byte) (int, error) {
	if !compressor.holdsWriter {
		sharedWriter.mutex.Lock()
		compressor.holdsWriter = true
		if sharedWriter.gzip == nil {
			sharedWriter.gzip, _ = gzip.NewWriterLevel(nil, gzip.BestSpeed) // the level is a valid one
		}
		sharedWriter.gzip.Reset(compressor.target)
	}
	return sharedWriter.gzip.Write(body)
}

// Close ends the message.
func (compressor *compressor) Close() error {
	if !compressor.holdsWriter {
		return nil
	}
	defer sharedWriter.mutex.Unlock()
	compressor.holdsWriter = false
	return sharedWriter.gzip.Close()
}

func newDecompressor() connect.Decompressor { return &gzip.Reader{} }
