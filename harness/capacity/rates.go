package capacity

import (
	"strings"
)

// Rates are what one process of a role used in a second: Processor in cores,
// messages and bytes. Those of a daemon are its part of the process that it shares.
type Rates struct {
	Processor   float64
	Messages    float64
	BytesIn     float64
	BytesOut    float64
	ResidentMB  float64
	Descriptors float64
}

// readings are those of all processes, by their report address.
func (bench *bench) readings() (map[string]Reading, error) {
	all := map[string]Reading{}
	for _, one := range append(append([]*child{}, bench.cores...), bench.simulated...) {
		if one.dead {
			continue
		}
		reading := Reading{}
		if err := getJSON(one.report, "/reading", &reading); err != nil {
			return nil, err
		}
		all[one.report] = reading
	}
	return all, nil
}

// rates are what each role used between two readings.
func (bench *bench) rates(before, after map[string]Reading) map[string]Rates {
	roles := map[string]Rates{}
	followers := 0.0
	for _, one := range bench.cores {
		if one.dead {
			continue
		}
		role, part := followerRole, 1.0
		if after[one.report].Leads {
			role = leaderRole
		} else {
			followers++
		}
		roles[role] = roles[role].plus(between(before[one.report], after[one.report]), part)
	}
	if followers > 0 {
		sum := roles[followerRole]
		roles[followerRole] = Rates{}.plus(sum, 1/followers)
	}
	for _, one := range bench.simulated {
		roles[daemonRole] = roles[daemonRole].plus(between(before[one.report], after[one.report]), 1/float64(bench.point.Daemons))
	}
	return roles
}

func (rates Rates) plus(more Rates, part float64) Rates {
	return Rates{
		Processor:   rates.Processor + part*more.Processor,
		Messages:    rates.Messages + part*more.Messages,
		BytesIn:     rates.BytesIn + part*more.BytesIn,
		BytesOut:    rates.BytesOut + part*more.BytesOut,
		ResidentMB:  rates.ResidentMB + part*more.ResidentMB,
		Descriptors: rates.Descriptors + part*more.Descriptors,
	}
}

// between are the rates of one process; its messages are those that it took or,
// taking none, sent.
func between(before, after Reading) Rates {
	seconds := float64(after.AtUs-before.AtUs) / 1e6
	messages := 0.0
	for name, count := range after.Messages {
		if strings.HasPrefix(name, "/") {
			continue
		}
		messages += float64(count - before.Messages[name])
	}
	return Rates{
		Processor: float64(after.ProcessorUs-before.ProcessorUs) / 1e6 / seconds, Messages: messages / seconds,
		BytesIn: float64(after.BytesIn-before.BytesIn) / seconds, BytesOut: float64(after.BytesOut-before.BytesOut) / seconds,
		ResidentMB: float64(after.ResidentKB) / 1024, Descriptors: float64(after.Descriptors),
	}
}
