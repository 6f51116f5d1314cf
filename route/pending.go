package route

import "strings"

// Compiled is a route with its services as dense indices.
type Compiled struct {
	*Route
	Services   []int
	Cumulative []int
}

// Index is a book compiled for lookup.
type Index struct {
	Book     *Book
	Services []Service
	hosts    map[string][]*Compiled
	keys     map[string]*Tenant
	dense    map[string]int
}

func NewIndex(book *Book) *Index {
	index := &Index{Book: book, Services: book.Config.Services, hosts: map[string][]*Compiled{}, keys: map[string]*Tenant{}, dense: map[string]int{}}
	for number := range index.Services {
		index.dense[index.Services[number].Name] = number
	}
	for number := range book.Config.Tenants {
		for _, key := range book.Config.Tenants[number].Keys {
			index.keys[key] = &book.Config.Tenants[number]
		}
	}
	for number := range book.Config.Routes {
		route := &book.Config.Routes[number]
		compiled := &Compiled{Route: route}
		shares := route.Split
		if len(shares) == 0 {
			shares = []Share{{Service: route.Service, Weight: 1}}
		}
		total := 0
		for _, share := range shares {
			number, known := index.dense[share.Service]
			if !known {
				continue
			}
			total += share.Weight
			compiled.Services = append(compiled.Services, number)
			compiled.Cumulative = append(compiled.Cumulative, total)
		}
		if len(compiled.Services) == 0 {
			continue
		}
		index.hosts[route.Host] = append(index.hosts[route.Host], compiled)
	}
	return index
}

func (index *Index) Find(host, path string) (*Compiled, bool) {
	var best *Compiled
	for _, compiled := range index.hosts[host] {
		if strings.HasPrefix(path, compiled.Prefix) && (best == nil || len(best.Prefix) < len(compiled.Prefix)) {
			best = compiled
		}
	}
	return best, best != nil
}

func (index *Index) TenantOf(key string) (*Tenant, bool) {
	tenant, found := index.keys[key]
	return tenant, found
}

func (index *Index) ServiceIndex(name string) (int, bool) {
	number, found := index.dense[name]
	return number, found
}
