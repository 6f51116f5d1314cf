package hostproxy

import "sync"

const (
	// defaultBodyMemoryBytes is the limit if the machine's memory is unknown.
	defaultBodyMemoryBytes = 96 << 20
	// bodyMemoryFraction is the fraction of the machine's memory that bodies may use. The rest
	// is for other data and for garbage that has not been collected yet.
	bodyMemoryFraction = 0.45
	// Bodies of up to smallBodyBytes may also use the 1/smallBodyReserveDivisor of the memory
	// that is kept free of larger ones, so that small requests are refused last.
	smallBodyBytes          = 64 << 10
	smallBodyReserveDivisor = 16
)

// RequestMemory limits the memory for request bodies and long heads. It is reserved before
// reading, and held until the request has ended and no backend still has to receive the body.
type RequestMemory struct {
	limit int64

	mutex sync.Mutex
	inUse int64
}

// newRequestMemory returns the limit for a machine with this much memory; 0 if unknown.
func newRequestMemory(machineBytes int64) *RequestMemory {
	if machineBytes <= 0 {
		return &RequestMemory{limit: defaultBodyMemoryBytes}
	}
	return &RequestMemory{limit: int64(float64(machineBytes) * bodyMemoryFraction)}
}

// Reserve reserves bytes for a body or head that has reserved some already; false if too few
// are free.
func (memory *RequestMemory) Reserve(reserved, bytes int64) bool {
	memory.mutex.Lock()
	defer memory.mutex.Unlock()
	available := memory.limit - memory.inUse
	if reserved+bytes > smallBodyBytes {
		available -= memory.limit / smallBodyReserveDivisor
	}
	if bytes > available {
		return false
	}
	memory.inUse += bytes
	return true
}

// Release returns reserved bytes.
func (memory *RequestMemory) Release(bytes int64) {
	memory.mutex.Lock()
	memory.inUse -= bytes
	memory.mutex.Unlock()
}

// InUse returns the number of reserved bytes.
func (memory *RequestMemory) InUse() int64 {
	memory.mutex.Lock()
	defer memory.mutex.Unlock()
	return memory.inUse
}
