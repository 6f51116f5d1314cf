package control

import (
	"fmt"

	"orchidjunction/conf"
	"orchidjunction/message"
	"orchidjunction/rpc"
)

const (
	trailGroup  = 16
	trailGroups = 32
	trailSign   = "trail/"
)

// content is what a settings value says: the tree and the trail of changes. Both
// travel and are kept in branches named by digest.
type content struct {
	serial uint64
	tree   *conf.Tree
	trail  []message.HistoryEntry
	texts  message.Chunks
}

// next is the content after a change.
func (now *content) next(tree *conf.Tree, entry message.HistoryEntry) *content {
	next := &content{serial: entry.Serial, tree: tree, texts: message.Chunks{}}
	oldest := uint64(0)
	if group := entry.Serial / trailGroup; group >= trailGroups {
		oldest = (group - trailGroups + 1) * trailGroup
	}
	for _, held := range now.trail {
		if held.Serial >= oldest {
			next.trail = append(next.trail, held)
		}
	}
	next.trail = append(next.trail, entry)
	return next
}

// value is the register's: which branches make the content up.
func (now *content) value() message.Value {
	value := message.Value{Serial: now.serial}
	groups := map[uint64][]message.HistoryEntry{}
	order := []uint64{}
	for _, entry := range now.trail {
		group := entry.Serial / trailGroup
		if groups[group] == nil {
			order = append(order, group)
		}
		groups[group] = append(groups[group], entry)
	}
	if now.tree != nil {
		value.Chunks = append(value.Chunks, now.tree.Parts...)
		for _, part := range now.tree.Parts {
			now.texts[part.Digest] = now.tree.Text(part.Digest)
		}
	}
	for _, group := range order {
		text, _ := rpc.Marshal(groups[group])
		digest := message.DigestOf(text)
		value.Chunks = append(value.Chunks, message.ChunkRef{Path: fmt.Sprintf("%s%016d", trailSign, group), Digest: digest})
		now.texts[digest] = text
	}
	return value
}

// readContent makes the content of a value whose branches are among the texts;
// what the content before has is read no second time.
func readContent(before *content, value message.Value, texts message.Chunks) (*content, error) {
	if value.Serial == 0 {
		return &content{}, nil
	}
	now := &content{serial: value.Serial, texts: make(message.Chunks, len(value.Chunks))}
	for _, part := range value.Chunks {
		text, found := texts[part.Digest]
		if !found {
			return nil, rpc.Errorf(rpc.CorruptChunk, "branch %s of serial %d is missing", part.Path, value.Serial)
		}
		now.texts[part.Digest] = text
		if len(part.Path) > len(trailSign) && part.Path[:len(trailSign)] == trailSign {
			entries := []message.HistoryEntry{}
			if err := rpc.Unmarshal(text, &entries); err != nil {
				return nil, rpc.AsError(err)
			}
			now.trail = append(now.trail, entries...)
		}
	}
	var former *conf.Tree
	if before != nil {
		former = before.tree
	}
	tree, err := conf.Grow(former, treeParts(value.Chunks), now.texts)
	now.tree = tree
	return now, err
}

// treeParts are the branches of the settings, without those of the trail.
func treeParts(parts []message.ChunkRef) []message.ChunkRef {
	for index, part := range parts {
		if len(part.Path) > len(trailSign) && part.Path[:len(trailSign)] == trailSign {
			return parts[:index]
		}
	}
	return parts
}

// fresh are the texts of a value's branches that another value does not have.
func fresh(value, former message.Value, texts message.Chunks) message.Chunks {
	held, missing := map[string]bool{}, message.Chunks{}
	for _, part := range former.Chunks {
		held[part.Digest] = true
	}
	for _, part := range value.Chunks {
		if !held[part.Digest] {
			missing[part.Digest] = texts[part.Digest]
		}
	}
	return missing
}

// content is what this core holds as committed.
func (core *Core) content() (*content, error) {
	core.reading.Lock()
	defer core.reading.Unlock()
	core.mutex.Lock()
	value, texts, held := core.committed[message.SettingsRegister].Value, core.texts, core.held
	core.mutex.Unlock()
	if held != nil && held.serial == value.Serial {
		return held, nil
	}
	now, err := readContent(held, value, texts)
	if err != nil {
		core.counters.Add("contents_unreadable", 1)
		return nil, err
	}
	core.mutex.Lock()
	core.held = now
	core.mutex.Unlock()
	return now, nil
}

func (core *Core) onParts(parts *message.FetchChunksRequest) (*message.FetchChunksResponse, error) {
	state := core.voter.State()
	core.mutex.Lock()
	texts := core.texts
	core.mutex.Unlock()
	response := &message.FetchChunksResponse{Chunks: message.Chunks{}}
	for _, digest := range parts.Digests {
		if text, found := state.Texts[digest]; found {
			response.Chunks[digest] = text
		} else if text, found := texts[digest]; found {
			response.Chunks[digest] = text
		}
	}
	return response, nil
}

// gatherTexts completes the texts of a value from the core that told of it.
func (core *Core) gatherTexts(address string, value message.Value, known message.Chunks) (message.Chunks, error) {
	texts := message.Chunks{}
	for _, part := range value.Chunks {
		if text, found := known[part.Digest]; found {
			texts[part.Digest] = text
		}
	}
	lacks := message.MissingChunks(value.Chunks, texts)
	core.counters.Add("branches_fetched", uint64(len(lacks)))
	return texts, texts.Fetch(core.line, address, core.roundLimit(), lacks)
}
