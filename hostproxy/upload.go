package hostproxy

import (
	"io"
	"sync"
	"time"

	"orchidjunction/concurrent"
)

// maxInlineBodyBytes is the largest body that is written together with the request head.
// Larger ones are sent in the background while the proxy waits for the response.
const maxInlineBodyBytes = 16 << 10

// upload is a large request body being sent to a backend. It ends when its connection is
// closed.
type upload struct {
	mutex    sync.Mutex
	wake     *sync.Cond
	ended    bool
	complete bool
}

// startUpload writes a body in a separate goroutine.
func startUpload(goroutines *concurrent.Group, connection *connection, body *requestBody) *upload {
	upload := &upload{}
	upload.wake = sync.NewCond(&upload.mutex)
	payload := requestBody{segments: body.segments}
	goroutines.Start(func() { upload.end(payload.writeTo(connection.conn) == nil) })
	return upload
}

func (upload *upload) end(complete bool) {
	upload.mutex.Lock()
	upload.ended, upload.complete = true, complete
	upload.wake.Broadcast()
	upload.mutex.Unlock()
}

// sentAll reports whether all bytes were written to the connection.
func (upload *upload) sentAll() bool {
	if upload == nil {
		return true
	}
	upload.mutex.Lock()
	defer upload.mutex.Unlock()
	return upload.complete
}

// wait blocks until the upload has ended. It returns false if not all bytes were sent.
func (upload *upload) wait() bool {
	upload.mutex.Lock()
	defer upload.mutex.Unlock()
	for !upload.ended {
		upload.wake.Wait()
	}
	return upload.complete
}

// mustFinishUpload reports whether the rest of the request body must still be sent after a
// full response: the response reports success, and the connection can't be reused.
func (connection *connection) mustFinishUpload(response *response) bool {
	if connection.upload == nil || response.head.StatusCode >= 400 {
		return false
	}
	return connection.respondedEarly || response.head.Close || connection.reader.Buffered() > 0
}

// finishUpload sends the rest of a body in the background, up to the route's timeout, and
// closes the connection after the backend has: closing with unread bytes would reset the
// connection and discard undelivered data.
func (proxy *Proxy) finishUpload(request *request, target *target, connection *connection) {
	deadline := request.begin.Add(time.Duration(request.route.TimeoutMs) * time.Millisecond)
	if err := connection.conn.SetDeadline(deadline.Add(deadlineSlack)); err != nil {
		target.discardConnection(connection)
		return
	}
	proxy.counters.Add("uploads_after_answer", 1)
	proxy.uploads.add(connection)
	reserved := request.body.takeReservation()
	proxy.goroutines.Start(func() {
		if connection.upload.wait() {
			connection.closeWrite()
		} else {
			proxy.counters.Add("uploads_cut", 1)
		}
	})
	proxy.goroutines.Start(func() {
		_, _ = io.Copy(io.Discard, connection.reader) // until the backend closes the connection or the deadline passes
		connection.upload.wait()
		proxy.memory.Release(reserved)
		proxy.uploads.remove(connection)
		target.discardConnection(connection)
	})
}

// FinishUploads waits up to limit for uploads that outlast their response, then aborts the
// rest.
func (proxy *Proxy) FinishUploads(limit time.Duration) {
	timer := time.AfterFunc(limit, proxy.uploads.abort)
	defer timer.Stop()
	proxy.uploads.wait()
}

// pendingUploads are the connections on which an upload outlasts its response.
type pendingUploads struct {
	mutex       sync.Mutex
	wake        *sync.Cond
	connections map[*connection]bool
	aborted     bool
}

func newPendingUploads() *pendingUploads {
	uploads := &pendingUploads{connections: map[*connection]bool{}}
	uploads.wake = sync.NewCond(&uploads.mutex)
	return uploads
}

func (uploads *pendingUploads) add(connection *connection) {
	uploads.mutex.Lock()
	defer uploads.mutex.Unlock()
	uploads.connections[connection] = true
	if uploads.aborted {
		connection.interrupt()
	}
}

func (uploads *pendingUploads) remove(connection *connection) {
	uploads.mutex.Lock()
	delete(uploads.connections, connection)
	uploads.wake.Broadcast()
	uploads.mutex.Unlock()
}

func (uploads *pendingUploads) wait() {
	uploads.mutex.Lock()
	defer uploads.mutex.Unlock()
	for len(uploads.connections) > 0 {
		uploads.wake.Wait()
	}
}

// abort ends all uploads at once, including those added later.
func (uploads *pendingUploads) abort() {
	uploads.mutex.Lock()
	defer uploads.mutex.Unlock()
	uploads.aborted = true
	for connection := range uploads.connections {
		connection.interrupt()
	}
}
