package checker

import (
	"encoding/json"
	"fmt"
	"math/rand/v2"
	"net/http"
	"sync"
	"time"

	"orchidjunction/message"
	"orchidjunction/operator"
	"orchidjunction/rpc"
)

// System is the system that operators work on, real or simulated.
type System interface {
	OperatorAddresses() []string
	Client(door string) *operator.Client
	Serials() []uint64
	Rest(span time.Duration) bool
	Start(duty func())
}

// Ack is an acknowledged change; AtMs is when, in milliseconds since the Unix
// epoch.
type Ack struct {
	Serial uint64
	Base   uint64
	AtMs   int64
}

// Ledger makes changes as operators do and records what they were told.
type Ledger struct {
	system System
	seed   uint64

	mutex     sync.Mutex
	Acked     map[string]Ack
	Refused   map[string]rpc.Code
	Unknown   map[string]bool
	AnswerMs  []float64
	Late      []string
	Behind    []string
	InForceMs []float64
	GapMs     int64
	stopped   bool
	running   int
	number    int
	lastAck   time.Time
}

const (
	answerMost = time.Second
	wholeMost  = 100_000
)

// NewLedger returns a Ledger that changes the settings of system, with decisions
// drawn from seed.
func NewLedger(system System, seed uint64) *Ledger {
	return &Ledger{
		system:  system,
		seed:    seed,
		Acked:   map[string]Ack{},
		Refused: map[string]rpc.Code{},
		Unknown: map[string]bool{},
		lastAck: time.Now(),
	}
}

// Operate starts operators that each change settings at the mean pace. Some changes
// are invalid, some race on the same base; a change whose outcome is unknown is
// sent again unchanged.
func (ledger *Ledger) Operate(operators int, pace time.Duration) {
	for number := range operators {
		ledger.mutex.Lock()
		ledger.running++
		random := rand.New(rand.NewPCG(ledger.seed, uint64(100+ledger.running+100*number)))
		ledger.mutex.Unlock()
		ledger.system.Start(func() {
			for ledger.system.Rest(time.Duration(random.Int64N(int64(2*pace)))) && !ledger.ended() {
				ledger.change(random)
			}
			ledger.mutex.Lock()
			ledger.running--
			ledger.mutex.Unlock()
		})
	}
}

func (ledger *Ledger) ended() bool {
	ledger.mutex.Lock()
	defer ledger.mutex.Unlock()
	return ledger.stopped
}

// Stop ends the operators and waits for their last calls.
func (ledger *Ledger) Stop() {
	ledger.mutex.Lock()
	ledger.stopped = true
	ledger.mutex.Unlock()
	for until := time.Now().Add(20 * time.Second); time.Now().Before(until); {
		ledger.mutex.Lock()
		running := ledger.running
		ledger.mutex.Unlock()
		if running == 0 || !ledger.system.Rest(5*time.Millisecond) {
			return
		}
	}
}

func (ledger *Ledger) timed(what string, call func() error) error {
	begin := time.Now()
	err := call()
	took := time.Since(begin)
	ledger.mutex.Lock()
	defer ledger.mutex.Unlock()
	ledger.AnswerMs = append(ledger.AnswerMs, float64(took.Milliseconds()))
	if took > answerMost {
		ledger.Late = append(ledger.Late, fmt.Sprintf("%s: %d ms", what, took.Milliseconds()))
	}
	return err
}

func (ledger *Ledger) door(random *rand.Rand) (*operator.Client, bool) {
	doors := ledger.system.OperatorAddresses()
	if len(doors) == 0 {
		return nil, false
	}
	return ledger.system.Client(doors[random.IntN(len(doors))]), true
}

// change makes one change at one daemon and keeps what it was told.
func (ledger *Ledger) change(random *rand.Rand) {
	client, found := ledger.door(random)
	if !found {
		return
	}
	var settings *operator.Settings
	err := ledger.timed("read", func() (err error) { settings, err = client.Read(false); return })
	if err != nil || !settings.Confirmed {
		return
	}
	ledger.mutex.Lock()
	ledger.number++
	change := operator.Change{Base: settings.Serial, Change: fmt.Sprintf("change-%d-%d", ledger.seed, ledger.number), Operator: "ledger"}
	ledger.mutex.Unlock()
	change.Settings = []byte(fmt.Sprintf(`{"rule":{"hold_ms":%d}}`, 1000+random.IntN(2000)))
	send := func(client *operator.Client) (*operator.Outcome, error) { return client.Patch(change) }
	switch draw := random.IntN(8); {
	case draw == 0:
		change.Settings = []byte(`{"rule":{"hold_ms":-4,"nonsense":true}}`)
	case draw < 4 && len(settings.Settings) < wholeMost:
		change.Settings = held(settings.Settings, 1000+random.IntN(2000))
		send = func(client *operator.Client) (*operator.Outcome, error) { return client.Put(change) }
	}
	_ = ledger.Make(change, client, random, send) // kept in the ledger
}

// held is the whole tree with another hold.
func held(tree json.RawMessage, hold int) json.RawMessage {
	whole := map[string]json.RawMessage{}
	rule := map[string]any{}
	if json.Unmarshal(tree, &whole) != nil || json.Unmarshal(whole["rule"], &rule) != nil {
		return tree
	}
	rule["hold_ms"] = hold
	whole["rule"], _ = json.Marshal(rule)
	body, _ := json.Marshal(whole)
	return body
}

// Make sends one change, again while its outcome is unknown, records the outcome
// and returns it.
func (ledger *Ledger) Make(
	change operator.Change,
	client *operator.Client,
	random *rand.Rand,
	send func(*operator.Client) (*operator.Outcome, error),
) error {
	var outcome *operator.Outcome
	err := ledger.timed(change.Change, func() (err error) { outcome, err = send(client); return })
	for try := 0; try < 6 && err != nil && (rpc.CodeOf(err) == rpc.OutcomeUnknown || rpc.CodeOf(err) == rpc.Unreachable); try++ {
		ledger.system.Rest(50 * time.Millisecond)
		if client, found := ledger.door(random); found {
			again := ledger.timed(change.Change+" again", func() (err error) { outcome, err = send(client); return })
			if again == nil || rpc.CodeOf(again) != rpc.NotStarted && rpc.CodeOf(again) != rpc.QueueFull {
				err = again
			}
		}
	}
	ledger.mutex.Lock()
	now := time.Now()
	switch {
	case err == nil:
		ledger.Acked[change.Change] = Ack{Serial: outcome.Serial, Base: change.Base, AtMs: now.UnixMilli()}
		ledger.GapMs = max(ledger.GapMs, now.Sub(ledger.lastAck).Milliseconds())
		ledger.lastAck = now
	case rpc.CodeOf(err) == rpc.OutcomeUnknown || rpc.CodeOf(err) == rpc.Unreachable:
		ledger.Unknown[change.Change] = true
	default:
		ledger.Refused[change.Change] = rpc.CodeOf(err)
	}
	ledger.mutex.Unlock()
	if err == nil {
		ledger.follow(outcome.Serial, now)
	}
	return err
}

// follow looks until every daemon that says it is ready has the serial.
func (ledger *Ledger) follow(serial uint64, acked time.Time) {
	for time.Since(acked) < maxLateMs*time.Millisecond {
		behind := 0
		for _, held := range ledger.system.Serials() {
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
		if !ledger.system.Rest(10 * time.Millisecond) {
			return
		}
	}
	ledger.mutex.Lock()
	ledger.Behind = append(ledger.Behind, fmt.Sprintf("serial %d not at every daemon that is ready", serial))
	ledger.mutex.Unlock()
}

// Newest returns the highest serial acknowledged so far.
func (ledger *Ledger) Newest() uint64 {
	ledger.mutex.Lock()
	defer ledger.mutex.Unlock()
	newest := uint64(0)
	for _, ack := range ledger.Acked {
		newest = max(newest, ack.Serial)
	}
	return newest
}

// History reads the history of changes from the cores, from any that answers within
// the limit.
func (ledger *Ledger) History(limit time.Duration) ([]message.HistoryEntry, error) {
	trail := struct {
		Changes []message.HistoryEntry `json:"changes"`
	}{}
	last := rpc.Errorf(rpc.Unreachable, "no door")
	for until := time.Now().Add(limit); time.Now().Before(until); {
		for _, door := range ledger.system.OperatorAddresses() {
			if last = ledger.system.Client(door).Ask(http.MethodGet, "/v1/changes", nil, &trail); last == nil {
				return trail.Changes, nil
			}
		}
		ledger.system.Rest(50 * time.Millisecond)
	}
	return nil, last
}
