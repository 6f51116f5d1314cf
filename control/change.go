package control

import (
	"crypto/sha256"
	"encoding/hex"
	"fmt"
	"time"

	"orchidjunction/conf"
	"orchidjunction/wire"
)

func digest(change *wire.Change) string {
	sum := sha256.Sum256(append([]byte(fmt.Sprintf("%s %d ", change.Kind, change.Base)), change.Body...))
	return hex.EncodeToString(sum[:16])
}

// onChange puts an operator's change in force at the leader, or says why not; a
// repeat or a refusal is told only by who still leads.
func (core *Core) onChange(change *wire.Change) (*wire.ChangeTold, error) {
	leadership, mishap := core.leading()
	if mishap != nil {
		return nil, mishap
	}
	begin := time.Now()
	told, mark := &wire.ChangeTold{}, digest(change)
	var sown *conf.Tree
	if now := leadership.settings(); change.Kind == "whole" && change.Base == now.serial {
		if sown, mishap = conf.Sow(change.Body, now.tree); mishap != nil {
			mishap = leadership.proven(mishap)
			core.counts.Add("changes_"+string(wire.KindOf(mishap)), 1)
			return nil, mishap
		}
	}
	decided := false
	serial, mishap := leadership.change(func(now *content) (*content, error) {
		decided = true
		for _, entry := range now.trail {
			if entry.Change != change.ID {
				continue
			}
			if entry.Digest != mark {
				return nil, &wire.Mishap{Kind: wire.ChangeReused, Cause: "the id named another change", Serial: entry.Serial}
			}
			told.Serial, told.Again = entry.Serial, true
			return nil, nil
		}
		if change.Base != now.serial {
			return nil, &wire.Mishap{Kind: wire.StaleBase, Cause: fmt.Sprintf("based on %d", change.Base), Serial: now.serial}
		}
		tree, mishap := sown, (error)(nil)
		switch {
		case tree != nil:
		case change.Kind == "whole":
			tree, mishap = conf.Sow(change.Body, now.tree)
		default:
			tree, mishap = now.tree.Patch(change.Body)
		}
		if mishap != nil {
			return nil, mishap
		}
		decided = false
		return now.next(tree, wire.Entry{Serial: now.serial + 1, Change: change.ID, Digest: mark, Kind: change.Kind, Operator: change.Operator, AtMs: core.place.Wall()}), nil
	})
	if decided {
		mishap = leadership.proven(mishap)
	}
	if mishap != nil {
		core.counts.Add("changes_"+string(wire.KindOf(mishap)), 1)
		return nil, mishap
	}
	if told.Again {
		core.counts.Add("changes_again", 1)
		return told, nil
	}
	core.counts.Add("changes_taken", 1)
	if settings := leadership.settings().tree.Settings; time.Since(begin) > time.Duration(settings.AckMs)*time.Millisecond {
		core.counts.Add("changes_later_than_ack_ms", 1)
	}
	told.Serial = serial
	return told, nil
}

func (core *Core) onRead(read *wire.Read) (*wire.ReadTold, error) {
	leadership, mishap := core.leading()
	if mishap != nil {
		return nil, mishap
	}
	if mishap := leadership.confirm(core.roundLimit()); mishap != nil {
		return nil, mishap
	}
	now := leadership.settings()
	told := &wire.ReadTold{Serial: now.serial}
	if read.Trail {
		told.Trail = now.trail
	} else if read.Held != now.serial {
		told.Body = now.tree.Body()
	}
	return told, nil
}

func (core *Core) onConfirm(*wire.Confirm) (*wire.ConfirmTold, error) {
	leadership, mishap := core.leading()
	if mishap != nil {
		return nil, mishap
	}
	if mishap := leadership.confirm(core.roundLimit()); mishap != nil {
		return nil, mishap
	}
	return &wire.ConfirmTold{Serial: leadership.value(wire.SettingsRegister).Serial, Table: core.Table().Mark, Routing: leadership.value(wire.RoutingRegister).Serial}, nil
}

func (core *Core) onWho(*wire.Who) (*wire.WhoTold, error) {
	leads := core.leads()
	core.mutex.Lock()
	view := core.members()
	told := &wire.WhoTold{Duck: core.duck, Cores: view.addresses(), Members: view.Mark, Routing: core.committed[wire.RoutingRegister].Value.Serial, Table: core.table.Mark}
	leadership := core.leadership
	if leads || time.Since(core.heard) < core.place.Suspect {
		told.Leader = core.leader
	}
	core.mutex.Unlock()
	if leadership != nil {
		told.Duck = leadership.ducks()
	}
	return told, nil
}

// Leader is who leads as far as this core knows at the moment; nobody while it
// hears of none or the leader steps down.
func (core *Core) Leader() wire.Leader {
	if told, _ := core.onWho(&wire.Who{}); !told.Duck {
		return told.Leader
	}
	return wire.Leader{}
}
