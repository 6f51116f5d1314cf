package hostproxy

import (
	"io"
	"sync"
	"time"

	"orchidjunction/concurrent"
)

// smallBody is what is written in one go with a request's head; a larger body goes
// on its own while the answer is awaited already.
const smallBody = 16 << 10

// upload is a large body on its way to a backend. It ends by itself when its
// connection is closed.
type upload struct {
	mutex    sync.Mutex
	wake     *sync.Cond
	ended    bool
	complete bool
}

// startUpload writes a body in a thread of its own.
func startUpload(goroutines *concurrent.Group, connection *connection, body *requestBody) *upload {
	upload := &upload{}
	upload.wake = sync.NewCond(&upload.mutex)
	pieces := requestBody{pieces: body.pieces}
	goroutines.Start(func() { upload.end(pieces.writeTo(connection.conn) == nil) })
	return upload
}

func (upload *upload) end(complete bool) {
	upload.mutex.Lock()
	upload.ended, upload.complete = true, complete
	upload.wake.Broadcast()
	upload.mutex.Unlock()
}

// finished is whether all bytes were handed to the connection.
func (upload *upload) finished() bool {
	if upload == nil {
		return true
	}
	upload.mutex.Lock()
	defer upload.mutex.Unlock()
	return upload.complete
}

// wait blocks until the upload has ended; false when bytes of it were not sent.
func (upload *upload) wait() bool {
	upload.mutex.Lock()
	defer upload.mutex.Unlock()
	for !upload.ended {
		upload.wake.Wait()
	}
	return upload.complete
}

// owesBody is whether a whole answer leaves its backend a claim to the rest of the request's
// body: it says that the request succeeded, and the connection can carry no other.
func (connection *connection) owesBody(answer *answer) bool {
	if connection.upload == nil || answer.response.StatusCode >= 400 {
		return false
	}
	return connection.answeredEarly || answer.response.Close || connection.reader.Buffered() > 0
}

// finishUpload sends the rest of a body in the background, at most until the route's timeout,
// and closes the connection once its backend has closed it as well: a close with unread bytes
// would reset it, and take what was not delivered yet.
func (proxy *Proxy) finishUpload(request *request, target *target, connection *connection) {
	until := request.begin.Add(time.Duration(request.route.TimeoutMs) * time.Millisecond)
	if err := connection.conn.SetDeadline(until.Add(deadlineSlack)); err != nil {
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
		_, _ = io.Copy(io.Discard, connection.reader) // until the backend closes, or the deadline
		connection.upload.wait()
		proxy.memory.Release(reserved)
		proxy.uploads.remove(connection)
		target.discardConnection(connection)
	})
}

// FinishUploads waits for the bodies that are sent on after their answers, at most for a
// span; what is left then is cut off.
func (proxy *Proxy) FinishUploads(limit time.Duration) {
	expired := time.AfterFunc(limit, proxy.uploads.cut)
	defer expired.Stop()
	proxy.uploads.wait()
}

// pendingUploads are the connections on which a body is sent on after its answer.
type pendingUploads struct {
	mutex       sync.Mutex
	wake        *sync.Cond
	connections map[*connection]bool
	over        bool
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
	if uploads.over {
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

// cut ends all uploads at once, those that are still to come as well.
func (uploads *pendingUploads) cut() {
	uploads.mutex.Lock()
	defer uploads.mutex.Unlock()
	uploads.over = true
	for connection := range uploads.connections {
		connection.interrupt()
	}
}
