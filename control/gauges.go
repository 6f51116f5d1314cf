package control

import (
	"time"

	"orchidjunction/message"
)

func (core *Core) registerGauges() {
	gauge := core.counters.Gauge
	gauge("leading", func() float64 {
		if core.Leads() {
			return 1
		}
		return 0
	})
	gauge("leader_known", func() float64 {
		if core.Leader().Known() {
			return 1
		}
		return 0
	})
	gauge("leader_term", func() float64 { return float64(core.Leader().Term.Number) })
	gauge("promised_term", func() float64 { return float64(core.replica.State().Promised.Number) })
	gauge("membership_version", func() float64 { return float64(core.membership().Version.Serial) })
	gauge("voters", func() float64 { return float64(len(core.membership().Voters)) })
	gauge("votes", func() float64 {
		if core.CanVote() {
			return 1
		}
		return 0
	})
	gauge("disk_writable", func() float64 {
		if core.diskWritable() {
			return 1
		}
		return 0
	})
	gauge("settings_serial", func() float64 { return float64(core.committedSerialOf(message.SettingsRegister)) })
	gauge("rollouts_serial", func() float64 { return float64(core.committedSerialOf(message.RolloutsRegister)) })
	gauge("routing_serial", func() float64 { return float64(core.committedSerialOf(message.RoutingRegister)) })
	gauge("table_members", func() float64 { return float64(len(core.Table().Members)) })
	gauge("table_backends", func() float64 { return float64(len(core.Table().Backends)) })
	gauge("usage_window_age_seconds", core.oldestWindowAge)
}

func (core *Core) committedSerialOf(register message.Register) uint64 {
	core.mutex.Lock()
	defer core.mutex.Unlock()
	return core.committedSerial(register)
}

// oldestWindowAge returns the seconds since the end of the oldest unsealed window on the leader,
// 0 on other cores.
func (core *Core) oldestWindowAge() float64 {
	length := core.config.Metering.Window
	if length == 0 {
		return 0
	}
	_, state := core.windowState()
	if state == nil || state.Next == 0 {
		return 0
	}
	end := (state.Next + 1) * length.Milliseconds()
	age := time.Duration(core.Now()-end) * time.Millisecond
	return max(0, age.Seconds())
}
