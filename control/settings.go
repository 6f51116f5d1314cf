package control

import (
	"crypto/sha256"
	"encoding/hex"
	"fmt"
	"time"

	"orchidjunction/config"
	"orchidjunction/message"
	"orchidjunction/rpc"
)

const changeDigestBytes = 16

// changeDigest identifies the effect of a change, so that the reuse of an ID for another change
// is detected.
func changeDigest(request *message.ChangeRequest) string {
	content := append([]byte(fmt.Sprintf("%s %d ", request.Kind, request.Base)), request.Body...)
	sum := sha256.Sum256(content)
	return hex.EncodeToString(sum[:changeDigestBytes])
}

// onChange applies an operator's change of the settings on the leader. Repeated and refused
// changes are answered only once the leadership is confirmed.
func (core *Core) onChange(request *message.ChangeRequest) (*message.ChangeResponse, error) {
	leadership, err := core.currentLeadership()
	if err != nil {
		return nil, err
	}
	begin := time.Now()
	response, err := leadership.changeSettings(request)
	if err != nil {
		core.counters.Add("changes_"+string(rpc.CodeOf(err)), 1)
		return nil, err
	}
	if response.Duplicate {
		core.counters.Add("changes_again", 1)
		return response, nil
	}
	core.counters.Add("changes_taken", 1)
	ackLimit := time.Duration(leadership.settings().tree.Settings.AckMs) * time.Millisecond
	if time.Since(begin) > ackLimit {
		core.counters.Add("changes_later_than_ack_ms", 1)
	}
	return response, nil
}

func (leadership *Leadership) changeSettings(request *message.ChangeRequest) (*message.ChangeResponse, error) {
	preparsed, err := preparse(request, leadership.settings())
	if err != nil {
		return nil, leadership.confirmDecision(err)
	}
	digest := changeDigest(request)
	var duplicate *message.HistoryEntry
	isUnwritten := false
	serial, err := leadership.writeSettings(func(current *settingsContent) (*settingsContent, error) {
		isUnwritten = true
		var err error
		duplicate, err = findDuplicate(current.history, request.ID, digest)
		if duplicate != nil || err != nil {
			return nil, err
		}
		next, err := leadership.applyChange(request, current, preparsed, digest)
		isUnwritten = err != nil
		return next, err
	})
	if isUnwritten {
		err = leadership.confirmDecision(err)
	}
	if err != nil {
		return nil, err
	}
	if duplicate != nil {
		return &message.ChangeResponse{Serial: duplicate.Serial, Duplicate: true}, nil
	}
	return &message.ChangeResponse{Serial: serial}, nil
}

// preparse parses a whole change before the write lock is taken if the change is based on the
// current settings. It returns nil for other changes.
func preparse(request *message.ChangeRequest, current *settingsContent) (*config.Tree, error) {
	if request.Kind != message.WholeChange || request.Base != current.serial {
		return nil, nil
	}
	return config.Parse(request.Body, current.tree)
}

// findDuplicate returns the history entry of a change that has already been made. It returns
// ChangeIDReused if the ID belongs to another change.
func findDuplicate(history []message.HistoryEntry, id, digest string) (*message.HistoryEntry, error) {
	for index := range history {
		entry := &history[index]
		if entry.Change != id {
			continue
		}
		if entry.Digest != digest {
			return nil, &rpc.Error{Code: rpc.ChangeIDReused, Message: "ID was already used for another change", Serial: entry.Serial}
		}
		return entry, nil
	}
	return nil, nil
}

func (leadership *Leadership) applyChange(
	request *message.ChangeRequest,
	current *settingsContent,
	preparsed *config.Tree,
	digest string,
) (*settingsContent, error) {
	if request.Base != current.serial {
		return nil, &rpc.Error{Code: rpc.StaleBase, Message: fmt.Sprintf("based on serial %d", request.Base), Serial: current.serial}
	}
	tree, err := preparsed, error(nil)
	switch {
	case preparsed != nil:
	case request.Kind == message.WholeChange:
		tree, err = config.Parse(request.Body, current.tree)
	default:
		tree, err = current.tree.Patch(request.Body)
	}
	if err != nil {
		return nil, err
	}
	entry := message.HistoryEntry{
		Serial:   current.serial + 1,
		Change:   request.ID,
		Digest:   digest,
		Kind:     request.Kind,
		Operator: request.Operator,
		AtMs:     leadership.core.config.Wall(),
	}
	return current.next(tree, entry), nil
}

// onRead returns the settings, or their history, once the leadership is confirmed.
func (core *Core) onRead(request *message.ReadRequest) (*message.ReadResponse, error) {
	leadership, err := core.confirmedLeadership()
	if err != nil {
		return nil, err
	}
	current := leadership.settings()
	response := &message.ReadResponse{Serial: current.serial}
	if request.History {
		response.History = current.history
	} else if request.HeldSerial != current.serial {
		response.Body = current.tree.Body()
	}
	return response, nil
}
