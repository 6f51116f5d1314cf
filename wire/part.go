package wire

import (
	"crypto/sha256"
	"time"
)

// ChunkRef names a branch of a register's content by the digest of its text.
type ChunkRef struct {
	_msgpack struct{} `msgpack:",as_array"` //nolint:unused // msgpack reads its tag by reflection
	Path     string
	Digest   string
}

// DigestOf names a text.
func DigestOf(text []byte) string {
	sum := sha256.Sum256(text)
	return string(sum[:16])
}

// Chunks are branches by their digests.
type Chunks map[string][]byte

// check finds a text that is not what its name says.
func (texts Chunks) check() error {
	for digest, text := range texts {
		if DigestOf(text) != digest {
			return Errorf(CorruptChunk, "a branch of %d bytes is not what its digest names", len(text))
		}
	}
	return nil
}

// MissingChunks are the digests among parts that nobody of those asked holds, each once.
func MissingChunks(parts []ChunkRef, held ...Chunks) []string {
	lacks, seen := []string{}, map[string]bool{}
	for _, part := range parts {
		found := seen[part.Digest]
		for _, texts := range held {
			_, there := texts[part.Digest]
			found = found || there
		}
		if !found {
			seen[part.Digest] = true
			lacks = append(lacks, part.Digest)
		}
	}
	return lacks
}

// FetchChunksRequest asks for branches that the asker lacks; what the teller lacks too is left out.
type FetchChunksRequest struct {
	Digests []string
}

// FetchChunksResponse brings the branches that the teller holds.
type FetchChunksResponse struct {
	Chunks Chunks `msgpack:"Texts"`
}

// MaxChunksPerFetch is how many branches one message asks for at most.
const MaxChunksPerFetch = 128

// Fetch brings branches into the texts, a bounded number a message; one that
// the teller lacks, or that came damaged, is never guessed.
func (texts Chunks) Fetch(line *Client, address string, limit time.Duration, lacks []string) error {
	for len(lacks) > 0 {
		count := min(len(lacks), MaxChunksPerFetch)
		told, err := Call[FetchChunksRequest, FetchChunksResponse](line, address, "parts", limit, &FetchChunksRequest{Digests: lacks[:count]})
		if err != nil {
			return AsError(err)
		}
		if len(told.Chunks) < count {
			return Errorf(CorruptChunk, "%d of %d branches are not there", count-len(told.Chunks), count)
		}
		for digest, text := range told.Chunks {
			texts[digest] = text
		}
		lacks = lacks[count:]
	}
	return nil
}

// Check refuses more than PartsMost branches.
func (message *FetchChunksRequest) Check() error {
	if len(message.Digests) > MaxChunksPerFetch {
		return Errorf(BadMessage, "%d branches asked for, allowed %d", len(message.Digests), MaxChunksPerFetch)
	}
	return nil
}

// Check refuses a branch that is not what its digest names.
func (message *FetchChunksResponse) Check() error { return message.Chunks.check() }
