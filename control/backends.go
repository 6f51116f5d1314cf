package control

import (
	"orchidjunction/discovery"
)

// discoveryOptions returns the options with which this core reads the list of backends.
func (core *Core) discoveryOptions() discovery.Options {
	options := discovery.Options{
		Lister:                   core.config.ListBackends,
		Zones:                    core.config.ListZones,
		Interval:                 core.config.ListInterval,
		MissingListsUntilRemoved: core.config.MissingListsUntilRemoved,
		Now:                      core.Now,
	}
	if options.Lister == nil && core.config.PlatformAddress != "" {
		options.Lister = discovery.HTTPLister(core.config.PlatformAddress, core.client.Transport(), core.counters)
	}
	core.readsBackends = options.Lister != nil
	return options
}

// readBackends reads the list of backends on the leader, and on a core that has heard of no
// leader since it started.
func (core *Core) readBackends() {
	leadership, err := core.currentLeadership()
	if err != nil && core.neverHeardLeader() {
		core.backends.Read(core.goroutines, core.neverHeardLeader)
		return
	}
	if err != nil || leadership.check() != nil {
		return
	}
	core.backends.Read(core.goroutines, func() bool { return leadership.check() == nil })
}
