package routing

import (
	"math/rand/v2"
	"strings"
	"testing"
)

func TestFindReturnsLongestPrefixOfHost(test *testing.T) {
	config := validConfig()
	config.Routes = append(
		config.Routes,
		Route{Name: "deep", Host: "Shop.Test:99", Prefix: "/cart/deep/er/", Service: "birch"},
		Route{Name: "six", Host: "[::1]", Prefix: "/"},
	)
	index := NewIndex(&State{Config: *config})
	for _, testCase := range []struct{ host, path, want string }{
		{"shop.test", "/cart/", "cart"},
		{"shop.test", "/cart/7", "cart"},
		{"shop.test", "/cart", "shelf"},
		{"shop.test", "/carts/7", "shelf"},
		{"shop.test", "/cart/deep/e", "cart"},
		{"shop.test", "/cart/deep/er", "cart"},
		{"shop.test", "/cart/deep/er/x/y", "deep"},
		{"SHOP.test:8080", "/cart/deep/er/", "deep"},
		{"shop.test", "/", "shelf"},
		{"shop.test", "", ""},
		{"shop.test", "*", ""},
		{"films.test", "/", ""},
		{"films.test", "/cart/x", "film"},
		{"nobody.test", "/cart/", ""},
		{"", "/cart/", ""},
		{"[::1]:80", "/cart/", "six"},
		{"[::1]", "/cart/", "six"},
		{"[::2]", "/cart/", ""},
	} {
		got := ""
		if compiled, found := index.Find(testCase.host, testCase.path); found {
			got = compiled.Route.Name
		}
		if got != testCase.want {
			test.Errorf("%s %s: %q, want %q", testCase.host, testCase.path, got, testCase.want)
		}
	}
}

// Compares Find with a linear search, for random routes and paths.
func TestFindMatchesLinearSearch(test *testing.T) {
	random := rand.New(rand.NewPCG(7, 7))
	randomPath := func(maxSegments int) string {
		text := "/"
		for range random.IntN(maxSegments) {
			text += strings.Repeat("ab"[random.IntN(2):][:1], random.IntN(3)) + "/"
		}
		return text
	}
	for range 200 {
		config := &Config{}
		seen := map[string]bool{}
		for range 12 {
			if prefix := randomPath(5); !seen[prefix] {
				seen[prefix] = true
				config.Routes = append(config.Routes, Route{Host: "shop.test", Prefix: prefix})
			}
		}
		index := NewIndex(&State{Config: *config})
		for range 50 {
			request, want := randomPath(8)+"a"[:random.IntN(2)], ""
			for _, route := range config.Routes {
				if strings.HasPrefix(request, route.Prefix) && len(route.Prefix) > len(want) {
					want = route.Prefix
				}
			}
			got := ""
			if compiled, found := index.Find("shop.test", request); found {
				got = compiled.Route.Prefix
			}
			if got != want {
				test.Fatalf("%s: %q, want %q", request, got, want)
			}
		}
	}
}

func TestFindAllocatesNothing(test *testing.T) {
	index := NewIndex(&State{Config: *validConfig()})
	if count := testing.AllocsPerRun(100, func() {
		index.Find("shop.test:8080", "/cart/a/b/c")
		index.TenantOf("a2")
	}); count != 0 {
		test.Errorf("%v allocations per lookup", count)
	}
}

func TestPickFollowsWeights(test *testing.T) {
	config := validConfig()
	config.Services = append(config.Services, Service{Name: "cedar"})
	config.Routes[1].Split = []WeightedService{{"birch", 3}, {"cedar", 0}, {"alder", 1}}
	index := NewIndex(&State{Config: *config})
	compiled, _ := index.Find("shop.test", "/")
	counts := map[string]int{}
	for number := range compiled.Total {
		counts[index.Services[compiled.Pick(number)].Name]++
	}
	if counts["birch"] != 3 || counts["alder"] != 1 || counts["cedar"] != 0 || len(compiled.Services) != 2 {
		test.Errorf("picks by service: %v", counts)
	}
	whole, _ := index.Find("shop.test", "/cart/")
	if index.Services[whole.Pick(0)].Name != "alder" || whole.Total != 1 || whole.Homes[0] != "north" {
		test.Errorf("%+v", whole)
	}
}

func TestIndexFindsTenantsServicesAndZones(test *testing.T) {
	index := NewIndex(&State{Config: *validConfig(), Evacuated: []string{"z1"}})
	if tenant, found := index.TenantOf("b1"); !found || tenant.Name != "bob" {
		test.Errorf("tenant of b1: %v", tenant)
	}
	if _, found := index.TenantOf("c1"); found {
		test.Error("found a tenant for an unknown key")
	}
	if position, found := index.ServiceIndex("birch"); !found || index.Services[position].Name != "birch" {
		test.Errorf("position of birch: %d", position)
	}
	if _, found := index.ServiceIndex("cedar"); found {
		test.Error("found an unknown service")
	}
	if !index.IsEvacuated("z1") || index.IsEvacuated("z2") || index.Version != 3 || !index.KeysRequired || index.Limits.IdleMs != 20 {
		test.Errorf("%+v", index)
	}
}

// A host has homes if any of its routes has, since the directory looks up by host alone.
func TestHostHasHomesOfAnyRoute(test *testing.T) {
	index := NewIndex(&State{Config: Config{
		Services: []Service{{Name: "desk"}},
		Routes: []Route{
			{Name: "free", Host: "both.test", Prefix: "/a/", Service: "desk"},
			{Name: "homed", Host: "both.test", Prefix: "/b/", Service: "desk", Homes: []string{"north"}},
			{Name: "other", Host: "free.test", Prefix: "/", Service: "desk"},
		},
	}})
	for host, want := range map[string]bool{"both.test": true, "free.test": false, "nobody.test": false, "": false} {
		if index.HasHomes(host) != want {
			test.Errorf("%q: HasHomes returns %v", host, !want)
		}
	}
}
