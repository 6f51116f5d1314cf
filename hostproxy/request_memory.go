package hostproxy

import "sync"

const (
	// defaultBodyMemory is the memory for bodies, in bytes, where the machine's is not known.
	defaultBodyMemory = 96 << 20
	// bodyMemoryShare is the part of a machine's memory that bodies may take. The rest is for
	// all else, and for what the garbage collector has not freed yet.
	bodyMemoryShare = 0.45
	// A body of up to smallBodyBytes may also take what is kept free of larger ones, a part
	// 1/smallBodyShare: small requests are refused last.
	smallBodyBytes = 64 << 10
	smallBodyShare = 16
)

// RequestMemory bounds the bytes of requests' bodies and long heads that the process holds,
// from before they are read until their requests have ended and no backend is owed any of
// them.
type RequestMemory struct {
	limit int64

	mutex sync.Mutex
	held  int64
}

// newRequestMemory returns the memory for bodies on a machine with so many bytes in all, 0 if
// that is not known.
func newRequestMemory(machine int64) *RequestMemory {
	if machine <= 0 {
		return &RequestMemory{limit: defaultBodyMemory}
	}
	return &RequestMemory{limit: int64(float64(machine) * bodyMemoryShare)}
}

// Reserve takes bytes for a body or a head that holds some already; false when there are not
// so many.
func (memory *RequestMemory) Reserve(reserved, bytes int64) bool {
	memory.mutex.Lock()
	defer memory.mutex.Unlock()
	available := memory.limit - memory.held
	if reserved+bytes > smallBodyBytes {
		available -= memory.limit / smallBodyShare
	}
	if bytes > available {
		return false
	}
	memory.held += bytes
	return true
}

// Release gives bytes back.
func (memory *RequestMemory) Release(bytes int64) {
	memory.mutex.Lock()
	memory.held -= bytes
	memory.mutex.Unlock()
}

// InUse returns how many bytes are held now.
func (memory *RequestMemory) InUse() int64 {
	memory.mutex.Lock()
	defer memory.mutex.Unlock()
	return memory.held
}
