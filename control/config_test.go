package control

import (
	"testing"
	"time"

	"orchidjunction/message"
	"orchidjunction/rpc"
)

// A config with an id names its peers, one without finds them by seeds; one thing
// changed at a time, each is refused.
func TestConfigOneThingAtATime(test *testing.T) {
	given := Config{
		ID:                1,
		InternalAddress:   "10.0.0.1:41",
		Peers:             []message.Peer{{ID: 2, Address: "10.0.0.2:41"}, {ID: 3, Address: "10.0.0.3:41"}},
		HeartbeatInterval: 75 * time.Millisecond,
		SuspicionTimeout:  300 * time.Millisecond,
	}
	seeded := Config{
		InternalAddress:   "10.0.0.1:41",
		Seeds:             []string{"10.0.0.1:41", "10.0.0.2:41"},
		MinFounders:       2,
		HeartbeatInterval: 150 * time.Millisecond,
		SuspicionTimeout:  750 * time.Millisecond,
	}
	for name, change := range map[string]func(*Config, *Config){
		"no id and no seed":   func(given, seeded *Config) { given.ID, seeded.Seeds = 0, nil },
		"id 100, least 100":   func(given, seeded *Config) { given.ID, seeded.MinFounders = 100, 100 },
		"no least, two cores": func(given, seeded *Config) { seeded.MinFounders, given.Peers = 0, given.Peers[:1] },
		"peers twice":         func(given, seeded *Config) { given.Peers[1].ID, seeded.Peers = 2, given.Peers },
		"a wrong address":     func(given, seeded *Config) { given.Peers[1].Address, seeded.Seeds[1] = "b", "b" },
		"a wrong own address": func(given, seeded *Config) { given.InternalAddress, seeded.InternalAddress = "", "" },
		"a hasty suspicion": func(given, seeded *Config) {
			given.SuspicionTimeout, seeded.SuspicionTimeout = time.Millisecond, time.Millisecond
		},
	} {
		one, other := given, seeded
		one.Peers, other.Seeds = append([]message.Peer{}, given.Peers...), append([]string{}, seeded.Seeds...)
		if err := one.Check(); err != nil {
			test.Fatal(err)
		}
		if err := other.Check(); err != nil {
			test.Fatal(err)
		}
		change(&one, &other)
		for _, config := range []*Config{&one, &other} {
			if err := config.Check(); err == nil || rpc.CodeOf(err) != rpc.BadFlag {
				test.Errorf("%s: %+v: %v", name, config, err)
			}
		}
	}
}
