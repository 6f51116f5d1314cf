package member

import (
	"context"
	"maps"
	"sync"
	"sync/atomic"
	"time"

	"orchidjunction/clock"
	"orchidjunction/concurrent"
	"orchidjunction/control"
	"orchidjunction/message"
	"orchidjunction/metrics"
	"orchidjunction/rpc"

	"k8s.io/klog/v2"
)

// Place is what a daemon learns of itself from flags or its file.
type Place struct {
	Name    string
	Kind    string
	Zone    string
	Wire    string
	Outer   string
	Operate string
	Seeds   []string
	Guest   bool

	Paces       Paces
	Hold        HoldLimits
	Direct      bool
	ServesAlone bool
	Routed      bool
	Wall        func() int64
}

func (place *Place) Check() error {
	if place.Name == "" || place.Zone == "" {
		return rpc.Errorf(rpc.BadFlag, "--name and --zone must be given")
	}
	if len(place.Seeds) == 0 || len(place.Seeds) > 3 {
		return rpc.Errorf(rpc.BadFlag, "--seed: %d seeds, want one to three", len(place.Seeds))
	}
	for _, seed := range place.Seeds {
		if err := control.CheckAddress("--seed", seed); err != nil {
			return err
		}
	}
	for flag, address := range map[string]string{"--wire": place.Wire, "--listen": place.Outer, "--operate": place.Operate} {
		if err := control.CheckAddress(flag, address); err != nil {
			return err
		}
	}
	return nil
}

const (
	watchMost    = 10 * time.Second
	behindSpan   = 500 * time.Millisecond
	aloneSpan    = 3 * time.Second
	behindServes = 2 * time.Second
	fetchTries   = 3
	stillSpan    = 2 * time.Second
)

// Daemon is a member: it keeps a session, holds a version and relays news.
type Daemon struct {
	place       Place
	incarnation string
	line        *rpc.Client
	goroutines  *concurrent.Group
	counters    *metrics.Counters
	Finder      *Finder
	Hold        *Hold
	news        *concurrent.Condition
	version     atomic.Pointer[Version]
	apply       func(*Version)
	probes      func() []message.Probe
	keeper      func() bool
	warm        func() bool
	usage       func() map[string]uint64
	windows     func() []message.WindowCount
	demand      func() float64
	finish      func(rest time.Duration)
	counted     map[string]uint64
	reach       Reach
	paces       Paces
	clock       *clock.Clock
	metered     Metered
	saying      *concurrent.Lock
	watched     Watched
	taking      sync.Mutex
	catching    atomic.Bool

	mutex     sync.Mutex
	core      string
	told      message.SessionResponse
	heard     time.Time
	behind    time.Time
	seen      uint64
	seenSince time.Time
	confirmed bool
	once      bool
	pulse     time.Time
	doubted   time.Time
	leaving   bool
	gone      bool
	ends      time.Time
	parent    string
	failed    map[string]time.Time
	around    time.Time
	led       message.Term
}

func NewDaemon(place Place, incarnation string, client *rpc.Client, goroutines *concurrent.Group, counters *metrics.Counters) *Daemon {
	daemon := &Daemon{place: place, incarnation: incarnation, line: client, goroutines: goroutines, counters: counters,
		news: concurrent.NewCondition(), saying: concurrent.NewLock(), pulse: time.Now(), failed: map[string]time.Time{}, apply: func(*Version) {}, probes: func() []message.Probe { return nil }, keeper: func() bool { return false }, warm: func() bool { return true }, usage: func() map[string]uint64 { return nil }, demand: func() float64 { return 0 }, finish: func(time.Duration) {}}
	if place.Wall == nil {
		place.Wall = func() int64 { return time.Now().UnixMilli() }
	}
	daemon.paces, daemon.clock = place.Paces.filled(), clock.NewClock(place.Wall)
	daemon.windows = func() []message.WindowCount { return nil }
	daemon.reach.core, daemon.doubted = time.Now(), time.Now()
	daemon.Finder = NewFinder(client, goroutines, place.Seeds).Paced(daemon.paces)
	if place.Direct && place.Routed {
		daemon.Finder.told = daemon.begin
	}
	daemon.Hold = NewHold(daemon.Finder, client, counters).Within(place.Hold)
	daemon.version.Store(&Version{Table: &message.Table{}})
	return daemon
}

// Serve names what uses each new version and what it found at the backends.
func (daemon *Daemon) Serve(apply func(*Version), probes func() []message.Probe) {
	daemon.apply = apply
	if probes != nil {
		daemon.probes = probes
	}
}

// Keep names what tells whether this daemon keeps claims.
func (daemon *Daemon) Keep(keeper func() bool) { daemon.keeper = keeper }

// Ask names what gives the tasks a second that callers ask of this daemon.
func (daemon *Daemon) Ask(demand func() float64) { daemon.demand = demand }

// Count names what gives the tasks served so far, by tenant.
func (daemon *Daemon) Count(usage func() map[string]uint64) { daemon.usage = usage }

// Meter names what gives the requests begun so far, by window and tenant, of the
// last few windows.
func (daemon *Daemon) Meter(windows func() []message.WindowCount) { daemon.windows = windows }

// Now is the time of day as the cores agree on it, in milliseconds.
func (daemon *Daemon) Now() int64 { return daemon.clock.Now() }

// Finish names what must be told to others before a planned end.
func (daemon *Daemon) Finish(finish func(rest time.Duration)) { daemon.finish = finish }

func (daemon *Daemon) Line() *rpc.Client { return daemon.line }

func (daemon *Daemon) Incarnation() string { return daemon.incarnation }

func (daemon *Daemon) Run() {
	daemon.Finder.Run()
	daemon.goroutines.OnStop(daemon.news.Notify)
	daemon.goroutines.Start(daemon.speak)
	if daemon.place.Direct {
		daemon.goroutines.OnStop(func() { daemon.watched.leave(daemon.watched.now()) })
		daemon.goroutines.Start(daemon.follow)
	} else {
		daemon.goroutines.Start(daemon.relay)
	}
	daemon.goroutines.Start(daemon.confirm)
	daemon.goroutines.Every(concurrent.Fixed(daemon.paces.Feel), daemon.feel)
	if !daemon.place.ServesAlone {
		daemon.goroutines.Every(concurrent.Fixed(daemon.paces.Look), daemon.look)
	}
	if daemon.paces.Count > 0 {
		daemon.goroutines.Every(concurrent.Fixed(daemon.paces.Count), daemon.count)
	}
}

// speak keeps the session, at once when another leader is known or this daemon
// became ready.
func (daemon *Daemon) speak() {
	if !daemon.place.Direct {
		daemon.goroutines.Every(concurrent.Fixed(daemon.paces.Session), daemon.session)
		return
	}
	for !daemon.goroutines.Stopping() {
		seen := daemon.Finder.bell.Count()
		daemon.session()
		daemon.Finder.bell.Wait(seen, daemon.paces.Session)
	}
}

// feel finds that this process stood still: what it holds may be long out of
// force, so it serves again only on a newly confirmed serial, as after a start.
func (daemon *Daemon) feel() {
	daemon.mutex.Lock()
	stood := time.Since(daemon.pulse) > daemon.paces.still()
	daemon.pulse = time.Now()
	daemon.mutex.Unlock()
	if stood {
		daemon.counters.Add("stood_still", 1)
		klog.Infof("%s: stood still, asks for a newly confirmed serial", daemon.place.Name)
		daemon.doubt()
	}
	if daemon.asksAround() {
		daemon.goroutines.Start(daemon.askAround)
	}
}

func (daemon *Daemon) Register(server *rpc.Server) {
	rpc.Handle(server, "watch", daemon.onWatch)
	rpc.Handle(server, "fetch", daemon.onFetch)
	rpc.Handle(server, "parts", daemon.onParts)
	rpc.Handle(server, "who", daemon.onWho)
	rpc.Handle(server, "change", func(_ context.Context, change *message.ChangeRequest) (*message.ChangeResponse, error) {
		response, err := Send[message.ChangeRequest, message.ChangeResponse](daemon.Hold, "change", change)
		if err != nil {
			return nil, err
		}
		return response, nil
	})
}

func (daemon *Daemon) Version() *Version { return daemon.version.Load() }

// Warm names what tells whether this daemon has looked at what it needs.
func (daemon *Daemon) Warm(warm func() bool) { daemon.warm = warm }

// Ready is true once a confirmed serial is in force and nothing newer was seen for long.
func (daemon *Daemon) Ready() bool {
	version, warm, cut := daemon.Version(), daemon.warm(), daemon.reach.Cut()
	daemon.mutex.Lock()
	defer daemon.mutex.Unlock()
	late := daemon.seen > version.Serial && time.Since(daemon.seenSince) > behindServes
	still := time.Since(daemon.pulse) > daemon.paces.still()
	if daemon.place.Routed {
		alone := daemon.place.ServesAlone && time.Since(daemon.doubted) > aloneSpan
		cut = cut && !daemon.place.ServesAlone
		return (daemon.confirmed || alone) && warm && !cut && !still && version.Routing > 0 && version.Table.Complete
	}
	return daemon.confirmed && warm && !cut && !late && !still && version.Serial > 0 && version.Table.Complete
}

// Seen takes a serial that a backend has seen; being behind it starts a catching up.
func (daemon *Daemon) Seen(serial uint64) {
	if daemon.note(serial) {
		daemon.counters.Add("behind_a_backend", 1)
	}
}

// note keeps a newer serial than the one in force here, and since when it is known.
func (daemon *Daemon) note(serial uint64) bool {
	if serial <= daemon.Version().Serial {
		return false
	}
	daemon.mutex.Lock()
	if serial > daemon.seen {
		if daemon.seen <= daemon.Version().Serial {
			daemon.seenSince = time.Now()
		}
		daemon.seen = serial
	}
	daemon.mutex.Unlock()
	return true
}

func (daemon *Daemon) member() message.Member {
	ready, keeper, demand := daemon.Ready(), daemon.keeper(), daemon.demand()
	daemon.mutex.Lock()
	defer daemon.mutex.Unlock()
	return message.Member{Name: daemon.place.Name, Kind: daemon.place.Kind, Zone: daemon.place.Zone, InternalAddress: daemon.place.Wire,
		PublicAddress: daemon.place.Outer, OperatorAddress: daemon.place.Operate, Incarnation: daemon.incarnation, Leaving: daemon.leaving, Ready: ready && !daemon.leaving, KeyReplica: keeper && !daemon.leaving, Demand: demand, Guest: daemon.place.Guest}
}

// session tells a core that this daemon lives; a silent core is left for the next.
func (daemon *Daemon) session() {
	daemon.saying.Lock()
	defer daemon.saying.Unlock()
	version := daemon.Version()
	asked := time.Now()
	daemon.mutex.Lock()
	parent, gone := daemon.parent, daemon.gone && daemon.place.Direct
	daemon.mutex.Unlock()
	core := daemon.sessionCore()
	now := daemon.Now()
	session := &message.Session{Member: daemon.member(), Serial: version.Serial, Table: version.Table.Version, Parent: parent, Probes: daemon.probes(), Usage: daemon.usage(),
		Routing: version.Routing, NowMs: now, Ended: gone}
	session.Windows, session.BaseProcess = daemon.metered.fresh(core, daemon.windows())
	response, err := rpc.Call[message.Session, message.SessionResponse](daemon.line, core, "session", daemon.paces.ask(), session)
	trip := time.Since(asked)
	daemon.mutex.Lock()
	if err != nil {
		daemon.failed[core] = time.Now()
		daemon.mutex.Unlock()
		daemon.counters.Add("sessions_failed", 1)
		if daemon.place.Direct {
			daemon.silent(core)
		}
		return
	}
	daemon.metered.took(session.Windows, response.Process)
	daemon.told, daemon.heard = *response, time.Now()
	if response.Leader.Known() {
		daemon.reach.heardCore(asked)
	} else if daemon.place.Direct || daemon.reach.quiet() {
		daemon.failed[core] = time.Now()
	}
	if !version.behind(response.Serial, response.Routing, response.Table) {
		daemon.behind = time.Time{}
	} else if daemon.behind.IsZero() {
		daemon.behind = time.Now()
	}
	daemon.mutex.Unlock()
	daemon.note(response.Serial)
	daemon.Finder.Learn(response.Membership, response.Cores)
	before := daemon.Finder.Leader().Term
	daemon.Finder.Heard(response.Leader)
	if response.NowMs > 0 {
		daemon.clock.AddRoundTrip(response.NowMs, trip)
	}
	if daemon.place.Direct {
		daemon.turn(core, response.Leader, before)
		daemon.catchUp(core)
	}
}

// count tells the leader what was sent since it was told last: what only this
// process knows is lost with it. Sessions tell it too, to whichever core.
func (daemon *Daemon) count() {
	leader, usage := daemon.Finder.Leader(), daemon.usage()
	if !leader.Known() || maps.Equal(usage, daemon.counted) {
		return
	}
	if _, err := rpc.Call[message.UsageCountRequest, message.UsageCountResponse](daemon.line, leader.Address, "count", daemon.paces.ask(), &message.UsageCountRequest{Incarnation: daemon.incarnation, Usage: usage}); err == nil {
		daemon.counted = usage
	}
}

// Leave tells the cores at once that nothing more should come here.
func (daemon *Daemon) Leave() {
	daemon.mutex.Lock()
	daemon.leaving = true
	daemon.mutex.Unlock()
	daemon.session()
}

// Retire is a daemon's planned end: placements leave it out, what is in flight
// ends within the grace, and the last counts are told. True when all ended.
func (daemon *Daemon) Retire(settle, grace time.Duration, drain func(rest time.Duration) bool) bool {
	begin := time.Now()
	daemon.mutex.Lock()
	daemon.ends = begin.Add(grace)
	daemon.mutex.Unlock()
	daemon.Leave()
	daemon.goroutines.Sleep(settle)
	whole := drain(grace - time.Since(begin))
	daemon.finish(grace - time.Since(begin))
	daemon.Farewell()
	return whole
}

// Stays is how long this daemon still serves, when its end is planned.
func (daemon *Daemon) Stays() (time.Duration, bool) {
	daemon.mutex.Lock()
	defer daemon.mutex.Unlock()
	return time.Until(daemon.ends), daemon.leaving && !daemon.ends.IsZero()
}

// Farewell tells the last counts, to another core if the first is silent.
func (daemon *Daemon) Farewell() {
	daemon.mutex.Lock()
	daemon.gone = true
	daemon.mutex.Unlock()
	for range daemon.Finder.Cores() {
		daemon.mutex.Lock()
		before := daemon.heard
		daemon.mutex.Unlock()
		daemon.session()
		daemon.mutex.Lock()
		heard := daemon.heard.After(before)
		daemon.mutex.Unlock()
		if heard {
			return
		}
	}
}

// confirm lets a started daemon serve only on a serial that the leader proved.
func (daemon *Daemon) confirm() {
	for !daemon.goroutines.Stopping() {
		leader := daemon.Finder.Wait(time.Second)
		if leader.Known() {
			response, err := rpc.Call[message.ReadIndexRequest, message.ReadIndexResponse](daemon.line, leader.Address, "confirm", daemon.paces.ask(), &message.ReadIndexRequest{})
			if err == nil && daemon.upTo(leader, response) {
				daemon.mutex.Lock()
				daemon.confirmed, daemon.once = true, true
				daemon.mutex.Unlock()
				daemon.Finder.bell.Notify()
				klog.Infof("%s: serial %d, routing %d confirmed", daemon.place.Name, response.Serial, response.Routing)
				return
			}
			if err != nil {
				daemon.Finder.Drop(leader, false)
			}
		}
		daemon.goroutines.Sleep(daemon.paces.Session / 3)
	}
}

// upTo is whether what the leader proved is in force here, after a fetch if need be.
func (daemon *Daemon) upTo(leader message.Leader, response *message.ReadIndexResponse) bool {
	if response.Serial == 0 && !daemon.place.Routed || response.Routing == 0 && daemon.place.Routed {
		return false
	}
	holds := func() bool {
		return !daemon.Version().behind(response.Serial, response.Routing, message.TableVersion{})
	}
	return holds() || daemon.fetch(context.Background(), leader.Address) && holds()
}

func (daemon *Daemon) Zone() string { return daemon.place.Zone }

func (daemon *Daemon) Name() string { return daemon.place.Name }
