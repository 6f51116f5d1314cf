package control

import (
	"crypto/sha256"
	"encoding/hex"
	"fmt"
	"time"

	"orchidjunction/conf"
	"orchidjunction/message"
	"orchidjunction/rpc"
)

func changeDigest(change *message.ChangeRequest) string {
	sum := sha256.Sum256(append([]byte(fmt.Sprintf("%s %d ", change.Kind, change.Base)), change.Body...))
	return hex.EncodeToString(sum[:16])
}

// onChange puts an operator's change in force at the leader, or says why not; a
// repeat or a refusal is told only by who still leads.
func (core *Core) onChange(change *message.ChangeRequest) (*message.ChangeResponse, error) {
	leadership, err := core.currentLeadership()
	if err != nil {
		return nil, err
	}
	begin := time.Now()
	response, mark := &message.ChangeResponse{}, changeDigest(change)
	var sown *conf.Tree
	if now := leadership.settings(); change.Kind == "whole" && change.Base == now.serial {
		if sown, err = conf.Sow(change.Body, now.tree); err != nil {
			err = leadership.confirmDecision(err)
			core.counters.Add("changes_"+string(rpc.CodeOf(err)), 1)
			return nil, err
		}
	}
	decided := false
	serial, err := leadership.writeSettings(func(now *content) (*content, error) {
		decided = true
		for _, entry := range now.history {
			if entry.Change != change.ID {
				continue
			}
			if entry.Digest != mark {
				return nil, &rpc.Error{Code: rpc.ChangeIDReused, Message: "the id named another change", Serial: entry.Serial}
			}
			response.Serial, response.Duplicate = entry.Serial, true
			return nil, nil
		}
		if change.Base != now.serial {
			return nil, &rpc.Error{Code: rpc.StaleBase, Message: fmt.Sprintf("based on %d", change.Base), Serial: now.serial}
		}
		tree, err := sown, (error)(nil)
		switch {
		case tree != nil:
		case change.Kind == "whole":
			tree, err = conf.Sow(change.Body, now.tree)
		default:
			tree, err = now.tree.Patch(change.Body)
		}
		if err != nil {
			return nil, err
		}
		decided = false
		return now.next(tree, message.HistoryEntry{Serial: now.serial + 1, Change: change.ID, Digest: mark, Kind: change.Kind, Operator: change.Operator, AtMs: core.config.Wall()}), nil
	})
	if decided {
		err = leadership.confirmDecision(err)
	}
	if err != nil {
		core.counters.Add("changes_"+string(rpc.CodeOf(err)), 1)
		return nil, err
	}
	if response.Duplicate {
		core.counters.Add("changes_again", 1)
		return response, nil
	}
	core.counters.Add("changes_taken", 1)
	if settings := leadership.settings().tree.Settings; time.Since(begin) > time.Duration(settings.AckMs)*time.Millisecond {
		core.counters.Add("changes_later_than_ack_ms", 1)
	}
	response.Serial = serial
	return response, nil
}

func (core *Core) onRead(read *message.ReadRequest) (*message.ReadResponse, error) {
	leadership, err := core.currentLeadership()
	if err != nil {
		return nil, err
	}
	if err := leadership.confirm(core.callTimeout()); err != nil {
		return nil, err
	}
	now := leadership.settings()
	response := &message.ReadResponse{Serial: now.serial}
	if read.History {
		response.History = now.history
	} else if read.HeldSerial != now.serial {
		response.Body = now.tree.Body()
	}
	return response, nil
}

func (core *Core) onReadIndex(*message.ReadIndexRequest) (*message.ReadIndexResponse, error) {
	leadership, err := core.currentLeadership()
	if err != nil {
		return nil, err
	}
	if err := leadership.confirm(core.callTimeout()); err != nil {
		return nil, err
	}
	return &message.ReadIndexResponse{Serial: leadership.value(message.SettingsRegister).Serial, Table: core.Table().Version, Routing: leadership.value(message.RoutingRegister).Serial}, nil
}

func (core *Core) onLeader(*message.LeaderRequest) (*message.LeaderResponse, error) {
	isLeader := core.servesAsLeader()
	core.mutex.Lock()
	view := core.membership()
	response := &message.LeaderResponse{Lameduck: core.lameduck, Cores: view.addresses(), Membership: view.Version, Routing: core.committed[message.RoutingRegister].Value.Serial, Table: core.table.Version}
	leadership := core.leadership
	if isLeader || time.Since(core.leaderSeenAt) < core.config.SuspicionTimeout {
		response.Leader = core.leader
	}
	core.mutex.Unlock()
	if leadership != nil {
		response.Lameduck = leadership.inLameduck()
	}
	return response, nil
}

// Leader is who leads as far as this core knows at the moment; nobody while it
// hears of none or the leader steps down.
func (core *Core) Leader() message.Leader {
	if response, _ := core.onLeader(&message.LeaderRequest{}); !response.Lameduck {
		return response.Leader
	}
	return message.Leader{}
}
