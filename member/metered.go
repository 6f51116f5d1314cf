package member

import "orchidjunction/message"

// Metered is what the process that gets this daemon's sessions was told of its
// counts. Only what changed since is told; another one is told all.
type Metered struct {
	core    string
	process uint64
	told    map[int64]map[string]uint64
}

// fresh is what is to be told, and to which process it adds.
func (metered *Metered) fresh(core string, windows []message.WindowCount) ([]message.WindowCount, uint64) {
	if metered.told == nil || metered.core != core {
		*metered = Metered{core: core, told: map[int64]map[string]uint64{}}
	}
	news, standing := []message.WindowCount{}, map[int64]bool{}
	for _, window := range windows {
		standing[window.Window] = true
		changed := map[string]uint64{}
		for tenant, count := range window.Tenants {
			if metered.told[window.Window][tenant] != count {
				changed[tenant] = count
			}
		}
		if len(changed) > 0 {
			news = append(news, message.WindowCount{Window: window.Window, Tenants: changed})
		}
	}
	for window := range metered.told {
		if !standing[window] {
			delete(metered.told, window)
		}
	}
	return news, metered.process
}

// took lays down what the process has; one that began since has nothing.
func (metered *Metered) took(news []message.WindowCount, process uint64) {
	if metered.process != 0 && metered.process != process {
		*metered = Metered{}
		return
	}
	metered.process = process
	for _, window := range news {
		if metered.told[window.Window] == nil {
			metered.told[window.Window] = map[string]uint64{}
		}
		for tenant, count := range window.Tenants {
			metered.told[window.Window][tenant] = count
		}
	}
}
