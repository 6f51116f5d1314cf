package routing

import (
	"strings"
	"testing"

	"orchidjunction/rpc"
)

func validConfig() *Config {
	return &Config{
		Version: 3,
		Routes: []Route{
			{
				Name:      "cart",
				Host:      "shop.test",
				Prefix:    "/cart/",
				Kind:      NonIdempotent,
				TimeoutMs: 900,
				TargetMs:  300,
				Priority:  1,
				Service:   "alder",
				Attempts:  2,
				Homes:     []string{"north"},
			},
			{
				Name:      "shelf",
				Host:      "shop.test",
				Prefix:    "/",
				Kind:      Idempotent,
				TimeoutMs: 700,
				Split:     []WeightedService{{"alder", 1}, {"birch", 3}},
				Attempts:  1,
				Public:    true,
			},
			{Name: "film", Host: "films.test", Prefix: "/cart/", Kind: Download, TimeoutMs: 5000, Service: "birch", Attempts: 3},
		},
		Services: []Service{{Name: "alder", HealthPath: "/well", MaxConnections: 9}, {Name: "birch"}},
		Tenants: []Tenant{
			{Name: "ann", Keys: []string{"a1", "a2"}, HasPriority: true, Priority: 2},
			{Name: "bob", Keys: []string{"b1"}, Homes: []string{"south"}},
		},
		KeysRequired: true,
		Limits:       Limits{HeaderBytes: 100, BodyBytes: 1000, HeaderMs: 10, IdleMs: 20},
	}
}

// Each case changes one thing in a valid config.
func TestCheckReportsEachProblem(test *testing.T) {
	for name, testCase := range map[string]struct {
		change func(*Config)
		want   string
	}{
		"nothing":                    {func(*Config) {}, ""},
		"no tenants":                 {func(config *Config) { config.Tenants, config.KeysRequired = nil, false }, ""},
		"no limits":                  {func(config *Config) { config.Limits = Limits{} }, ""},
		"no routes":                  {func(config *Config) { config.Routes = nil }, ""},
		"no health path":             {func(config *Config) { config.Services[0].HealthPath = "" }, ""},
		"tenant without keys":        {func(config *Config) { config.Tenants[0].Keys = nil }, ""},
		"unknown home region":        {func(config *Config) { config.Routes[0].Homes = []string{"nowhere"} }, ""},
		"one weight of 0":            {func(config *Config) { config.Routes[1].Split[0].Weight = 0 }, ""},
		"service and split":          {func(config *Config) { config.Routes[1].Service = "birch" }, ""},
		"same prefix, other host":    {func(config *Config) { config.Routes[2].Host = "other.test" }, ""},
		"unknown service":            {func(config *Config) { config.Routes[0].Service = "cedar" }, danglingName},
		"unknown service in split":   {func(config *Config) { config.Routes[1].Split[1].Service = "cedar" }, danglingName},
		"no attempts":                {func(config *Config) { config.Routes[0].Attempts = 0 }, outOfRange},
		"attempts below 0":           {func(config *Config) { config.Routes[0].Attempts = -1 }, outOfRange},
		"no timeout":                 {func(config *Config) { config.Routes[0].TimeoutMs = 0 }, outOfRange},
		"target below 0":             {func(config *Config) { config.Routes[0].TargetMs = -1 }, outOfRange},
		"unknown kind":               {func(config *Config) { config.Routes[0].Kind = Download + 1 }, outOfRange},
		"prefix without first slash": {func(config *Config) { config.Routes[0].Prefix = "cart/" }, invalidPrefix},
		"prefix without last slash":  {func(config *Config) { config.Routes[0].Prefix = "/cart" }, invalidPrefix},
		"no prefix":                  {func(config *Config) { config.Routes[0].Prefix = "" }, invalidPrefix},
		"no host":                    {func(config *Config) { config.Routes[0].Host = "" }, emptyValue},
		"route without name":         {func(config *Config) { config.Routes[0].Name = "" }, emptyValue},
		"service without name":       {func(config *Config) { config.Services = append(config.Services, Service{}) }, emptyValue},
		"tenant without name":        {func(config *Config) { config.Tenants[0].Name = "" }, emptyValue},
		"empty key":                  {func(config *Config) { config.Tenants[0].Keys[0] = "" }, emptyValue},
		"empty home":                 {func(config *Config) { config.Routes[0].Homes[0] = "" }, emptyValue},
		"empty home of a tenant":     {func(config *Config) { config.Tenants[1].Homes[0] = "" }, emptyValue},
		"neither service nor split":  {func(config *Config) { config.Routes[0].Service = "" }, emptyValue},
		"weights of 0":               {func(config *Config) { config.Routes[1].Split = []WeightedService{{"alder", 0}, {"birch", 0}} }, outOfRange},
		"weight below 0":             {func(config *Config) { config.Routes[1].Split[0].Weight = -1 }, outOfRange},
		"route twice":                {func(config *Config) { config.Routes[2].Name = "cart" }, duplicateName},
		"service twice":              {func(config *Config) { config.Services = append(config.Services, Service{Name: "alder"}) }, duplicateName},
		"tenant twice":               {func(config *Config) { config.Tenants[1].Name = "ann" }, duplicateName},
		"same host and prefix":       {func(config *Config) { config.Routes[1].Prefix = "/cart/" }, samePlace},
		"same host in upper case":    {func(config *Config) { config.Routes[2].Host = "SHOP.test" }, samePlace},
		"shared key":                 {func(config *Config) { config.Tenants[1].Keys[0] = "a2" }, sharedKey},
		"health path without slash":  {func(config *Config) { config.Services[0].HealthPath = "well" }, invalidPrefix},
		"connections below 0":        {func(config *Config) { config.Services[0].MaxConnections = -1 }, outOfRange},
		"warmup below 0":             {func(config *Config) { config.Services[0].WarmupMs = -1 }, outOfRange},
		"warmup rate below 0":        {func(config *Config) { config.Services[0].WarmupRate = -1 }, outOfRange},
		"header bytes below 0":       {func(config *Config) { config.Limits.HeaderBytes = -1 }, outOfRange},
		"body bytes below 0":         {func(config *Config) { config.Limits.BodyBytes = -1 }, outOfRange},
		"header time below 0":        {func(config *Config) { config.Limits.HeaderMs = -1 }, outOfRange},
		"idle time below 0":          {func(config *Config) { config.Limits.IdleMs = -1 }, outOfRange},
	} {
		config := validConfig()
		testCase.change(config)
		err := config.Check()
		switch {
		case testCase.want == "" && err != nil:
			test.Errorf("%s: %v", name, err)
		case testCase.want != "" && (err == nil || rpc.CodeOf(err) != rpc.Invalid || len(rpc.AsError(err).Details) != 1 || rpc.AsError(err).Details[0].Code != testCase.want):
			test.Errorf("%s: %v, want one problem with code %q", name, err, testCase.want)
		}
	}
}

func TestCheckLimitsListedProblems(test *testing.T) {
	config := &Config{Routes: make([]Route, 1000)}
	err := config.Check()
	if err == nil || len(rpc.AsError(err).Details) != maxDetails || !strings.Contains(rpc.AsError(err).Message, "wrong") {
		test.Fatalf("%d details listed", len(rpc.AsError(err).Details))
	}
}
