package routing

import (
	"bytes"
	"crypto/sha256"
	"encoding/binary"

	"github.com/vmihailenco/msgpack/v5"
	"github.com/vmihailenco/msgpack/v5/msgpcode"
)

// MaxHistory is the number of accepted changes that a history keeps.
const MaxHistory = 4096

const digestBytes = 8

// ShortDigest identifies the text of a change in a history. Versions are never reused, so it
// only has to distinguish the few changes that requested the same version.
type ShortDigest [digestBytes]byte

// DigestOf returns the short digest of Change.Digest.
func DigestOf(digest string) ShortDigest {
	sum := sha256.Sum256([]byte(digest))
	return ShortDigest(sum[:digestBytes])
}

// HistoryEntry is an accepted change.
type HistoryEntry struct {
	Version uint64
	Digest  ShortDigest
}

// History holds the most recently accepted changes by ascending version, to detect duplicates.
// It is stored with every change and therefore compact: an entry in Packed is the difference
// of its version from the previous one, and the digest.
type History struct {
	// Forgotten is the highest version that was dropped from the history.
	Forgotten uint64
	Count     int
	Packed    []byte
}

// legacyEntry is a history entry as stored by older releases.
type legacyEntry struct {
	Version uint64
	Digest  string
}

// DecodeMsgpack decodes a history, also in the format of older releases: a list of entries.
func (history *History) DecodeMsgpack(decoder *msgpack.Decoder) error {
	code, err := decoder.PeekCode()
	if err != nil {
		return err
	}
	if !msgpcode.IsFixedArray(code) && code != msgpcode.Array16 && code != msgpcode.Array32 {
		type plain History
		return decoder.Decode((*plain)(history))
	}
	var legacy []legacyEntry
	if err := decoder.Decode(&legacy); err != nil {
		return err
	}
	*history = History{}
	for _, entry := range legacy {
		*history = history.With(entry.Version, entry.Digest)
	}
	return nil
}

// decodeEntry decodes the first entry of packed; previous is the version of the entry before.
func decodeEntry(packed []byte, previous uint64) (entry HistoryEntry, rest []byte, found bool) {
	difference, width := binary.Uvarint(packed)
	if width <= 0 || len(packed) < width+digestBytes {
		return HistoryEntry{}, nil, false
	}
	entry = HistoryEntry{Version: previous + difference, Digest: ShortDigest(packed[width : width+digestBytes])}
	return entry, packed[width+digestBytes:], true
}

// Entries returns the entries, oldest first.
func (history History) Entries() []HistoryEntry {
	entries := make([]HistoryEntry, 0, history.Count)
	version := history.Forgotten
	for rest := history.Packed; ; {
		entry, after, found := decodeEntry(rest, version)
		if !found {
			return entries
		}
		entries = append(entries, entry)
		version, rest = entry.Version, after
	}
}

// Contains reports whether a change is in the history.
func (history History) Contains(version uint64, digest string) bool {
	for _, entry := range history.Entries() {
		if entry.Version == version {
			return entry.Digest == DigestOf(digest)
		}
	}
	return false
}

// MayHaveDropped reports whether a change of this version may have been accepted and dropped
// from the history since.
func (history History) MayHaveDropped(version uint64) bool { return version <= history.Forgotten }

// With returns the history with one more change. Its version must be above all others.
func (history History) With(version uint64, digest string) History {
	last := history.Forgotten
	if entries := history.Entries(); len(entries) > 0 {
		last = entries[len(entries)-1].Version
	}
	shortDigest := DigestOf(digest)
	extended := History{
		Forgotten: history.Forgotten,
		Count:     history.Count + 1,
		Packed:    binary.AppendUvarint(bytes.Clone(history.Packed), version-last),
	}
	extended.Packed = append(extended.Packed, shortDigest[:]...)
	for extended.Count > MaxHistory {
		oldest, rest, _ := decodeEntry(extended.Packed, extended.Forgotten)
		extended = History{Forgotten: oldest.Version, Count: extended.Count - 1, Packed: rest}
	}
	return extended
}
