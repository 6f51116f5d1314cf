package control

import (
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"sort"
	"sync"
	"time"

	"orchidjunction/concurrent"
	"orchidjunction/conf"
	"orchidjunction/message"
	"orchidjunction/rpc"
)

const (
	usagePeriod        = 4 * time.Second
	usageInterval      = 50 * time.Millisecond
	usageSilence       = time.Minute
	usageTTL           = time.Hour
	maxUsageGap        = 10 * time.Minute
	maxUsageDeliveries = 64
)

// UsageReport is what the platform bills; once sealed it never changes.
type UsageReport struct {
	ID     string `json:"id"`
	Tenant string `json:"tenant"`
	Period uint64 `json:"period"`
	FromMs int64  `json:"from_ms"`
	ToMs   int64  `json:"to_ms"`
	Tasks  uint64 `json:"tasks"`
}

// usageState is the content of the reports register.
type usageState struct {
	Period   uint64
	ToMs     int64
	AgeMs    int64
	Reported map[string]reportedUsage `msgpack:"Marks"`
	Open     map[string]uint64
	Pending  []UsageReport
}

// reportedUsage is how much of a proxy's running counts the reports so far hold.
type reportedUsage struct {
	Counts map[string]uint64
	SeenMs int64
}

// Usage gathers the proxies' running counts and reports them, sealed first.
type Usage struct {
	mutex         sync.Mutex
	counts        map[string]map[string]uint64
	startedAt     time.Time
	toldAt        map[string]time.Time
	delivered     map[string]bool
	term          message.Term
	sealedAt      time.Time
	periodEndedAt time.Time
	client        *http.Client
}

func newUsage(transport http.RoundTripper) *Usage {
	return &Usage{startedAt: time.Now(), counts: map[string]map[string]uint64{}, toldAt: map[string]time.Time{}, delivered: map[string]bool{}, client: &http.Client{Transport: transport}}
}

// add keeps the highest counts told by one process; counts never fall.
func (usage *Usage) add(incarnation string, told map[string]uint64) {
	if len(told) == 0 {
		return
	}
	usage.mutex.Lock()
	defer usage.mutex.Unlock()
	held := usage.counts[incarnation]
	if held == nil {
		held = map[string]uint64{}
		usage.counts[incarnation] = held
	}
	usage.toldAt[incarnation] = time.Now()
	for tenant, count := range told {
		held[tenant] = max(held[tenant], count)
	}
}

func (core *Core) onCount(count *message.UsageCountRequest) (*message.UsageCountResponse, error) {
	if _, err := core.currentLeadership(); err != nil {
		return nil, err
	}
	core.usage.add(count.Incarnation, count.Usage)
	return &message.UsageCountResponse{}, nil
}

// usageDuty is the leader's, nil where there is none to work on.
func (core *Core) usageDuty() (*Leadership, *usageState) {
	leadership, err := core.currentLeadership()
	if err != nil || leadership.check() != nil || core.config.PlatformAddress == "" {
		return nil, nil
	}
	value := leadership.value(message.ReportsRegister)
	book := &usageState{}
	if len(value.Body) > 0 {
		if err := rpc.Unmarshal(value.Body, book); err != nil {
			core.counters.Add("usage_book_unreadable", 1)
			return nil, nil
		}
	}
	return leadership, book
}

// sealUsage is the leader's duty: seal what was told, and end a period that is over.
func (core *Core) sealUsage() {
	leadership, book := core.usageDuty()
	if book == nil {
		return
	}
	settings := leadership.settings()
	if settings.serial == 0 {
		return
	}
	if core.usage.hasNewCounts(book) || core.usage.periodOver(leadership.term) {
		if err := core.seal(leadership, settings.tree.Settings); err != nil {
			core.counters.Add("usage_seals_failed", 1)
		}
	}
}

// deliverUsage is the leader's duty to send what is sealed; one slow answer
// keeps no other report back.
func (core *Core) deliverUsage() {
	_, book := core.usageDuty()
	if book == nil {
		return
	}
	unsent := []UsageReport{}
	for _, report := range book.Pending {
		if len(unsent) < maxUsageDeliveries && !core.usage.isDelivered(report.ID) {
			unsent = append(unsent, report)
		}
	}
	concurrent.Gather(core.goroutines, len(unsent), func(index int) (bool, error) {
		if core.deliver(unsent[index]) {
			core.usage.mutex.Lock()
			core.usage.delivered[unsent[index].ID] = true
			core.usage.mutex.Unlock()
			core.counters.Add("usage_reports_delivered", 1)
		}
		return true, nil
	}, func(map[int]bool, map[int]error) bool { return false })
}

// periodOver is whether the period ended, by the monotonic clock; the first one of a
// leadership does so at once, since nobody knows how long it has gone on.
func (usage *Usage) periodOver(term message.Term) bool {
	usage.mutex.Lock()
	defer usage.mutex.Unlock()
	return usage.term != term || time.Since(usage.periodEndedAt) >= usagePeriod
}

// hasNewCounts is whether proxies told counts that the book does not hold yet.
func (usage *Usage) hasNewCounts(book *usageState) bool {
	usage.mutex.Lock()
	defer usage.mutex.Unlock()
	for incarnation, counts := range usage.counts {
		for tenant, count := range counts {
			if count > book.Reported[incarnation].Counts[tenant] {
				return true
			}
		}
	}
	return false
}

func (usage *Usage) isDelivered(id string) bool {
	usage.mutex.Lock()
	defer usage.mutex.Unlock()
	return usage.delivered[id]
}

// seal keeps the running counts at a majority of disks, and with them the
// reports of an ended period, before any is sent.
func (core *Core) seal(leadership *Leadership, tree *conf.Settings) error {
	ends, now := core.usage.periodOver(leadership.term), time.Now()
	_, err := leadership.write(message.ReportsRegister, func(current message.Value) (*message.Value, message.Chunks, error) {
		book := usageState{}
		if len(current.Body) > 0 {
			if err := rpc.Unmarshal(current.Body, &book); err != nil {
				return nil, nil, rpc.AsError(err)
			}
		}
		next := core.usage.advance(book, tree, core.config.Wall(), core.usage.sinceSealed(leadership.term, now), ends)
		body, err := rpc.Marshal(&next)
		if err != nil {
			return nil, nil, rpc.AsError(err)
		}
		return &message.Value{Serial: current.Serial + 1, Body: body}, nil, nil
	}, func() { core.usage.sealedBy(leadership.term, now, ends) })
	return err
}

// sinceSealed is how long ago this leadership sealed last, in milliseconds.
func (usage *Usage) sinceSealed(term message.Term, now time.Time) int64 {
	usage.mutex.Lock()
	defer usage.mutex.Unlock()
	if usage.term != term {
		return 0
	}
	return now.Sub(usage.sealedAt).Milliseconds()
}

func (usage *Usage) sealedBy(term message.Term, now time.Time, ended bool) {
	usage.mutex.Lock()
	defer usage.mutex.Unlock()
	usage.term, usage.sealedAt = term, now
	if ended {
		usage.periodEndedAt = now
	}
}

// advance lays what proxies told since into the book, and ends the period when
// it is over. What is old is told by the book's own age, which no clock moves.
func (usage *Usage) advance(before usageState, tree *conf.Settings, wall, passed int64, ends bool) usageState {
	usage.mutex.Lock()
	defer usage.mutex.Unlock()
	next := usageState{Period: before.Period, ToMs: before.ToMs, AgeMs: before.AgeMs + passed, Reported: map[string]reportedUsage{}, Open: map[string]uint64{}, Pending: before.Pending}
	for tenant, count := range before.Open {
		next.Open[tenant] = count
	}
	now := next.AgeMs
	for incarnation, mark := range before.Reported {
		if now-mark.SeenMs < usageTTL.Milliseconds() || time.Since(usage.startedAt) < usageSilence {
			next.Reported[incarnation] = mark
		}
	}
	for incarnation, counts := range usage.counts {
		mark := reportedUsage{Counts: map[string]uint64{}, SeenMs: now}
		for tenant, count := range counts {
			reported := before.Reported[incarnation].Counts[tenant]
			if count > reported {
				next.Open[tenant] += count - reported
			}
			mark.Counts[tenant] = max(count, reported)
		}
		if _, known := before.Reported[incarnation]; known && time.Since(usage.toldAt[incarnation]) > usageSilence {
			mark.SeenMs = before.Reported[incarnation].SeenMs
		}
		next.Reported[incarnation] = mark
		if now-mark.SeenMs >= usageTTL.Milliseconds() {
			delete(usage.counts, incarnation)
			delete(usage.toldAt, incarnation)
			delete(next.Reported, incarnation)
		}
	}
	if ends {
		next.endPeriod(tree, wall, usage.delivered)
	}
	return next
}

// endPeriod turns the open counts into reports, one for every tenant, and drops what was delivered.
func (book *usageState) endPeriod(tree *conf.Settings, now int64, delivered map[string]bool) {
	from := book.ToMs
	book.Period++
	book.ToMs = now
	if from > now || now-from > maxUsageGap.Milliseconds() {
		from = now - usagePeriod.Milliseconds()
	}
	pending := []UsageReport{}
	for _, report := range book.Pending {
		if !delivered[report.ID] {
			pending = append(pending, report)
		}
		delete(delivered, report.ID)
	}
	for tenant := range tree.Tenants {
		book.Open[tenant] += 0
	}
	tenants := make([]string, 0, len(book.Open))
	for tenant := range book.Open {
		tenants = append(tenants, tenant)
	}
	sort.Strings(tenants)
	for _, tenant := range tenants {
		pending = append(pending, UsageReport{ID: fmt.Sprintf("%s-%s-%d", tree.Partner, tenant, book.Period), Tenant: tenant, Period: book.Period, FromMs: from, ToMs: book.ToMs, Tasks: book.Open[tenant]})
	}
	book.Pending, book.Open = pending, map[string]uint64{}
}

func (core *Core) deliver(report UsageReport) bool {
	body, err := json.Marshal(report)
	if err != nil {
		return false
	}
	ctx, cancel := context.WithTimeout(context.Background(), platformTimeout)
	defer cancel()
	request, err := http.NewRequestWithContext(ctx, http.MethodPost, "http://"+core.config.PlatformAddress+"/v1/usage", bytes.NewReader(body))
	if err != nil {
		return false
	}
	request.Header.Set("Content-Type", "application/json")
	response, err := core.usage.client.Do(request)
	if err != nil {
		core.counters.Add("usage_reports_unsent", 1)
		return false
	}
	defer response.Body.Close()
	_, _ = io.Copy(io.Discard, io.LimitReader(response.Body, 1<<16)) // the status alone tells; the rest only frees the connection
	return response.StatusCode >= 200 && response.StatusCode < 300
}
