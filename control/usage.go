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
	usagePeriod = 4 * time.Second
	usagePace   = 50 * time.Millisecond
	usageSilent = time.Minute
	usageForget = time.Hour
	usageGap    = 10 * time.Minute
	usageAtOnce = 64
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

// usageBook is the content of the reports register.
type usageBook struct {
	Period  uint64
	ToMs    int64
	AgeMs   int64
	Marks   map[string]usageMark
	Open    map[string]uint64
	Pending []UsageReport
}

// usageMark is how much of a proxy's running counts the reports so far hold.
type usageMark struct {
	Counts map[string]uint64
	SeenMs int64
}

// Usage gathers the proxies' running counts and reports them, sealed first.
type Usage struct {
	mutex     sync.Mutex
	counts    map[string]map[string]uint64
	begun     time.Time
	told      map[string]time.Time
	delivered map[string]bool
	ballot    message.Term
	sealed    time.Time
	ended     time.Time
	client    *http.Client
}

func newUsage(transport http.RoundTripper) *Usage {
	return &Usage{begun: time.Now(), counts: map[string]map[string]uint64{}, told: map[string]time.Time{}, delivered: map[string]bool{}, client: &http.Client{Transport: transport}}
}

// take keeps the highest counts told by one process; counts never fall.
func (usage *Usage) take(incarnation string, told map[string]uint64) {
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
	usage.told[incarnation] = time.Now()
	for tenant, count := range told {
		held[tenant] = max(held[tenant], count)
	}
}

func (core *Core) onCount(count *message.UsageCountRequest) (*message.UsageCountResponse, error) {
	if _, err := core.leading(); err != nil {
		return nil, err
	}
	core.usage.take(count.Incarnation, count.Usage)
	return &message.UsageCountResponse{}, nil
}

// book is the leader's, nil where there is none to work on.
func (core *Core) book() (*Leadership, *usageBook) {
	leadership, err := core.leading()
	if err != nil || leadership.holds() != nil || core.place.Platform == "" {
		return nil, nil
	}
	value := leadership.value(message.ReportsRegister)
	book := &usageBook{}
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
	leadership, book := core.book()
	if book == nil {
		return
	}
	settings := leadership.settings()
	if settings.serial == 0 {
		return
	}
	if core.usage.fresh(book) || core.usage.over(leadership.ballot) {
		if err := core.seal(leadership, settings.tree.Settings); err != nil {
			core.counters.Add("usage_seals_failed", 1)
		}
	}
}

// deliverUsage is the leader's duty to send what is sealed; one slow answer
// keeps no other report back.
func (core *Core) deliverUsage() {
	_, book := core.book()
	if book == nil {
		return
	}
	unsent := []UsageReport{}
	for _, report := range book.Pending {
		if len(unsent) < usageAtOnce && !core.usage.sent(report.ID) {
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

// over is whether the period ended, by the monotonic clock; the first one of a
// leadership does so at once, since nobody knows how long it has gone on.
func (usage *Usage) over(term message.Term) bool {
	usage.mutex.Lock()
	defer usage.mutex.Unlock()
	return usage.ballot != term || time.Since(usage.ended) >= usagePeriod
}

// fresh is whether proxies told counts that the book does not hold yet.
func (usage *Usage) fresh(book *usageBook) bool {
	usage.mutex.Lock()
	defer usage.mutex.Unlock()
	for incarnation, counts := range usage.counts {
		for tenant, count := range counts {
			if count > book.Marks[incarnation].Counts[tenant] {
				return true
			}
		}
	}
	return false
}

func (usage *Usage) sent(id string) bool {
	usage.mutex.Lock()
	defer usage.mutex.Unlock()
	return usage.delivered[id]
}

// seal keeps the running counts at a majority of disks, and with them the
// reports of an ended period, before any is sent.
func (core *Core) seal(leadership *Leadership, tree *conf.Settings) error {
	ends, now := core.usage.over(leadership.ballot), time.Now()
	_, err := leadership.write(message.ReportsRegister, func(current message.Value) (*message.Value, message.Chunks, error) {
		book := usageBook{}
		if len(current.Body) > 0 {
			if err := rpc.Unmarshal(current.Body, &book); err != nil {
				return nil, nil, rpc.AsError(err)
			}
		}
		next := core.usage.advance(book, tree, core.place.Wall(), core.usage.passed(leadership.ballot, now), ends)
		body, err := rpc.Marshal(&next)
		if err != nil {
			return nil, nil, rpc.AsError(err)
		}
		return &message.Value{Serial: current.Serial + 1, Body: body}, nil, nil
	}, func() { core.usage.wrote(leadership.ballot, now, ends) })
	return err
}

// passed is how long ago this leadership sealed last, in milliseconds.
func (usage *Usage) passed(term message.Term, now time.Time) int64 {
	usage.mutex.Lock()
	defer usage.mutex.Unlock()
	if usage.ballot != term {
		return 0
	}
	return now.Sub(usage.sealed).Milliseconds()
}

func (usage *Usage) wrote(term message.Term, now time.Time, ended bool) {
	usage.mutex.Lock()
	defer usage.mutex.Unlock()
	usage.ballot, usage.sealed = term, now
	if ended {
		usage.ended = now
	}
}

// advance lays what proxies told since into the book, and ends the period when
// it is over. What is old is told by the book's own age, which no clock moves.
func (usage *Usage) advance(before usageBook, tree *conf.Settings, wall, passed int64, ends bool) usageBook {
	usage.mutex.Lock()
	defer usage.mutex.Unlock()
	next := usageBook{Period: before.Period, ToMs: before.ToMs, AgeMs: before.AgeMs + passed, Marks: map[string]usageMark{}, Open: map[string]uint64{}, Pending: before.Pending}
	for tenant, count := range before.Open {
		next.Open[tenant] = count
	}
	now := next.AgeMs
	for incarnation, mark := range before.Marks {
		if now-mark.SeenMs < usageForget.Milliseconds() || time.Since(usage.begun) < usageSilent {
			next.Marks[incarnation] = mark
		}
	}
	for incarnation, counts := range usage.counts {
		mark := usageMark{Counts: map[string]uint64{}, SeenMs: now}
		for tenant, count := range counts {
			reported := before.Marks[incarnation].Counts[tenant]
			if count > reported {
				next.Open[tenant] += count - reported
			}
			mark.Counts[tenant] = max(count, reported)
		}
		if _, known := before.Marks[incarnation]; known && time.Since(usage.told[incarnation]) > usageSilent {
			mark.SeenMs = before.Marks[incarnation].SeenMs
		}
		next.Marks[incarnation] = mark
		if now-mark.SeenMs >= usageForget.Milliseconds() {
			delete(usage.counts, incarnation)
			delete(usage.told, incarnation)
			delete(next.Marks, incarnation)
		}
	}
	if ends {
		next.end(tree, wall, usage.delivered)
	}
	return next
}

// end turns the open counts into reports, one for every tenant, and drops what was delivered.
func (book *usageBook) end(tree *conf.Settings, now int64, delivered map[string]bool) {
	from := book.ToMs
	book.Period++
	book.ToMs = now
	if from > now || now-from > usageGap.Milliseconds() {
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
	ctx, cancel := context.WithTimeout(context.Background(), platformLimit)
	defer cancel()
	request, err := http.NewRequestWithContext(ctx, http.MethodPost, "http://"+core.place.Platform+"/v1/usage", bytes.NewReader(body))
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
