package routing

import (
	"fmt"
	"reflect"
	"strings"
	"testing"

	"orchidjunction/rpc"
)

func summary(config *Config) string {
	parts := []string{}
	for index := range config.Routes {
		parts = append(parts, fmt.Sprintf("%s:%d", config.Routes[index].Name, config.Routes[index].TimeoutMs))
	}
	for index := range config.Services {
		parts = append(parts, config.Services[index].Name)
	}
	for index := range config.Tenants {
		parts = append(parts, fmt.Sprint(config.Tenants[index].Name, config.Tenants[index].Keys))
	}
	return strings.Join(parts, " ")
}

func TestApplyChangesNamedItems(test *testing.T) {
	for name, testCase := range map[string]struct {
		patch Patch
		want  string
	}{
		"nothing":             {Patch{}, "cart:900 shelf:700 film:5000 alder birch ann[a1 a2] bob[b1]"},
		"route replaced":      {Patch{Routes: []Route{{Name: "shelf", TimeoutMs: 5}}}, "cart:900 shelf:5 film:5000 alder birch ann[a1 a2] bob[b1]"},
		"route added":         {Patch{Routes: []Route{{Name: "new", TimeoutMs: 5}, {Name: "film", TimeoutMs: 6}}}, "cart:900 shelf:700 film:6 new:5 alder birch ann[a1 a2] bob[b1]"},
		"route removed":       {Patch{RemoveRoutes: []string{"cart", "cart"}}, "shelf:700 film:5000 alder birch ann[a1 a2] bob[b1]"},
		"unknown removed":     {Patch{RemoveRoutes: []string{"none"}}, "cart:900 shelf:700 film:5000 alder birch ann[a1 a2] bob[b1]"},
		"removed and given":   {Patch{RemoveRoutes: []string{"cart"}, Routes: []Route{{Name: "cart", TimeoutMs: 7}}}, "cart:7 shelf:700 film:5000 alder birch ann[a1 a2] bob[b1]"},
		"service added":       {Patch{Services: []Service{{Name: "cedar"}}}, "cart:900 shelf:700 film:5000 alder birch cedar ann[a1 a2] bob[b1]"},
		"service removed":     {Patch{RemoveServices: []string{"alder"}}, "cart:900 shelf:700 film:5000 birch ann[a1 a2] bob[b1]"},
		"tenant's keys":       {Patch{Tenants: []Tenant{{Name: "ann", Keys: []string{"a2"}}}}, "cart:900 shelf:700 film:5000 alder birch ann[a2] bob[b1]"},
		"all tenants removed": {Patch{RemoveTenants: []string{"ann", "bob"}}, "cart:900 shelf:700 film:5000 alder birch"},
	} {
		config := validConfig()
		next, err := config.Apply(&testCase.patch)
		if err != nil || summary(&next) != testCase.want || !next.KeysRequired {
			test.Errorf("%s: %s, %v, want %s", name, summary(&next), err, testCase.want)
		}
		if !reflect.DeepEqual(config, validConfig()) {
			test.Errorf("%s: the receiver was modified", name)
		}
	}
}

func TestApplyRejectsDuplicateItems(test *testing.T) {
	for name, patch := range map[string]Patch{
		"routes":   {Routes: []Route{{Name: "new"}, {Name: "new"}}},
		"services": {Services: []Service{{Name: "alder"}, {Name: "alder"}}},
		"tenants":  {Tenants: []Tenant{{Name: "ann"}, {Name: "ann"}}},
	} {
		if _, err := validConfig().Apply(&patch); err == nil || rpc.AsError(err).Details[0].Code != duplicateName {
			test.Errorf("%s: %v", name, err)
		}
	}
}

func TestApplyLimitsAndFirstTenants(test *testing.T) {
	config := validConfig()
	config.Tenants, config.KeysRequired = nil, false
	next, _ := config.Apply(&Patch{Limits: &Limits{IdleMs: 7}})
	if next.Limits.IdleMs != 7 || next.KeysRequired {
		test.Errorf("%+v", next)
	}
	if next, _ = config.Apply(&Patch{Tenants: []Tenant{{Name: "ann"}}}); !next.KeysRequired || next.Limits.IdleMs != 20 {
		test.Errorf("%+v", next)
	}
}
