package message

import (
	"crypto/sha256"
	"maps"
	"time"

	"orchidjunction/rpc"
)

// MaxChunksPerFetch is the maximum number of chunks per fetch request.
const MaxChunksPerFetch = 128

const digestBytes = 16

// ChunkRef refers to a chunk of a register's content by its path and the digest of its text.
type ChunkRef struct {
	_msgpack struct{} `msgpack:",as_array"` //nolint:unused // msgpack reads its tag by reflection
	Path     string
	Digest   string
}

// DigestOf returns the digest that identifies a text: the first half of its SHA-256 hash as raw
// bytes.
func DigestOf(text []byte) string {
	sum := sha256.Sum256(text)
	return string(sum[:digestBytes])
}

// Chunks maps digests to texts.
type Chunks map[string][]byte

// check rejects a text that does not match its digest.
func (chunks Chunks) check() error {
	for digest, text := range chunks {
		if DigestOf(text) != digest {
			return rpc.Errorf(rpc.CorruptChunk, "chunk of %d bytes does not match its digest", len(text))
		}
	}
	return nil
}

func (chunks Chunks) contains(digest string) bool {
	_, found := chunks[digest]
	return found
}

// MissingChunks returns the distinct digests of refs that are in none of the known chunks.
func MissingChunks(refs []ChunkRef, known ...Chunks) []string {
	missing := []string{}
	seen := map[string]bool{}
	for _, ref := range refs {
		found := seen[ref.Digest]
		for _, chunks := range known {
			found = found || chunks.contains(ref.Digest)
		}
		if !found {
			seen[ref.Digest] = true
			missing = append(missing, ref.Digest)
		}
	}
	return missing
}

// Fetch adds the missing chunks from the process at an address, up to MaxChunksPerFetch per
// request. It returns an error if a chunk is unavailable or corrupt.
func (chunks Chunks) Fetch(client *rpc.Client, address string, timeout time.Duration, missing []string) error {
	for len(missing) > 0 {
		count := min(len(missing), MaxChunksPerFetch)
		request := &FetchChunksRequest{Digests: missing[:count]}
		response, err := rpc.Call(client, address, MethodFetchChunks, timeout, request)
		if err != nil {
			return err
		}
		if len(response.Chunks) < count {
			return rpc.Errorf(rpc.CorruptChunk, "%d of %d requested chunks are unavailable", count-len(response.Chunks), count)
		}
		maps.Copy(chunks, response.Chunks)
		missing = missing[count:]
	}
	return nil
}

// FetchChunksRequest asks for chunks. The response omits those that the responder lacks.
type FetchChunksRequest struct {
	Digests []string
}

// Check rejects more than MaxChunksPerFetch digests.
func (request *FetchChunksRequest) Check() error {
	if len(request.Digests) > MaxChunksPerFetch {
		return rpc.Errorf(rpc.BadMessage, "%d chunks requested, at most %d allowed", len(request.Digests), MaxChunksPerFetch)
	}
	return nil
}

// FetchChunksResponse contains the requested chunks.
type FetchChunksResponse struct {
	Chunks Chunks `msgpack:"Texts"`
}

// Check rejects a chunk that does not match its digest.
func (response *FetchChunksResponse) Check() error { return response.Chunks.check() }
