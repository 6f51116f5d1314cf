package control

import (
	"fmt"

	"orchidjunction/conf"
	"orchidjunction/message"
	"orchidjunction/rpc"
)

const (
	historyGroup     = 16
	maxHistoryGroups = 32
	historyPrefix    = "trail/"
)

// content is what a settings value says: the tree and the trail of changes. Both
// travel and are kept in branches named by digest.
type content struct {
	serial  uint64
	tree    *conf.Tree
	history []message.HistoryEntry
	chunks  message.Chunks
}

// next is the content after a change.
func (now *content) next(tree *conf.Tree, entry message.HistoryEntry) *content {
	next := &content{serial: entry.Serial, tree: tree, chunks: message.Chunks{}}
	oldest := uint64(0)
	if group := entry.Serial / historyGroup; group >= maxHistoryGroups {
		oldest = (group - maxHistoryGroups + 1) * historyGroup
	}
	for _, held := range now.history {
		if held.Serial >= oldest {
			next.history = append(next.history, held)
		}
	}
	next.history = append(next.history, entry)
	return next
}

// value is the register's: which branches make the content up.
func (now *content) value() message.Value {
	value := message.Value{Serial: now.serial}
	groups := map[uint64][]message.HistoryEntry{}
	order := []uint64{}
	for _, entry := range now.history {
		group := entry.Serial / historyGroup
		if groups[group] == nil {
			order = append(order, group)
		}
		groups[group] = append(groups[group], entry)
	}
	if now.tree != nil {
		value.Chunks = append(value.Chunks, now.tree.Parts...)
		for _, part := range now.tree.Parts {
			now.chunks[part.Digest] = now.tree.Text(part.Digest)
		}
	}
	for _, group := range order {
		text, _ := rpc.Marshal(groups[group])
		digest := message.DigestOf(text)
		value.Chunks = append(value.Chunks, message.ChunkRef{Path: fmt.Sprintf("%s%016d", historyPrefix, group), Digest: digest})
		now.chunks[digest] = text
	}
	return value
}

// readContent makes the content of a value whose branches are among the texts;
// what the content before has is read no second time.
func readContent(before *content, value message.Value, chunks message.Chunks) (*content, error) {
	if value.Serial == 0 {
		return &content{}, nil
	}
	now := &content{serial: value.Serial, chunks: make(message.Chunks, len(value.Chunks))}
	for _, part := range value.Chunks {
		text, found := chunks[part.Digest]
		if !found {
			return nil, rpc.Errorf(rpc.CorruptChunk, "branch %s of serial %d is missing", part.Path, value.Serial)
		}
		now.chunks[part.Digest] = text
		if len(part.Path) > len(historyPrefix) && part.Path[:len(historyPrefix)] == historyPrefix {
			entries := []message.HistoryEntry{}
			if err := rpc.Unmarshal(text, &entries); err != nil {
				return nil, rpc.AsError(err)
			}
			now.history = append(now.history, entries...)
		}
	}
	var former *conf.Tree
	if before != nil {
		former = before.tree
	}
	tree, err := conf.Grow(former, treeChunks(value.Chunks), now.chunks)
	now.tree = tree
	return now, err
}

// treeChunks are the branches of the settings, without those of the trail.
func treeChunks(parts []message.ChunkRef) []message.ChunkRef {
	for index, part := range parts {
		if len(part.Path) > len(historyPrefix) && part.Path[:len(historyPrefix)] == historyPrefix {
			return parts[:index]
		}
	}
	return parts
}

// newChunks are the texts of a value's branches that another value does not have.
func newChunks(value, former message.Value, chunks message.Chunks) message.Chunks {
	held, missing := map[string]bool{}, message.Chunks{}
	for _, part := range former.Chunks {
		held[part.Digest] = true
	}
	for _, part := range value.Chunks {
		if !held[part.Digest] {
			missing[part.Digest] = chunks[part.Digest]
		}
	}
	return missing
}

// content is what this core holds as committed.
func (core *Core) content() (*content, error) {
	core.contentLock.Lock()
	defer core.contentLock.Unlock()
	core.mutex.Lock()
	value, chunks, held := core.committed[message.SettingsRegister].Value, core.chunks, core.cachedContent
	core.mutex.Unlock()
	if held != nil && held.serial == value.Serial {
		return held, nil
	}
	now, err := readContent(held, value, chunks)
	if err != nil {
		core.counters.Add("contents_unreadable", 1)
		return nil, err
	}
	core.mutex.Lock()
	core.cachedContent = now
	core.mutex.Unlock()
	return now, nil
}

func (core *Core) onFetchChunks(parts *message.FetchChunksRequest) (*message.FetchChunksResponse, error) {
	state := core.replica.State()
	core.mutex.Lock()
	chunks := core.chunks
	core.mutex.Unlock()
	response := &message.FetchChunksResponse{Chunks: message.Chunks{}}
	for _, digest := range parts.Digests {
		if text, found := state.Chunks[digest]; found {
			response.Chunks[digest] = text
		} else if text, found := chunks[digest]; found {
			response.Chunks[digest] = text
		}
	}
	return response, nil
}

// gatherChunks completes the texts of a value from the core that told of it.
func (core *Core) gatherChunks(address string, value message.Value, known message.Chunks) (message.Chunks, error) {
	chunks := message.Chunks{}
	for _, part := range value.Chunks {
		if text, found := known[part.Digest]; found {
			chunks[part.Digest] = text
		}
	}
	missing := message.MissingChunks(value.Chunks, chunks)
	core.counters.Add("branches_fetched", uint64(len(missing)))
	return chunks, chunks.Fetch(core.client, address, core.callTimeout(), missing)
}
