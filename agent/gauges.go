package agent

// registerGauges adds the gauges of the daemon's state.
func (daemon *Daemon) registerGauges() {
	gauge := daemon.counters.Gauge
	gauge("ready", func() float64 { return boolToFloat(daemon.Ready()) })
	gauge("confirmed", func() float64 {
		daemon.mutex.Lock()
		defer daemon.mutex.Unlock()
		return boolToFloat(daemon.confirmed)
	})
	gauge("settings_serial", func() float64 { return float64(daemon.Version().Serial) })
	gauge("routing_serial", func() float64 { return float64(daemon.Version().RoutingSerial) })
	gauge("routing_version", func() float64 {
		if routing := daemon.Version().Routing; routing != nil {
			return float64(routing.Config.Version)
		}
		return 0
	})
	gauge("table_term", func() float64 { return float64(daemon.Version().Table.Version.Term.Number) })
	gauge("table_members", func() float64 { return float64(len(daemon.Version().Table.Members)) })
	gauge("table_backends", func() float64 { return float64(len(daemon.Version().Table.Backends)) })
	gauge("core_contact_age_seconds", func() float64 { return daemon.connectivity.coreContactAge().Seconds() })
	gauge("leader_known", func() float64 { return boolToFloat(daemon.LeaderFinder.Leader().Known()) })
	gauge("leader_term", func() float64 { return float64(daemon.LeaderFinder.Leader().Term.Number) })
}

// boolToFloat returns 1 for true and 0 for false.
func boolToFloat(value bool) float64 {
	if value {
		return 1
	}
	return 0
}
