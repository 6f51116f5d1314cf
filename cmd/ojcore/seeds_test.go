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
		config control.Config
		seeds  []string
		want   string
	}{
		{control.Config{InternalAddress: "10.0.0.4:1"}, nil, "--id or --seed"},
		{control.Config{InternalAddress: "10.0.0.4:1", ID: 1}, nil, ""},
		{control.Config{InternalAddress: "10.0.0.4:1", ID: 1}, []string{"10.0.0.1:1"}, "leave out --id"},
		{control.Config{InternalAddress: "10.0.0.4:1", Peers: []message.Peer{{ID: 2, Address: "10.0.0.2:1"}}}, []string{"10.0.0.1:1"}, "--peer"},
		{control.Config{InternalAddress: "10.0.0.4:1", Bootstrap: true}, []string{"10.0.0.1:1"}, "--found"},
		{control.Config{InternalAddress: "10.0.0.4:1"}, []string{"10.0.0.4:1"}, "own --wire"},
		{control.Config{InternalAddress: "10.0.0.4:1"}, []string{"10.0.0.1:1", "10.0.0.2:1"}, ""},
	} {
		config := testCase.config
		err := configureSeeds(&config, testCase.seeds)
		if testCase.want == "" && err != nil ||
			testCase.want != "" && (err == nil || !strings.Contains(rpc.AsError(err).Message, testCase.want)) {
			test.Errorf("%+v with seeds %v: got %v, want %q", testCase.config, testCase.seeds, err, testCase.want)
		}
		if err == nil && len(config.Seeds) != len(testCase.seeds) {
			test.Errorf("%+v: got seeds %v, want %v", testCase.config, config.Seeds, testCase.seeds)
		}
	}
}
