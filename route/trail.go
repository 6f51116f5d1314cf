package route

import (
	"bytes"
	"crypto/sha256"
	"encoding/binary"

	"github.com/vmihailenco/msgpack/v5"
	"github.com/vmihailenco/msgpack/v5/msgpcode"
)

// TrailMost is how many taken orders a trail remembers.
const TrailMost = 4096

const digestBytes = 8

// ShortDigest stands for an order's text in a trail. Versions are never used
// twice, so it only has to tell apart the few orders that named the same one.
type ShortDigest [digestBytes]byte

// DigestOf is the short digest of the digest that an order carries.
func DigestOf(digest string) ShortDigest {
	sum := sha256.Sum256([]byte(digest))
	return ShortDigest(sum[:digestBytes])
}

// Applied is an order that was taken.
type Applied struct {
	Version uint64
	Digest  ShortDigest
}

// Trail remembers the orders that were taken last, by rising versions, so that an
// order which is sent again is known. It is written with every change and so kept
// short: each entry is the version's distance from the one before, then the digest.
type Trail struct {
	// Forgotten is the highest version whose order is remembered no more.
	Forgotten uint64
	Count     int
	Packed    []byte
}

// formerApplied is an entry of the trail as books of former versions hold it.
type formerApplied struct {
	Version uint64
	Digest  string
}

// DecodeMsgpack reads a trail, also one of a former version: a list of entries.
func (trail *Trail) DecodeMsgpack(decoder *msgpack.Decoder) error {
	code, err := decoder.PeekCode()
	if err != nil {
		return err
	}
	if !msgpcode.IsFixedArray(code) && code != msgpcode.Array16 && code != msgpcode.Array32 {
		type plain Trail
		return decoder.Decode((*plain)(trail))
	}
	var former []formerApplied
	if err := decoder.Decode(&former); err != nil {
		return err
	}
	*trail = Trail{}
	for _, entry := range former {
		*trail = trail.With(entry.Version, entry.Digest)
	}
	return nil
}

// next reads the entry at the front of packed, which follows a version.
func next(packed []byte, version uint64) (entry Applied, rest []byte, found bool) {
	distance, width := binary.Uvarint(packed)
	if width <= 0 || len(packed) < width+digestBytes {
		return Applied{}, nil, false
	}
	entry = Applied{Version: version + distance, Digest: ShortDigest(packed[width : width+digestBytes])}
	return entry, packed[width+digestBytes:], true
}

// Entries are the orders remembered, oldest first.
func (trail Trail) Entries() []Applied {
	entries := make([]Applied, 0, trail.Count)
	version := trail.Forgotten
	for rest := trail.Packed; ; {
		entry, after, found := next(rest, version)
		if !found {
			return entries
		}
		entries = append(entries, entry)
		version, rest = entry.Version, after
	}
}

// Holds is whether an order is remembered as taken.
func (trail Trail) Holds(version uint64, digest string) bool {
	for _, entry := range trail.Entries() {
		if entry.Version == version {
			return entry.Digest == DigestOf(digest)
		}
	}
	return false
}

// Forgets is whether an order of this version may have been taken so long ago that
// the trail can't tell.
func (trail Trail) Forgets(version uint64) bool { return version <= trail.Forgotten }

// With is the trail with one more order, whose version is above all others.
func (trail Trail) With(version uint64, digest string) Trail {
	last := trail.Forgotten
	if entries := trail.Entries(); len(entries) > 0 {
		last = entries[len(entries)-1].Version
	}
	short := DigestOf(digest)
	longer := Trail{Forgotten: trail.Forgotten, Count: trail.Count + 1, Packed: binary.AppendUvarint(bytes.Clone(trail.Packed), version-last)}
	longer.Packed = append(longer.Packed, short[:]...)
	for longer.Count > TrailMost {
		oldest, rest, _ := next(longer.Packed, longer.Forgotten)
		longer = Trail{Forgotten: oldest.Version, Count: longer.Count - 1, Packed: rest}
	}
	return longer
}
