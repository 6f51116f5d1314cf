package hostproxy

import "time"

// Config is what a proxy is told of itself and of its bounds.
type Config struct {
	Name         string
	Zone         string
	Regions      map[string]string
	Headers      Headers
	RetryRatio   float64
	RetryExtra   float64
	WarmupExcess float64
	WarmupExtra  float64
	UsageWindow  time.Duration
	ListLag      time.Duration
	LinkBytes    float64
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
