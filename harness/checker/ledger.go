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

// System is the system under test, real or simulated.
type System interface {
	OperatorAddresses() []string
	Client(address string) *operator.Client
	Serials() []uint64
	Sleep(span time.Duration) bool
	Start(function func())
}

// Ack is an acknowledged change; AtMs is the time in milliseconds since the Unix epoch.
type Ack struct {
	Serial uint64
	Base   uint64
	AtMs   int64
}

// ChangeRecorder changes settings as operators do and records the outcomes.
type ChangeRecorder struct {
	system System
	seed   uint64

	mutex            sync.Mutex
	Acked            map[string]Ack
	Refused          map[string]rpc.Code
	Unknown          map[string]bool
	AnswerMs         []float64
	SlowCalls        []string
	NotInForce       []string
	InForceMs        []float64
	LongestAckGapMs  int64
	stopped          bool
	runningOperators int
	changesMade      int
	lastAck          time.Time
}

const (
	maxAnswerTime    = time.Second
	maxReplacedBytes = 100_000
)

// NewChangeRecorder returns a ChangeRecorder that changes the settings of system, with random choices
// drawn from seed.
func NewChangeRecorder(system System, seed uint64) *ChangeRecorder {
	return &ChangeRecorder{
		system:  system,
		seed:    seed,
		Acked:   map[string]Ack{},
		Refused: map[string]rpc.Code{},
		Unknown: map[string]bool{},
		lastAck: time.Now(),
	}
}

// StartOperators starts operators that each change settings at intervals of pace on average. Some changes
// are invalid, some race on the same base; a change with an unknown outcome is
// retried unchanged.
func (ledger *ChangeRecorder) StartOperators(operators int, pace time.Duration) {
	for number := range operators {
		ledger.mutex.Lock()
		ledger.runningOperators++
		random := rand.New(rand.NewPCG(ledger.seed, uint64(100+ledger.runningOperators+100*number)))
		ledger.mutex.Unlock()
		ledger.system.Start(func() {
			for ledger.system.Sleep(time.Duration(random.Int64N(int64(2*pace)))) && !ledger.isStopped() {
				ledger.change(random)
			}
			ledger.mutex.Lock()
			ledger.runningOperators--
			ledger.mutex.Unlock()
		})
	}
}

func (ledger *ChangeRecorder) isStopped() bool {
	ledger.mutex.Lock()
	defer ledger.mutex.Unlock()
	return ledger.stopped
}

// Stop stops the operators and waits for their last calls.
func (ledger *ChangeRecorder) Stop() {
	ledger.mutex.Lock()
	ledger.stopped = true
	ledger.mutex.Unlock()
	for until := time.Now().Add(20 * time.Second); time.Now().Before(until); {
		ledger.mutex.Lock()
		running := ledger.runningOperators
		ledger.mutex.Unlock()
		if running == 0 || !ledger.system.Sleep(5*time.Millisecond) {
			return
		}
	}
}

func (ledger *ChangeRecorder) timeCall(what string, call func() error) error {
	begin := time.Now()
	err := call()
	took := time.Since(begin)
	ledger.mutex.Lock()
	defer ledger.mutex.Unlock()
	ledger.AnswerMs = append(ledger.AnswerMs, float64(took.Milliseconds()))
	if took > maxAnswerTime {
		ledger.SlowCalls = append(ledger.SlowCalls, fmt.Sprintf("%s: %d ms", what, took.Milliseconds()))
	}
	return err
}

func (ledger *ChangeRecorder) randomClient(random *rand.Rand) (*operator.Client, bool) {
	addresses := ledger.system.OperatorAddresses()
	if len(addresses) == 0 {
		return nil, false
	}
	return ledger.system.Client(addresses[random.IntN(len(addresses))]), true
}

// change makes one change at a random daemon and records its outcome.
func (ledger *ChangeRecorder) change(random *rand.Rand) {
	client, found := ledger.randomClient(random)
	if !found {
		return
	}
	var settings *operator.Settings
	err := ledger.timeCall("read", func() (err error) { settings, err = client.Read(false); return })
	if err != nil || !settings.Confirmed {
		return
	}
	ledger.mutex.Lock()
	ledger.changesMade++
	change := operator.Change{
		Base:     settings.Serial,
		Change:   fmt.Sprintf("change-%d-%d", ledger.seed, ledger.changesMade),
		Operator: "ledger",
	}
	ledger.mutex.Unlock()
	change.Settings = []byte(fmt.Sprintf(`{"rule":{"hold_ms":%d}}`, 1000+random.IntN(2000)))
	send := func(client *operator.Client) (*operator.Outcome, error) { return client.Patch(change) }
	switch draw := random.IntN(8); {
	case draw == 0:
		change.Settings = []byte(`{"rule":{"hold_ms":-4,"nonsense":true}}`)
	case draw < 4 && len(settings.Settings) < maxReplacedBytes:
		change.Settings = withHold(settings.Settings, 1000+random.IntN(2000))
		send = func(client *operator.Client) (*operator.Outcome, error) { return client.Put(change) }
	}
	_ = ledger.Apply(change, client, random, send) // recorded by Apply
}

// withHold returns the settings with another rule.hold_ms.
func withHold(tree json.RawMessage, holdMs int) json.RawMessage {
	sections := map[string]json.RawMessage{}
	rule := map[string]any{}
	if json.Unmarshal(tree, &sections) != nil || json.Unmarshal(sections["rule"], &rule) != nil {
		return tree
	}
	rule["hold_ms"] = holdMs
	sections["rule"], _ = json.Marshal(rule)
	body, _ := json.Marshal(sections)
	return body
}

// Apply sends one change, retries it while its outcome is unknown, records the outcome
// and returns it.
func (ledger *ChangeRecorder) Apply(
	change operator.Change,
	client *operator.Client,
	random *rand.Rand,
	send func(*operator.Client) (*operator.Outcome, error),
) error {
	var outcome *operator.Outcome
	err := ledger.timeCall(change.Change, func() (err error) { outcome, err = send(client); return })
	for attempt := 0; attempt < 6 && err != nil && (rpc.CodeOf(err) == rpc.OutcomeUnknown || rpc.CodeOf(err) == rpc.Unreachable); attempt++ {
		ledger.system.Sleep(50 * time.Millisecond)
		if client, found := ledger.randomClient(random); found {
			retryErr := ledger.timeCall(change.Change+" retry", func() (err error) { outcome, err = send(client); return })
			if retryErr == nil || rpc.CodeOf(retryErr) != rpc.NotStarted && rpc.CodeOf(retryErr) != rpc.QueueFull {
				err = retryErr
			}
		}
	}
	ledger.mutex.Lock()
	now := time.Now()
	switch {
	case err == nil:
		ledger.Acked[change.Change] = Ack{Serial: outcome.Serial, Base: change.Base, AtMs: now.UnixMilli()}
		ledger.LongestAckGapMs = max(ledger.LongestAckGapMs, now.Sub(ledger.lastAck).Milliseconds())
		ledger.lastAck = now
	case rpc.CodeOf(err) == rpc.OutcomeUnknown || rpc.CodeOf(err) == rpc.Unreachable:
		ledger.Unknown[change.Change] = true
	default:
		ledger.Refused[change.Change] = rpc.CodeOf(err)
	}
	ledger.mutex.Unlock()
	if err == nil {
		ledger.awaitInForce(outcome.Serial, now)
	}
	return err
}

// awaitInForce waits until every ready daemon has at least the serial.
func (ledger *ChangeRecorder) awaitInForce(serial uint64, acknowledgedAt time.Time) {
	for time.Since(acknowledgedAt) < maxDelayMs*time.Millisecond {
		behind := 0
		for _, inForce := range ledger.system.Serials() {
			if inForce > 0 && inForce < serial {
				behind++
			}
		}
		if behind == 0 {
			ledger.mutex.Lock()
			ledger.InForceMs = append(ledger.InForceMs, float64(time.Since(acknowledgedAt).Milliseconds()))
			ledger.mutex.Unlock()
			return
		}
		if !ledger.system.Sleep(10 * time.Millisecond) {
			return
		}
	}
	ledger.mutex.Lock()
	ledger.NotInForce = append(ledger.NotInForce, fmt.Sprintf("serial %d not in force at every ready daemon", serial))
	ledger.mutex.Unlock()
}

// Newest returns the highest acknowledged serial.
func (ledger *ChangeRecorder) Newest() uint64 {
	ledger.mutex.Lock()
	defer ledger.mutex.Unlock()
	newest := uint64(0)
	for _, ack := range ledger.Acked {
		newest = max(newest, ack.Serial)
	}
	return newest
}

// History reads the history of changes from any core that answers within the limit.
func (ledger *ChangeRecorder) History(limit time.Duration) ([]message.HistoryEntry, error) {
	history := struct {
		Changes []message.HistoryEntry `json:"changes"`
	}{}
	last := rpc.Errorf(rpc.Unreachable, "no operator address")
	for until := time.Now().Add(limit); time.Now().Before(until); {
		for _, address := range ledger.system.OperatorAddresses() {
			if last = ledger.system.Client(address).Do(http.MethodGet, "/v1/changes", nil, &history); last == nil {
				return history.Changes, nil
			}
		}
		ledger.system.Sleep(50 * time.Millisecond)
	}
	return nil, last
}
