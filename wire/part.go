package wire

import (
	"crypto/sha256"
	"time"
)

// Part names a branch of a register's content by the digest of its text.
type Part struct {
	_msgpack struct{} `msgpack:",as_array"` //nolint:unused // msgpack reads its tag by reflection
	Path     string
	Digest   string
}

// DigestOf names a text.
func DigestOf(text []byte) string {
	sum := sha256.Sum256(text)
	return string(sum[:16])
}

// Texts are branches by their digests.
type Texts map[string][]byte

// check finds a text that is not what its name says.
func (texts Texts) check() error {
	for digest, text := range texts {
		if DigestOf(text) != digest {
			return New(DamagedPart, "a branch of %d bytes is not what its digest names", len(text))
		}
	}
	return nil
}

// Lacks are the digests among parts that nobody of those asked holds, each once.
func Lacks(parts []Part, held ...Texts) []string {
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

// Parts asks for branches that the asker lacks; what the teller lacks too is left out.
type Parts struct {
	Digests []string
}

// PartsTold brings the branches that the teller holds.
type PartsTold struct {
	Texts Texts
}

// PartsMost is how many branches one message asks for at most.
const PartsMost = 128

// AskParts brings branches into the texts, a bounded number a message; one that
// the teller lacks, or that came damaged, is never guessed.
func (texts Texts) AskParts(line *Line, address string, limit time.Duration, lacks []string) error {
	for len(lacks) > 0 {
		count := min(len(lacks), PartsMost)
		told, fault := Ask[Parts, PartsTold](line, address, "parts", limit, &Parts{Digests: lacks[:count]})
		if fault != nil {
			return AsMishap(fault)
		}
		if len(told.Texts) < count {
			return New(DamagedPart, "%d of %d branches are not there", count-len(told.Texts), count)
		}
		for digest, text := range told.Texts {
			texts[digest] = text
		}
		lacks = lacks[count:]
	}
	return nil
}

// Check refuses more than PartsMost branches.
func (message *Parts) Check() error {
	if len(message.Digests) > PartsMost {
		return New(BadMessage, "%d branches asked for, allowed %d", len(message.Digests), PartsMost)
	}
	return nil
}

// Check refuses a branch that is not what its digest names.
func (message *PartsTold) Check() error { return message.Texts.check() }
