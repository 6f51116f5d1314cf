package member

import (
	"orchidjunction/wire"
)

// Metered is what the core that gets this daemon's sessions was told of its counts.
// Only what changed since is told; another core, or another leader, is told all.
type Metered struct {
	core   string
	ballot wire.Ballot
	told   map[int64]map[string]uint64
}

func (metered *Metered) fresh(core string, ballot wire.Ballot, windows []wire.WindowCount) []wire.WindowCount {
	if metered.told == nil || metered.core != core || metered.ballot != ballot {
		metered.core, metered.ballot, metered.told = core, ballot, map[int64]map[string]uint64{}
	}
	news, standing := []wire.WindowCount{}, map[int64]bool{}
	for _, window := range windows {
		standing[window.Window] = true
		changed := map[string]uint64{}
		for tenant, count := range window.Tenants {
			if metered.told[window.Window][tenant] != count {
				changed[tenant] = count
			}
		}
		if len(changed) > 0 {
			news = append(news, wire.WindowCount{Window: window.Window, Tenants: changed})
		}
	}
	for window := range metered.told {
		if !standing[window] {
			delete(metered.told, window)
		}
	}
	return news
}

// took lays down what the core has.
func (metered *Metered) took(news []wire.WindowCount) {
	for _, window := range news {
		if metered.told[window.Window] == nil {
			metered.told[window.Window] = map[string]uint64{}
		}
		for tenant, count := range window.Tenants {
			metered.told[window.Window][tenant] = count
		}
	}
}
