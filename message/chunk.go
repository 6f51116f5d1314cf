package message

import (
	"crypto/sha256"
	"maps"
	"time"

	"orchidjunction/rpc"
)

// MaxChunksPerFetch is how many chunks one message may ask for.
const MaxChunksPerFetch = 128

const digestBytes = 16

// ChunkRef names one chunk of a register's content: the path it stands at, and the
// digest of its text.
type ChunkRef struct {
	_msgpack struct{} `msgpack:",as_array"` //nolint:unused // msgpack reads its tag by reflection
	Path     string
	Digest   string
}

// DigestOf returns the digest that names a text: the first half of its SHA-256, as a
// string of bytes.
func DigestOf(text []byte) string {
	sum := sha256.Sum256(text)
	return string(sum[:digestBytes])
}

// Chunks are texts by their digests.
type Chunks map[string][]byte

// check refuses a text that does not match its digest.
func (chunks Chunks) check() error {
	for digest, text := range chunks {
		if DigestOf(text) != digest {
			return rpc.Errorf(rpc.CorruptChunk, "a chunk of %d bytes does not match its digest", len(text))
		}
	}
	return nil
}

func (chunks Chunks) contains(digest string) bool {
	_, found := chunks[digest]
	return found
}

// MissingChunks returns the digests of those references which none of the given chunks
// contain, each once.
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

// Fetch adds the missing chunks from the process at an address, a bounded number in
// each message. It returns an error if one of them is not there or arrives corrupt.
func (chunks Chunks) Fetch(client *rpc.Client, address string, timeout time.Duration, missing []string) error {
	for len(missing) > 0 {
		count := min(len(missing), MaxChunksPerFetch)
		request := &FetchChunksRequest{Digests: missing[:count]}
		response, err := rpc.Call(client, address, MethodFetchChunks, timeout, request)
		if err != nil {
			return err
		}
		if len(response.Chunks) < count {
			return rpc.Errorf(rpc.CorruptChunk, "%d of %d chunks are not there", count-len(response.Chunks), count)
		}
		maps.Copy(chunks, response.Chunks)
		missing = missing[count:]
	}
	return nil
}

// FetchChunksRequest asks for chunks. Those that the other process lacks are left out
// of the response.
type FetchChunksRequest struct {
	Digests []string
}

// Check refuses more than MaxChunksPerFetch digests.
func (request *FetchChunksRequest) Check() error {
	if len(request.Digests) > MaxChunksPerFetch {
		return rpc.Errorf(rpc.BadMessage, "%d chunks asked for, allowed %d", len(request.Digests), MaxChunksPerFetch)
	}
	return nil
}

// FetchChunksResponse brings chunks.
type FetchChunksResponse struct {
	Chunks Chunks `msgpack:"Texts"`
}

// Check refuses a chunk that does not match its digest.
func (response *FetchChunksResponse) Check() error { return response.Chunks.check() }
