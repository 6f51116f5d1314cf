package capacity

import (
	"fmt"

	"orchidjunction/message"
	"orchidjunction/routing"
)

const hostsShare = 8

func tenantName(number int) string { return fmt.Sprintf("tenant-%06d", number) }

func routeOf(number, services int) routing.Route {
	return routing.Route{
		Name: fmt.Sprintf(
			"route-%06d",
			number,
		),
		Host:      fmt.Sprintf("host-%05d.example.org", number/hostsShare),
		Prefix:    fmt.Sprintf("/part-%d/", number%hostsShare),
		Kind:      routing.Idempotent,
		TimeoutMs: 2000,
		TargetMs:  200,
		Service:   serviceName(number % services),
		Attempts:  3,
	}
}

func serviceName(number int) string { return fmt.Sprintf("service-%04d", number) }

// config is a routing of a size.
func config(version uint64, routes, services, tenants int) *routing.Config {
	made := &routing.Config{
		Version:      version,
		KeysRequired: tenants > 0,
		Limits:       routing.Limits{HeaderBytes: 64 << 10, BodyBytes: 1 << 20, HeaderMs: 5000, IdleMs: 30000},
	}
	for number := range services {
		made.Services = append(
			made.Services,
			routing.Service{Name: serviceName(number), HealthPath: "/health", MaxConnections: 1000, WarmupMs: 5000, WarmupRate: 20},
		)
	}
	for number := range routes {
		made.Routes = append(made.Routes, routeOf(number, services))
	}
	for number := range tenants {
		made.Tenants = append(
			made.Tenants,
			routing.Tenant{Name: tenantName(number), Keys: []string{fmt.Sprintf("key-%06d-%08x", number, number*2654435761)}},
		)
	}
	return made
}

func backends(count, services int) []message.Backend {
	all := make([]message.Backend, 0, count)
	for number := range count {
		all = append(all, message.Backend{
			Name: fmt.Sprintf("backend-%06d", number), Service: serviceName(number % services),
			Address: fmt.Sprintf("10.%d.%d.%d:8080", number>>16&255, number>>8&255, number&255), Zone: zoneName(number), Capacity: 16,
		})
	}
	return all
}

func members(count int) []message.Member {
	all := make([]message.Member, 0, count)
	for number := range count {
		address := fmt.Sprintf("10.%d.%d.%d", 128+number>>16&127, number>>8&255, number&255)
		all = append(all, message.Member{
			Name: fmt.Sprintf(
				"proxy-%05d",
				number,
			),
			Kind:            message.ProxyKind,
			Zone:            zoneName(number),
			InternalAddress: address + ":7000",
			PublicAddress:   address + ":8000",
			OperatorAddress: address + ":7000",
			Incarnation:     fmt.Sprintf("%016x", number),
			Ready:           true,
		})
	}
	return all
}
