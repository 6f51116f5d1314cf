package hostproxy

import "time"

// Config is a proxy's location and its limits.
type Config struct {
	Name    string
	Zone    string
	Regions map[string]string // by zone
	Headers Headers
	// All proxies together may send RetryRatio retries per request, plus RetryExtra.
	RetryRatio float64
	RetryExtra float64
	// A backend that is warming up may receive WarmupExcess times its warm-up rate, plus
	// WarmupExtra requests.
	WarmupExcess float64
	WarmupExtra  float64
	// UsageWindow is the interval over which billed requests are counted; 0 disables counting.
	UsageWindow time.Duration
	// UserTimeout is how long a backend's machine may leave sent bytes unacknowledged before
	// it is considered dead; 0 selects the kernel's default.
	UserTimeout time.Duration
	// BackendListLag is the maximum delay until a change appears in the platform's list of backends.
	BackendListLag time.Duration
	// MemoryBytes is the memory available to the process; 0 if unknown.
	MemoryBytes int64
	// LinkBytesPerSecond is the capacity of the machine's network link in bytes per second; 0 means
	// unlimited.
	LinkBytesPerSecond float64
}

func (config *Config) region() string { return config.Regions[config.Zone] }

// distance tells whether a zone is the proxy's own, in the same region or in another region.
type distance uint8

const (
	sameZone distance = iota
	sameRegion
	otherRegion
)

func (config *Config) distance(zone string) distance {
	switch {
	case zone == config.Zone:
		return sameZone
	case config.Regions[zone] == config.region():
		return sameRegion
	}
	return otherRegion
}
