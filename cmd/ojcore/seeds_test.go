package main

import (
	"strings"
	"testing"

	"orchidjunction/control"
	"orchidjunction/rpc"
)

func TestSeedsAreCheckedAgainstOtherFlags(test *testing.T) {
	for _, try := range []struct {
		place control.Place
		seeds []string
		says  string
	}{
		{control.Place{Wire: "10.0.0.4:1"}, nil, "--id or --seed"},
		{control.Place{Wire: "10.0.0.4:1", ID: 1}, nil, ""},
		{control.Place{Wire: "10.0.0.4:1", ID: 1}, []string{"10.0.0.1:1"}, "leave out --id"},
		{control.Place{Wire: "10.0.0.4:1", Peers: []control.Peer{{ID: 2, Address: "10.0.0.2:1"}}}, []string{"10.0.0.1:1"}, "--peer"},
		{control.Place{Wire: "10.0.0.4:1", Found: true}, []string{"10.0.0.1:1"}, "--found"},
		{control.Place{Wire: "10.0.0.4:1"}, []string{"10.0.0.4:1"}, "own --wire"},
		{control.Place{Wire: "10.0.0.4:1"}, []string{"10.0.0.1:1", "10.0.0.2:1"}, ""},
	} {
		place := try.place
		err := takeSeeds(&place, try.seeds)
		if try.says == "" && err != nil || try.says != "" && (err == nil || !strings.Contains(rpc.AsError(err).Message, try.says)) {
			test.Errorf("%+v %v: %v, want %q", try.place, try.seeds, err, try.says)
		}
		if err == nil && len(place.Seeds) != len(try.seeds) {
			test.Errorf("%+v: seeds %v", try.place, place.Seeds)
		}
	}
}
