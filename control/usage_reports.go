package control

import (
	"bytes"
	"context"
	"encoding/json"
	"io"
	"net/http"
	"time"

	"orchidjunction/concurrent"
	"orchidjunction/config"
	"orchidjunction/message"
	"orchidjunction/rpc"
	"orchidjunction/usage"
)

const (
	usageInterval      = 50 * time.Millisecond
	maxUsageDeliveries = 64
	reportTimeout      = 2 * time.Second
	maxReportResponse  = 1 << 16
)

// onUsageCount records counts that a process reports between heartbeats, if this core leads.
func (core *Core) onUsageCount(request *message.UsageCountRequest) (*message.UsageCountResponse, error) {
	if _, err := core.currentLeadership(); err != nil {
		return nil, err
	}
	core.usage.Add(request.Incarnation, request.Usage)
	return &message.UsageCountResponse{}, nil
}

// usageState returns this core's leadership and the decoded reports register, or nil if this core
// does not lead, does not report to the bundled platform or cannot decode the register.
func (core *Core) usageState() (*Leadership, *usage.State) {
	leadership, err := core.currentLeadership()
	if err != nil || leadership.check() != nil || core.config.PlatformAddress == "" {
		return nil, nil
	}
	state, err := usage.DecodeState(leadership.value(message.ReportsRegister))
	if err != nil {
		core.counters.Add("usage_book_unreadable", 1)
		return nil, nil
	}
	return leadership, state
}

// sealUsage seals new counts on the leader, and ends a period when it is over.
func (core *Core) sealUsage() {
	leadership, state := core.usageState()
	if state == nil {
		return
	}
	settings := leadership.settings()
	if settings.serial == 0 {
		return
	}
	if !core.usage.HasUnsealedCounts(state) && !core.usage.PeriodOver(leadership.term) {
		return
	}
	if err := core.writeUsage(leadership, settings.tree.Settings); err != nil {
		core.counters.Add("usage_seals_failed", 1)
	}
}

// writeUsage writes the running counts, and the reports of an ended period, to the reports
// register, before any report is sent.
func (core *Core) writeUsage(leadership *Leadership, settings *config.Settings) error {
	endsPeriod, now := core.usage.PeriodOver(leadership.term), time.Now()
	_, err := leadership.write(message.ReportsRegister, func(current message.Value) (*proposal, error) {
		former, err := usage.DecodeState(current)
		if err != nil {
			return nil, err
		}
		next := core.usage.Next(former, usage.SealInput{
			Partner:    settings.Partner,
			Tenants:    settings.TenantNames(),
			WallMs:     core.config.Wall(),
			SinceMs:    core.usage.SinceSealed(leadership.term, now),
			EndsPeriod: endsPeriod,
		})
		body, err := rpc.Marshal(next)
		if err != nil {
			return nil, err
		}
		value := message.Value{Serial: current.Serial + 1, Body: body}
		return &proposal{value: value, accepted: func() { core.usage.RecordSeal(leadership.term, now, endsPeriod) }}, nil
	})
	return err
}

// deliverUsage sends the leader's sealed reports concurrently: a slow response delays no other
// report.
func (core *Core) deliverUsage() {
	_, state := core.usageState()
	if state == nil {
		return
	}
	unsent := []usage.Report{}
	for _, report := range state.Pending {
		if len(unsent) < maxUsageDeliveries && !core.usage.IsDelivered(report.ID) {
			unsent = append(unsent, report)
		}
	}
	concurrent.Gather(core.goroutines, len(unsent), func(index int) (struct{}, error) {
		if core.deliverReport(unsent[index]) {
			core.usage.MarkDelivered(unsent[index].ID)
			core.counters.Add("usage_reports_delivered", 1)
		}
		return struct{}{}, nil
	}, func(map[int]struct{}, map[int]error) bool { return false })
}

// deliverReport sends a report to the platform and reports whether it was accepted.
func (core *Core) deliverReport(report usage.Report) bool {
	body, err := json.Marshal(report)
	if err != nil {
		return false
	}
	ctx, cancel := context.WithTimeout(context.Background(), reportTimeout)
	defer cancel()
	request, err := http.NewRequestWithContext(
		ctx,
		http.MethodPost,
		"http://"+core.config.PlatformAddress+"/v1/usage",
		bytes.NewReader(body),
	)
	if err != nil {
		return false
	}
	request.Header.Set("Content-Type", "application/json")
	response, err := core.platformClient.Do(request)
	if err != nil {
		core.counters.Add("usage_reports_unsent", 1)
		return false
	}
	defer response.Body.Close()
	// Only the status matters; the body is read so that the connection can be reused.
	_, _ = io.Copy(io.Discard, io.LimitReader(response.Body, maxReportResponse))
	return response.StatusCode >= 200 && response.StatusCode < 300
}
