// Package directory is the directory service: it tells callers which proxies to use and for how
// long. Directory.Apply builds an immutable view of each version of settings and members;
// ServeHTTP answers callers from it.
package directory

import (
	"net/http"
	"sort"
	"strings"
	"sync/atomic"
	"time"

	"orchidjunction/agent"
	"orchidjunction/message"
	"orchidjunction/metrics"
	"orchidjunction/rpc"
	"orchidjunction/serviceproxy"
)

const (
	retryAfterMs   = 1000
	nearlyFullLoad = 0.8
)

// Directory answers callers from one immutable view per version.
type Directory struct {
	daemon   *agent.Daemon
	counters *metrics.Counters
	view     atomic.Pointer[View]
}

// View is the immutable view of one version: its routes and the proxies that
// callers may be sent to.
type View struct {
	routes  *serviceproxy.Routes
	proxies []message.Member
	guests  []message.Member
}

// Proxy is one proxy that a caller may use; Address is host:port.
type Proxy struct {
	Name    string `json:"name"`
	Address string `json:"address"`
	Zone    string `json:"zone"`
}

// Placement is the answer to a caller. It is valid for TTLMs milliseconds; the proxies are in
// order of preference.
type Placement struct {
	Serial  uint64  `json:"serial"`
	Tenant  string  `json:"tenant"`
	TTLMs   int64   `json:"hold_ms"`
	Proxies []Proxy `json:"fronts"`
}

// NewDirectory returns a directory without a version; it refuses callers until
// Apply.
func NewDirectory(daemon *agent.Daemon, counters *metrics.Counters) *Directory {
	return &Directory{daemon: daemon, counters: counters}
}

// Register does nothing: directories don't call each other.
func (directory *Directory) Register(*rpc.Server) {}

// Run does nothing: a directory has no background work of its own.
func (directory *Directory) Run() {}

// Apply puts a version in force; one without settings is ignored.
func (directory *Directory) Apply(version *agent.Version) {
	if version.Settings == nil {
		return
	}
	var routes *serviceproxy.Routes
	if before := directory.view.Load(); before != nil {
		routes = before.routes
	}
	if routes == nil || routes.Serial != version.Serial {
		routes = serviceproxy.NewRoutes(version.Serial, version.Settings, routes)
	}
	directory.view.Store(NewView(routes, version.Table.Members))
}

// NewView selects the proxies that callers may be sent to: those ready and not leaving. Proxies
// lent by the other partner are used only while the own ones are too few or nearly at capacity.
func NewView(routes *serviceproxy.Routes, members []message.Member) *View {
	view, demand := &View{routes: routes}, 0.0
	for _, member := range members {
		if member.Kind != message.ProxyKind || !member.Ready || member.Leaving {
			continue
		}
		if member.Guest {
			view.guests = append(view.guests, member)
			continue
		}
		view.proxies = append(view.proxies, member)
		demand += member.Demand
	}
	settings := routes.Settings()
	tooFew := len(view.proxies) < *settings.Rule.Proxies
	nearlyFull := settings.ProxyRps > 0 && demand > nearlyFullLoad*float64(settings.ProxyRps*len(view.proxies))
	if !tooFew && !nearlyFull {
		view.guests = nil
	}
	return view
}

// ServeHTTP answers GET /v1/place with a Placement for the tenant of the bearer
// key.
func (directory *Directory) ServeHTTP(writer http.ResponseWriter, request *http.Request) {
	if _, leaving := directory.daemon.TimeToStop(); leaving {
		writer.Header().Set("Connection", "close")
	}
	placement, err := directory.place(request)
	if err != nil {
		directory.counters.Add("places_"+string(rpc.CodeOf(err)), 1)
		agent.WriteError(writer, err)
		return
	}
	directory.counters.Add("places", 1)
	agent.WriteJSON(writer, http.StatusOK, placement)
}

func (directory *Directory) place(request *http.Request) (*Placement, error) {
	if request.URL.Path != "/v1/place" {
		return nil, rpc.Errorf(rpc.NotFound, "%s", request.URL.Path)
	}
	if request.Method != http.MethodGet {
		return nil, rpc.Errorf(rpc.MethodNotAllowed, "want GET")
	}
	view := directory.view.Load()
	if view == nil || !directory.daemon.Ready() {
		return nil, &rpc.Error{
			Code:         rpc.NotReady,
			Message:      "no confirmed settings are in force on this directory",
			RetryAfterMs: retryAfterMs,
		}
	}
	key, bearer := strings.CutPrefix(request.Header.Get("Authorization"), "Bearer ")
	tenant, found := view.routes.Tenant(key)
	if !bearer || !found {
		return nil, rpc.Errorf(rpc.UnknownKey, "unknown tenant key")
	}
	return view.Place(tenant, request.URL.Query().Get("zone"))
}

// Place returns the proxies for a tenant by rendezvous hashing, those in the caller's zone first,
// with one of each zone before a second one of any. It returns rpc.NoBackend if no proxy may serve
// the tenant.
func (view *View) Place(tenant int, callerZone string) (*Placement, error) {
	settings := view.routes.Settings()
	name := view.routes.TenantName(tenant)
	ranked := view.rank(view.proxies, tenant, callerZone)
	guests := view.rank(view.guests, tenant, callerZone)
	if len(ranked)+len(guests) == 0 {
		return nil, &rpc.Error{Code: rpc.NoBackend, Message: "no proxy is available for this tenant", RetryAfterMs: retryAfterMs}
	}
	limit := view.routes.Proxies(tenant)
	placement := &Placement{
		Serial:  view.routes.Serial,
		Tenant:  name,
		TTLMs:   (time.Duration(*settings.Rule.TTLMs) * time.Millisecond).Milliseconds(),
		Proxies: []Proxy{},
	}
	zones := map[string]int{}
	for round := 0; len(placement.Proxies) < limit && round < len(ranked); round++ {
		for _, proxy := range ranked {
			if zones[proxy.Zone] == round && len(placement.Proxies) < limit && !placement.includes(proxy.Name) {
				zones[proxy.Zone]++
				placement.Proxies = append(placement.Proxies, Proxy{Name: proxy.Name, Address: proxy.PublicAddress, Zone: proxy.Zone})
			}
		}
	}
	if len(guests) > 0 {
		if len(placement.Proxies) == limit && limit > 1 {
			placement.Proxies = placement.Proxies[:limit-1]
		}
		for _, guest := range guests {
			if len(placement.Proxies) < limit {
				placement.Proxies = append(placement.Proxies, Proxy{Name: guest.Name, Address: guest.PublicAddress, Zone: guest.Zone})
			}
		}
	}
	return placement, nil
}

// rank returns the members that may serve a tenant: those in the caller's zone first, then by the
// tenant's rendezvous order.
func (view *View) rank(members []message.Member, tenant int, callerZone string) []message.Member {
	name, ranked := view.routes.TenantName(tenant), []message.Member{}
	for _, proxy := range members {
		if !view.routes.Drained(proxy.Zone) && view.routes.ZoneAllowed(proxy.Zone, tenant) {
			ranked = append(ranked, proxy)
		}
	}
	sort.Slice(ranked, func(left, right int) bool {
		leftInZone, rightInZone := ranked[left].Zone == callerZone, ranked[right].Zone == callerZone
		if leftInZone != rightInZone {
			return leftInZone
		}
		return serviceproxy.Rank(name, ranked[left].Name) > serviceproxy.Rank(name, ranked[right].Name)
	})
	return ranked
}

func (placement *Placement) includes(name string) bool {
	for _, proxy := range placement.Proxies {
		if proxy.Name == name {
			return true
		}
	}
	return false
}
