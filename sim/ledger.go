package sim

import (
	"encoding/json"
	"fmt"
	"math/rand/v2"
	"net/http"
	"sync"
	"time"

	"orchidjunction/operator"
	"orchidjunction/wire"
)

// Ledger is what racing operators were told.
type Ledger struct {
	world *World

	mutex   sync.Mutex
	stopped bool
	running int
	number  int
	Acked   map[string]uint64
	Refused map[string]wire.Kind
	Unknown map[string]bool
	Longest time.Duration
}

// Operators starts racing operators; some of their changes are invalid, and
// changes whose outcome is unknown are sent again under the same id.
func (world *World) Operators(count int, pace time.Duration) *Ledger {
	ledger := &Ledger{world: world, Acked: map[string]uint64{}, Refused: map[string]wire.Kind{}, Unknown: map[string]bool{}}
	for operatorNumber := range count {
		random := rand.New(rand.NewPCG(world.Seed, uint64(100+operatorNumber)))
		ledger.running++
		world.threads.Start(func() {
			for {
				world.threads.Rest(time.Duration(random.Int64N(int64(2 * pace))))
				ledger.mutex.Lock()
				stopped := ledger.stopped
				ledger.mutex.Unlock()
				if stopped {
					break
				}
				ledger.change(random)
			}
			ledger.mutex.Lock()
			ledger.running--
			ledger.mutex.Unlock()
		})
	}
	return ledger
}

// Stop waits for the operators' last calls.
func (ledger *Ledger) Stop() {
	ledger.mutex.Lock()
	ledger.stopped = true
	ledger.mutex.Unlock()
	ledger.world.Until(20*time.Second, func() bool {
		ledger.mutex.Lock()
		defer ledger.mutex.Unlock()
		return ledger.running == 0
	})
}

func (ledger *Ledger) timed(call func() *wire.Mishap) *wire.Mishap {
	begin := time.Now()
	mishap := call()
	ledger.mutex.Lock()
	ledger.Longest = max(ledger.Longest, time.Since(begin))
	ledger.mutex.Unlock()
	return mishap
}

func (ledger *Ledger) change(random *rand.Rand) {
	doors := ledger.world.Doors()
	if len(doors) == 0 {
		return
	}
	client := ledger.world.Client(doors[random.IntN(len(doors))])
	var settings *operator.Settings
	mishap := ledger.timed(func() (mishap *wire.Mishap) { settings, mishap = client.Read(false); return })
	if mishap != nil || !settings.Confirmed {
		return
	}
	ledger.mutex.Lock()
	ledger.number++
	change := operator.Change{Base: settings.Serial, Change: fmt.Sprintf("c%d", ledger.number), Settings: Settings(1000 + ledger.number)}
	ledger.mutex.Unlock()
	if random.IntN(8) == 0 {
		change.Settings = json.RawMessage(`{"format":1,"partner":"no more than this"}`)
	}
	var outcome *operator.Outcome
	ledger.world.threads.Rest(time.Duration(random.IntN(30)) * time.Millisecond)
	mishap = ledger.timed(func() (mishap *wire.Mishap) { outcome, mishap = client.Put(change); return })
	for try := 0; try < 6 && mishap != nil && (mishap.Kind == wire.OutcomeUnknown || mishap.Kind == wire.Unreachable); try++ {
		ledger.world.threads.Rest(50 * time.Millisecond)
		doors = ledger.world.Doors()
		if len(doors) == 0 {
			continue
		}
		client = ledger.world.Client(doors[random.IntN(len(doors))])
		again := ledger.timed(func() (mishap *wire.Mishap) { outcome, mishap = client.Put(change); return })
		if again == nil || again.Kind != wire.NotStarted && again.Kind != wire.HoldFull {
			mishap = again
		}
	}
	ledger.mutex.Lock()
	defer ledger.mutex.Unlock()
	switch {
	case mishap == nil:
		ledger.Acked[change.Change] = outcome.Serial
		if outcome.Serial != change.Base+1 {
			ledger.world.broke("%s based on %d acknowledged as %d", change.Change, change.Base, outcome.Serial)
		}
	case mishap.Kind == wire.OutcomeUnknown || mishap.Kind == wire.Unreachable:
		ledger.Unknown[change.Change] = true
	default:
		ledger.Refused[change.Change] = mishap.Kind
	}
}

// Judge compares what operators were told with the trail that the cores kept.
func (ledger *Ledger) Judge() {
	world := ledger.world
	trail := struct {
		Changes []wire.Entry `json:"changes"`
	}{}
	var mishap *wire.Mishap
	if !world.Until(20*time.Second, func() bool {
		doors := world.Doors()
		if len(doors) == 0 {
			return false
		}
		mishap = world.Client(doors[0]).Ask(http.MethodGet, "/v1/changes", nil, &trail)
		return mishap == nil
	}) {
		world.broke("no trail at the end: %v", mishap)
		return
	}
	kept, last := map[string]uint64{}, uint64(0)
	for _, entry := range trail.Changes {
		if entry.Serial <= last {
			world.broke("trail goes from %d to %d", last, entry.Serial)
		}
		last = entry.Serial
		if _, twice := kept[entry.Change]; twice {
			world.broke("%s is in the trail twice", entry.Change)
		}
		kept[entry.Change] = entry.Serial
	}
	for change, serial := range ledger.Acked {
		if kept[change] != serial {
			world.broke("%s acknowledged as %d, kept as %d", change, serial, kept[change])
		}
	}
	for change, kind := range ledger.Refused {
		if kept[change] != 0 {
			world.broke("%s refused as %s, in force as %d", change, kind, kept[change])
		}
	}
}
