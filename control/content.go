package control

import (
	"fmt"
	"strings"

	"orchidjunction/config"
	"orchidjunction/message"
	"orchidjunction/rpc"
)

const (
	// The history is split into chunks of serialsPerHistoryChunk serials, of which the newest
	// maxHistoryChunks are kept.
	serialsPerHistoryChunk = 16
	maxHistoryChunks       = 32
	historyPathPrefix      = "trail/"
)

// settingsContent is the content of the settings register: the tree of settings and the history
// of changes, both sent and stored as chunks. It is immutable except for chunks.
type settingsContent struct {
	serial  uint64
	tree    *config.Tree
	history []message.HistoryEntry
	chunks  message.Chunks
}

// next returns the content after a change. Old history is dropped by whole chunks.
func (current *settingsContent) next(tree *config.Tree, entry message.HistoryEntry) *settingsContent {
	next := &settingsContent{serial: entry.Serial, tree: tree, chunks: message.Chunks{}}
	oldest := uint64(0)
	if group := entry.Serial / serialsPerHistoryChunk; group >= maxHistoryChunks {
		oldest = (group - maxHistoryChunks + 1) * serialsPerHistoryChunk
	}
	for _, former := range current.history {
		if former.Serial >= oldest {
			next.history = append(next.history, former)
		}
	}
	next.history = append(next.history, entry)
	return next
}

// value returns the register's value, which is the references to the chunks of the content. It
// adds their texts to the content's chunks.
func (current *settingsContent) value() message.Value {
	value := message.Value{Serial: current.serial}
	if current.tree != nil {
		value.Chunks = append(value.Chunks, current.tree.Refs...)
		for _, ref := range current.tree.Refs {
			current.chunks[ref.Digest] = current.tree.Text(ref.Digest)
		}
	}
	return current.addHistory(value)
}

// addHistory adds the references to the history's chunks to a value, and the texts to the
// content's chunks.
func (current *settingsContent) addHistory(value message.Value) message.Value {
	groups := map[uint64][]message.HistoryEntry{}
	order := []uint64{}
	for _, entry := range current.history {
		group := entry.Serial / serialsPerHistoryChunk
		if groups[group] == nil {
			order = append(order, group)
		}
		groups[group] = append(groups[group], entry)
	}
	for _, group := range order {
		text, _ := rpc.Marshal(groups[group]) // cannot fail: entries contain only numbers and strings
		digest := message.DigestOf(text)
		value.Chunks = append(value.Chunks, message.ChunkRef{Path: fmt.Sprintf("%s%016d", historyPathPrefix, group), Digest: digest})
		current.chunks[digest] = text
	}
	return value
}

// decodeContent returns the content of a value whose chunks are all given. Chunks that the former
// content also has are not parsed again.
func decodeContent(former *settingsContent, value message.Value, chunks message.Chunks) (*settingsContent, error) {
	if value.Serial == 0 {
		return &settingsContent{}, nil
	}
	current := &settingsContent{serial: value.Serial, chunks: make(message.Chunks, len(value.Chunks))}
	for _, ref := range value.Chunks {
		text, found := chunks[ref.Digest]
		if !found {
			return nil, rpc.Errorf(rpc.CorruptChunk, "chunk %s of serial %d is missing", ref.Path, value.Serial)
		}
		current.chunks[ref.Digest] = text
		if !isHistoryRef(ref) {
			continue
		}
		entries := []message.HistoryEntry{}
		if err := rpc.Unmarshal(text, &entries); err != nil {
			return nil, err
		}
		current.history = append(current.history, entries...)
	}
	var formerTree *config.Tree
	if former != nil {
		formerTree = former.tree
	}
	tree, err := config.Assemble(formerTree, settingsRefs(value.Chunks), current.chunks)
	current.tree = tree
	return current, err
}

func isHistoryRef(ref message.ChunkRef) bool {
	return len(ref.Path) > len(historyPathPrefix) && strings.HasPrefix(ref.Path, historyPathPrefix)
}

// settingsRefs returns the references to the settings' chunks, without those of the history.
func settingsRefs(refs []message.ChunkRef) []message.ChunkRef {
	for index, ref := range refs {
		if isHistoryRef(ref) {
			return refs[:index]
		}
	}
	return refs
}

// addedChunks returns the texts of the chunks of a value that a former value does not have.
func addedChunks(value, former message.Value, chunks message.Chunks) message.Chunks {
	isKnown := map[string]bool{}
	for _, ref := range former.Chunks {
		isKnown[ref.Digest] = true
	}
	added := message.Chunks{}
	for _, ref := range value.Chunks {
		if !isKnown[ref.Digest] {
			added[ref.Digest] = chunks[ref.Digest]
		}
	}
	return added
}

// committedContent returns the committed settings. Each version is decoded at most once.
func (core *Core) committedContent() (*settingsContent, error) {
	core.contentLock.Lock()
	defer core.contentLock.Unlock()
	core.mutex.Lock()
	value, chunks, former := core.committed[message.SettingsRegister].Value, core.chunks, core.content
	core.mutex.Unlock()
	if former != nil && former.serial == value.Serial {
		return former, nil
	}
	current, err := decodeContent(former, value, chunks)
	if err != nil {
		core.counters.Add("contents_unreadable", 1)
		return nil, err
	}
	core.mutex.Lock()
	core.content = current
	core.mutex.Unlock()
	return current, nil
}

// onFetchChunks returns those of the requested chunks that this core has accepted or knows as
// committed.
func (core *Core) onFetchChunks(request *message.FetchChunksRequest) (*message.FetchChunksResponse, error) {
	accepted := core.replica.State().Chunks
	core.mutex.Lock()
	committed := core.chunks
	core.mutex.Unlock()
	response := &message.FetchChunksResponse{Chunks: message.Chunks{}}
	for _, digest := range request.Digests {
		if text, found := accepted[digest]; found {
			response.Chunks[digest] = text
		} else if text, found := committed[digest]; found {
			response.Chunks[digest] = text
		}
	}
	return response, nil
}

// collectChunks returns the chunks of a value. Those that are not known are fetched from the core
// at an address.
func (core *Core) collectChunks(address string, value message.Value, known message.Chunks) (message.Chunks, error) {
	chunks := message.Chunks{}
	for _, ref := range value.Chunks {
		if text, found := known[ref.Digest]; found {
			chunks[ref.Digest] = text
		}
	}
	missing := message.MissingChunks(value.Chunks, chunks)
	core.counters.Add("branches_fetched", uint64(len(missing)))
	return chunks, chunks.Fetch(core.client, address, core.callTimeout(), missing)
}
