package hostproxy

import (
	"sync/atomic"

	"orchidjunction/concurrent"
)

// smallBody is what is written in one go with a request's head; a larger body goes
// on its own while the answer is awaited already.
const smallBody = 16 << 10

// upload is a large body on its way to a backend. It ends by itself when its
// connection is closed.
type upload struct {
	complete atomic.Bool
}

// startUpload writes a body in a thread of its own.
func startUpload(goroutines *concurrent.Group, connection *connection, body []byte) *upload {
	upload := &upload{}
	goroutines.Start(func() {
		if _, err := connection.conn.Write(body); err == nil {
			upload.complete.Store(true)
		}
	})
	return upload
}

// finished is whether all bytes were handed to the connection.
func (upload *upload) finished() bool { return upload == nil || upload.complete.Load() }
