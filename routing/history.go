package routing

import (
	"bytes"
	"crypto/sha256"
	"encoding/binary"

	"github.com/vmihailenco/msgpack/v5"
	"github.com/vmihailenco/msgpack/v5/msgpcode"
)

// MaxHistory is how many taken changes a history remembers.
const MaxHistory = 4096

const digestBytes = 8

// ShortDigest stands for a change's text in a history. Versions are never used
// twice, so it only has to tell apart the few changes that named the same one.
type ShortDigest [digestBytes]byte

// DigestOf is the short digest of the digest that a change carries.
func DigestOf(digest string) ShortDigest {
	sum := sha256.Sum256([]byte(digest))
	return ShortDigest(sum[:digestBytes])
}

// HistoryEntry is a change that was taken.
type HistoryEntry struct {
	Version uint64
	Digest  ShortDigest
}

// History remembers the changes that were taken last, by rising versions, so that a
// change which is sent again is known. It is written with every change and so kept
// short: each entry is the version's distance from the one before, then the digest.
type History struct {
	// Forgotten is the highest version whose change is remembered no more.
	Forgotten uint64
	Count     int
	Packed    []byte
}

// formerEntry is an entry of the history as states of former versions hold it.
type formerEntry struct {
	Version uint64
	Digest  string
}

// DecodeMsgpack reads a history, also one of a former version: a list of entries.
func (history *History) DecodeMsgpack(decoder *msgpack.Decoder) error {
	code, err := decoder.PeekCode()
	if err != nil {
		return err
	}
	if !msgpcode.IsFixedArray(code) && code != msgpcode.Array16 && code != msgpcode.Array32 {
		type plain History
		return decoder.Decode((*plain)(history))
	}
	var former []formerEntry
	if err := decoder.Decode(&former); err != nil {
		return err
	}
	*history = History{}
	for _, entry := range former {
		*history = history.With(entry.Version, entry.Digest)
	}
	return nil
}

// next reads the entry at the front of packed, which follows a version.
func next(packed []byte, version uint64) (entry HistoryEntry, rest []byte, found bool) {
	distance, width := binary.Uvarint(packed)
	if width <= 0 || len(packed) < width+digestBytes {
		return HistoryEntry{}, nil, false
	}
	entry = HistoryEntry{Version: version + distance, Digest: ShortDigest(packed[width : width+digestBytes])}
	return entry, packed[width+digestBytes:], true
}

// Entries are the changes remembered, oldest first.
func (history History) Entries() []HistoryEntry {
	entries := make([]HistoryEntry, 0, history.Count)
	version := history.Forgotten
	for rest := history.Packed; ; {
		entry, after, found := next(rest, version)
		if !found {
			return entries
		}
		entries = append(entries, entry)
		version, rest = entry.Version, after
	}
}

// Contains is whether a change is remembered as taken.
func (history History) Contains(version uint64, digest string) bool {
	for _, entry := range history.Entries() {
		if entry.Version == version {
			return entry.Digest == DigestOf(digest)
		}
	}
	return false
}

// MayHaveForgotten is whether a change of this version may have been taken so long ago that
// the history can't tell.
func (history History) MayHaveForgotten(version uint64) bool { return version <= history.Forgotten }

// With is the history with one more change, whose version is above all others.
func (history History) With(version uint64, digest string) History {
	last := history.Forgotten
	if entries := history.Entries(); len(entries) > 0 {
		last = entries[len(entries)-1].Version
	}
	short := DigestOf(digest)
	longer := History{
		Forgotten: history.Forgotten,
		Count:     history.Count + 1,
		Packed:    binary.AppendUvarint(bytes.Clone(history.Packed), version-last),
	}
	longer.Packed = append(longer.Packed, short[:]...)
	for longer.Count > MaxHistory {
		oldest, rest, _ := next(longer.Packed, longer.Forgotten)
		longer = History{Forgotten: oldest.Version, Count: longer.Count - 1, Packed: rest}
	}
	return longer
}
