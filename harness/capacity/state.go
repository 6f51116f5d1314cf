package capacity

import (
	"fmt"
	"io"
	"net"
	"runtime"
	"syscall"
	"time"

	"orchidjunction/concurrent"
	"orchidjunction/hostproxy"
	"orchidjunction/message"
	"orchidjunction/metrics"
	"orchidjunction/routing"
	"orchidjunction/rpc"
)

// State is what one size of one kind of state costs a process that holds nothing
// else; milliseconds are of processor time.
type State struct {
	Kind     string
	Size     int
	PackedKB float64
	PackMs   float64
	UnpackMs float64
	ApplyMs  float64
	HeldMB   float64
}

// States are the states that were measured, in sizes from small to large.
type States struct {
	Results []State
}

var stateSizes = map[string][]int{
	"routes":   {1000, 10000, 40000, 130000},
	"tenants":  {1000, 10000, 100000, 610000},
	"backends": {100, 1000, 10000, 85000},
	"members":  {12, 192, 3072, 16000},
	"owners":   {12, 48, 192, 768},
}

var stateKinds = []string{"routes", "tenants", "backends", "members", "owners"}

const ownersBackends = 1000

// PlayStates measures configurations and tables as a daemon takes them: decoded
// from a message, then applied to a proxy. The kind "owners" is members beside
// 1,000 backends.
func PlayStates(folder string, progress io.Writer) error {
	all := &States{}
	for _, kind := range stateKinds {
		for _, size := range stateSizes[kind] {
			state, err := measureState(kind, size)
			if err != nil {
				return err
			}
			all.Results = append(all.Results, *state)
			_, _ = fmt.Fprintf(progress, "%s %d: %+v\n", kind, size, *state)
		}
	}
	return write(folder, "state", all)
}

func heldBytes() uint64 {
	runtime.GC()
	runtime.GC()
	stats := runtime.MemStats{}
	runtime.ReadMemStats(&stats)
	return stats.HeapAlloc
}

func measureState(kind string, size int) (*State, error) {
	book, table := &routing.State{
		Config: *config(1, 1, 1, 0),
	}, &message.Table{
		Version:  message.TableVersion{Term: message.Term{Number: 1, Core: 1}, Number: 1},
		Complete: true,
	}
	services := max(1, min(size, 3100))
	switch kind {
	case "routes":
		book = &routing.State{Config: *config(1, size, services, 0)}
	case "tenants":
		book = &routing.State{Config: *config(1, 1, 1, size)}
	case "backends":
		book, table.Backends = &routing.State{Config: *config(1, services, services, 0)}, backends(size, services)
	case "members":
		table.Members = members(size)
	case "owners":
		table.Members, table.Backends = members(size), backends(ownersBackends, 1)
	}
	inBook := kind == "routes" || kind == "tenants"
	state := &State{Kind: kind, Size: size}
	begin := processorMs()
	var body []byte
	var err error
	if inBook {
		body, err = rpc.Marshal(book)
	} else {
		body, err = rpc.Marshal(table)
	}
	if err != nil {
		return nil, rpc.AsError(err)
	}
	state.PackMs, state.PackedKB = processorMs()-begin, float64(len(body))/1024
	plane := hostproxy.NewProxy(
		hostproxy.Config{Name: "proxy-00000", Zone: zoneName(0), Regions: regions(), RetryRatio: 0.1, RetryExtra: 10, WarmupExcess: 1},
		(&net.Dialer{}).DialContext,
		func() int64 { return time.Now().UnixMilli() },
		concurrent.NewGroup(),
		metrics.NewCounters(),
	)
	before := heldBytes()
	taken, laid := book, table
	begin = processorMs()
	if inBook {
		taken = &routing.State{}
		err = rpc.Unmarshal(body, taken)
	} else {
		laid = &message.Table{}
		err = rpc.Unmarshal(body, laid)
	}
	if err != nil {
		return nil, rpc.AsError(err)
	}
	state.UnpackMs = processorMs() - begin
	begin = processorMs()
	plane.Apply(taken, laid)
	state.ApplyMs = processorMs() - begin
	after := heldBytes()
	state.HeldMB = max(0, (float64(after)-float64(before))/(1<<20))
	runtime.KeepAlive(plane)
	runtime.KeepAlive(book)
	runtime.KeepAlive(table)
	runtime.KeepAlive(body)
	runtime.KeepAlive(taken)
	runtime.KeepAlive(laid)
	return state, nil
}

// processorMs is the processor time of this process so far, its collector's too.
func processorMs() float64 {
	usage := syscall.Rusage{}
	_ = syscall.Getrusage(syscall.RUSAGE_SELF, &usage) // fails for wrong arguments only
	return float64(usage.Utime.Nano()+usage.Stime.Nano()) / 1e6
}
