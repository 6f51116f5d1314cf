package program

import (
	"net/http"
	"time"

	"k8s.io/klog/v2"
	"orchidjunction/member"
	"orchidjunction/run"
	"orchidjunction/wire"
)

// Plane is what a daemon does besides being a member.
type Plane interface {
	http.Handler
	Apply(*member.Version)
	Register(*wire.Door)
	Run()
}

// RunDaemon is the life of a directory node or a proxy.
func RunDaemon(flags *Flags, kind string, make func(*member.Daemon, *run.Threads, *run.Counts) (Plane, func() []wire.Probe)) {
	place := member.Place{Kind: kind}
	grace, settle := 6000, 2500
	flags.Parser.String(&place.Name, "", "name", "this daemon's name, unlike any other's")
	flags.Parser.String(&place.Zone, "", "zone", "zone this daemon stands in")
	flags.Parser.String(&place.Outer, "", "listen", "IP:port for callers")
	flags.Parser.String(&place.Wire, "", "wire", "IP:port for the system's own processes")
	flags.Parser.String(&place.Operate, "", "operate", "IP:port for operators")
	flags.Parser.StringSlice(&place.Seeds, "", "seed", "IP:port of a core's wire side; up to three")
	flags.Parser.Int(&grace, "", "grace-ms", "grace after SIGTERM for what is in flight")
	flags.Parser.Int(&settle, "", "settle-ms", "part of the grace in which callers learn to go elsewhere")
	flags.Parse()
	flags.Exit(place.Check())
	if grace < 0 || settle < 0 || settle > grace {
		flags.Exit(wire.New(wire.BadFlag, "--settle-ms: %d is not in 0 to the grace of %d", settle, grace))
	}
	threads, counts := run.NewThreads(), run.NewCounts()
	line := wire.NewLine(Transport())
	daemon := member.NewDaemon(place, member.NewID(), line, threads, counts)
	plane, probes := make(daemon, threads, counts)
	daemon.Serve(plane.Apply, probes)
	door := wire.NewDoor(counts)
	daemon.Register(door)
	plane.Register(door)
	operate := member.NewOperate(place.Name, daemon.Hold, counts, func() (uint64, []byte) {
		version := daemon.Version()
		return version.Serial, version.Body
	}, daemon.Ready)
	listeners := []*Listener{}
	for _, side := range []struct {
		address string
		handler http.Handler
	}{{place.Outer, plane}, {place.Wire, door}, {place.Operate, operate}} {
		listener, mishap := Listen(side.address, side.handler, 32<<10)
		flags.Exit(mishap)
		listeners = append(listeners, listener)
	}
	for _, listener := range listeners {
		listener.Serve(threads)
	}
	daemon.Run()
	plane.Run()
	LogCounts(threads, counts, place.Name)
	OnTerm(threads, func() {
		begin := time.Now()
		daemon.Leave()
		threads.Rest(time.Duration(settle) * time.Millisecond)
		whole := listeners[0].Drain(time.Duration(grace)*time.Millisecond - time.Since(begin))
		daemon.Farewell()
		klog.Infof("%s: stops, all in flight finished: %v", place.Name, whole)
		threads.Stop()
	})
	threads.OnStop(func() {
		for _, listener := range listeners {
			listener.Close()
		}
	})
	klog.Infof("%s: started in zone %s", place.Name, place.Zone)
	threads.Wait()
	line.Close()
}
