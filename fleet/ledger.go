package fleet

import (
	"fmt"
	"math/rand/v2"
	"sync"
	"time"

	"orchidjunction/operator"
	"orchidjunction/wire"
)

// Ledger is what operators were told of every change they made.
type Ledger struct {
	fleet *Fleet

	mutex     sync.Mutex
	Acked     map[string]uint64
	Refused   map[string]wire.Kind
	Unknown   map[string]bool
	LongestMs int64
	Answers   []float64
	Late      []string
	InForceMs []float64
	NotReady  int
	stopped   bool
	number    int
	gap       time.Duration
	lastAck   time.Time
}

func NewLedger(fleet *Fleet) *Ledger {
	return &Ledger{fleet: fleet, Acked: map[string]uint64{}, Refused: map[string]wire.Kind{}, Unknown: map[string]bool{}, lastAck: time.Now()}
}

// Operate lets two operators change settings, now and then on the same base.
func (ledger *Ledger) Operate(pace time.Duration) {
	for operatorNumber := range 2 {
		random := rand.New(rand.NewPCG(ledger.fleet.Spec.Seed, uint64(operatorNumber)))
		ledger.fleet.threads.Start(func() {
			for ledger.fleet.threads.Rest(pace/2+time.Duration(random.Int64N(int64(pace)))) && !ledger.ended() {
				ledger.change(random)
			}
		})
	}
}

func (ledger *Ledger) ended() bool {
	ledger.mutex.Lock()
	defer ledger.mutex.Unlock()
	return ledger.stopped
}

func (ledger *Ledger) Stop() {
	ledger.mutex.Lock()
	ledger.stopped = true
	ledger.mutex.Unlock()
}

// change makes one change at one daemon and keeps what it was told.
func (ledger *Ledger) change(random *rand.Rand) {
	daemons := append(ledger.fleet.daemons(), ledger.fleet.Cores...)
	door := daemons[random.IntN(len(daemons))]
	if !door.Alive() {
		return
	}
	client := operator.NewClient([]string{door.Operate}, nil)
	begin := time.Now()
	settings, mishap := client.Read(false)
	ledger.note(door.Name, "read", begin, mishap)
	if mishap != nil || !settings.Confirmed {
		return
	}
	ledger.mutex.Lock()
	ledger.number++
	change := operator.Change{Base: settings.Serial, Change: fmt.Sprintf("change-%d-%d", ledger.fleet.Spec.Seed, ledger.number), Operator: "ledger"}
	ledger.mutex.Unlock()
	change.Settings = []byte(fmt.Sprintf(`{"rule":{"hold_ms":%d}}`, 1000+random.IntN(2000)))
	if random.IntN(8) == 0 {
		change.Settings = []byte(`{"rule":{"hold_ms":-4,"nonsense":true}}`)
	}
	begin = time.Now()
	outcome, mishap := client.Patch(change)
	ledger.note(door.Name, change.Change, begin, mishap)
	for try := 0; mishap != nil && mishap.Kind == wire.OutcomeUnknown && try < 5; try++ {
		begin = time.Now()
		outcome, mishap = ledger.fleet.Operator(random.IntN(len(daemons))).Patch(change)
		ledger.note("again", change.Change, begin, mishap)
	}
	if mishap != nil && mishap.Kind == wire.Unreachable && !door.Alive() {
		mishap = &wire.Mishap{Kind: wire.OutcomeUnknown}
	}
	acked := time.Now()
	ledger.mutex.Lock()
	switch {
	case mishap == nil:
		ledger.Acked[change.Change] = outcome.Serial
		ledger.gap = max(ledger.gap, acked.Sub(ledger.lastAck))
		ledger.lastAck = acked
	case mishap.Kind == wire.OutcomeUnknown || mishap.Kind == wire.Unreachable:
		ledger.Unknown[change.Change] = true
	default:
		ledger.Refused[change.Change] = mishap.Kind
	}
	ledger.mutex.Unlock()
	if mishap == nil {
		ledger.inForce(outcome.Serial, acked)
	}
}

func (ledger *Ledger) note(door, change string, begin time.Time, mishap *wire.Mishap) {
	took := time.Since(begin).Milliseconds()
	ledger.mutex.Lock()
	defer ledger.mutex.Unlock()
	ledger.LongestMs = max(ledger.LongestMs, took)
	ledger.Answers = append(ledger.Answers, float64(took))
	if took > 1000 {
		ledger.Late = append(ledger.Late, fmt.Sprintf("%s at %s: %d ms", change, door, took))
	}
}

// inForce follows a change until every daemon that serves has it.
func (ledger *Ledger) inForce(serial uint64, acked time.Time) {
	for time.Since(acked) < 4*time.Second {
		behind := 0
		for _, held := range ledger.fleet.Serials() {
			if held > 0 && held < serial {
				behind++
			}
		}
		if behind == 0 {
			ledger.mutex.Lock()
			ledger.InForceMs = append(ledger.InForceMs, float64(time.Since(acked).Milliseconds()))
			ledger.mutex.Unlock()
			return
		}
		if !ledger.fleet.threads.Rest(10 * time.Millisecond) {
			return
		}
	}
	ledger.mutex.Lock()
	ledger.Late = append(ledger.Late, fmt.Sprintf("serial %d not in force everywhere after 4 s", serial))
	ledger.mutex.Unlock()
}
