package main

import (
	"strings"
	"testing"

	"orchidjunction/control"
	"orchidjunction/message"
	"orchidjunction/rpc"
)

func TestSeedFlagConflicts(test *testing.T) {
	for _, testCase := range []struct {
		place control.Config
		seeds []string
		says  string
	}{
		{control.Config{InternalAddress: "10.0.0.4:1"}, nil, "--id or --seed"},
		{control.Config{InternalAddress: "10.0.0.4:1", ID: 1}, nil, ""},
		{control.Config{InternalAddress: "10.0.0.4:1", ID: 1}, []string{"10.0.0.1:1"}, "leave out --id"},
		{control.Config{InternalAddress: "10.0.0.4:1", Peers: []message.Peer{{ID: 2, Address: "10.0.0.2:1"}}}, []string{"10.0.0.1:1"}, "--peer"},
		{control.Config{InternalAddress: "10.0.0.4:1", Bootstrap: true}, []string{"10.0.0.1:1"}, "--found"},
		{control.Config{InternalAddress: "10.0.0.4:1"}, []string{"10.0.0.4:1"}, "own --wire"},
		{control.Config{InternalAddress: "10.0.0.4:1"}, []string{"10.0.0.1:1", "10.0.0.2:1"}, ""},
	} {
		config := testCase.place
		err := configureSeeds(&config, testCase.seeds)
		if testCase.says == "" && err != nil ||
			testCase.says != "" && (err == nil || !strings.Contains(rpc.AsError(err).Message, testCase.says)) {
			test.Errorf("%+v %v: %v, want %q", testCase.place, testCase.seeds, err, testCase.says)
		}
		if err == nil && len(config.Seeds) != len(testCase.seeds) {
			test.Errorf("%+v: seeds %v", testCase.place, config.Seeds)
		}
	}
}
