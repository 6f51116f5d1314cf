package hostproxy

import "time"

// Config is a proxy's place in the deployment and its bounds.
type Config struct {
	Name    string
	Zone    string
	Regions map[string]string // the regions of all zones
	Headers Headers
	// All proxies together may retry RetryRatio times the requests, and RetryExtra more.
	RetryRatio float64
	RetryExtra float64
	// A backend that warms up may get WarmupExcess times its warm-up rate, and WarmupExtra
	// more.
	WarmupExcess float64
	WarmupExtra  float64
	// UsageWindow is the span over which billed requests are counted; 0 counts none.
	UsageWindow time.Duration
	// UserTimeout is how long a backend's machine may leave sent bytes without an
	// acknowledgement until it counts as dead; 0 leaves that to the kernel.
	UserTimeout time.Duration
	// ListLag is how long the platform's list may lag behind.
	ListLag time.Duration
	// MemoryBytes is what the machine lets the process take; 0 if that is not known.
	MemoryBytes int64
	// LinkBytes is what the machine's link carries, in bytes a second; 0 is no bound.
	LinkBytes float64
}

func (config *Config) region() string { return config.Regions[config.Zone] }

// distance is how far a zone lies: its own, its region's or beyond.
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
