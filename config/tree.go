package config

import (
	"bytes"
	"encoding/json"
	"fmt"
	"strings"
	"sync"

	"orchidjunction/message"
	"orchidjunction/rpc"
)

// Tree is one version of the settings, split into content-addressed chunks. A chunk is a
// part of the JSON text with a path: the top level, a bucket of tenants, a class without
// services, a service without routes, a bucket of routes. Unchanged parts are shared with
// the previous version and parsed only once.
type Tree struct {
	Settings     *Settings
	Refs         []message.ChunkRef
	chunks       message.Chunks
	parsedChunks map[string]*parsedChunk

	mutex    sync.Mutex
	body     []byte
	document map[string]any
}

// Parse decodes, checks and splits the JSON text of whole settings.
func Parse(body []byte, previous *Tree) (*Tree, error) {
	if _, err := Read(body); err != nil {
		return nil, err
	}
	document, err := decode(body)
	if err != nil {
		return nil, err
	}
	return parseDocument(document, previous)
}

func parseDocument(document map[string]any, previous *Tree) (*Tree, error) {
	splitter := &splitter{previous: previous, chunks: message.Chunks{}}
	if previous != nil {
		splitter.previousDocument = previous.decoded()
	}
	if !splitter.split(document) {
		body, err := json.Marshal(document)
		if err != nil {
			return nil, rpc.Errorf(rpc.Invalid, "%v", err)
		}
		if _, err := Read(body); err != nil {
			return nil, err
		}
		return nil, rpc.Errorf(rpc.Invalid, "settings cannot be split into chunks")
	}
	tree, err := assembleTree(previous, splitter.refs, splitter.chunks, true)
	if err != nil {
		return nil, err
	}
	tree.document = document
	return tree, nil
}

// Patch returns the tree with a JSON merge patch (RFC 7396) applied. It checks the result.
func (tree *Tree) Patch(partial []byte) (*Tree, error) {
	patch, err := readPartial(partial)
	if err != nil {
		return nil, err
	}
	return parseDocument(merge(tree.decoded(), patch).(map[string]any), tree)
}

// Assemble returns the tree of refs, whose texts are in chunks or in the previous version.
// Constraints across fields are not checked.
func Assemble(previous *Tree, refs []message.ChunkRef, chunks message.Chunks) (*Tree, error) {
	return assembleTree(previous, refs, chunks, false)
}

// Missing returns the digests among refs that the tree does not contain.
func (tree *Tree) Missing(refs []message.ChunkRef) []string {
	if tree == nil {
		return message.MissingChunks(refs)
	}
	return message.MissingChunks(refs, tree.chunks)
}

// Text returns the text of a chunk of the tree, nil if there is none.
func (tree *Tree) Text(digest string) []byte {
	if tree == nil {
		return nil
	}
	return tree.chunks[digest]
}

func (tree *Tree) decoded() map[string]any {
	if tree == nil {
		return nil
	}
	tree.mutex.Lock()
	defer tree.mutex.Unlock()
	if tree.document == nil {
		tree.document, _ = decode(tree.composeBody())
	}
	return tree.document
}

// Body returns the JSON text of the whole settings.
func (tree *Tree) Body() []byte {
	if tree == nil {
		return nil
	}
	tree.mutex.Lock()
	defer tree.mutex.Unlock()
	return tree.composeBody()
}

func assembleTree(previous *Tree, refs []message.ChunkRef, chunks message.Chunks, validate bool) (*Tree, error) {
	tree := &Tree{Refs: refs, chunks: make(message.Chunks, len(refs)), parsedChunks: make(map[string]*parsedChunk, len(refs))}
	reader := &reader{}
	for _, ref := range refs {
		text := chunks[ref.Digest]
		if text == nil {
			text = previous.Text(ref.Digest)
		}
		if text == nil {
			return nil, rpc.Errorf(rpc.CorruptChunk, "chunk %s is missing", ref.Path)
		}
		tree.chunks[ref.Digest] = text
		if previous != nil {
			if unchanged := previous.parsedChunks[ref.Path]; unchanged != nil && unchanged.digest == ref.Digest {
				tree.parsedChunks[ref.Path] = unchanged
				continue
			}
		}
		tree.parsedChunks[ref.Path] = reader.parseChunk(ref, text)
	}
	if len(reader.details) > 0 {
		return nil, reader.validationError()
	}
	if err := tree.assembleSettings(previous); err != nil {
		return nil, err
	}
	if validate {
		var previousSettings *Settings
		if previous != nil {
			previousSettings = previous.Settings
		}
		if reader.check(tree.Settings, previousSettings); len(reader.details) > 0 {
			return nil, reader.validationError()
		}
	}
	return tree, nil
}

// composeBody returns the whole JSON text and caches it.
func (tree *Tree) composeBody() []byte {
	if tree.body != nil {
		return tree.body
	}
	contents := func(path string) []byte {
		text := tree.chunks[tree.parsedChunks[path].digest]
		return text[1 : len(text)-1]
	}
	children := map[string][]string{}
	for _, ref := range tree.Refs {
		names := strings.Split(ref.Path, "/")
		kind := names[0]
		if len(names) > 1 && kind != "tenants" {
			kind += "/" + strings.Join(names[1:len(names)-1], "/")
		}
		children[kind] = append(children[kind], ref.Path)
	}
	var body bytes.Buffer
	writeObject := func(field string, paths []string, write func(path string)) {
		fmt.Fprintf(&body, `,%q:{`, field)
		for index, path := range paths {
			if index > 0 {
				body.WriteByte(',')
			}
			write(path)
		}
		body.WriteByte('}')
	}
	body.WriteByte('{')
	body.Write(contents("top"))
	writeObject("tenants", children["tenants"], func(path string) { body.Write(contents(path)) })
	writeObject("classes", children["class/"], func(path string) {
		class := strings.Split(path, "/")[1]
		fmt.Fprintf(&body, `%q:{`, class)
		body.Write(contents(path))
		writeObject("services", children["service/"+class], func(path string) {
			service := strings.Split(path, "/")[2]
			fmt.Fprintf(&body, `%q:{`, service)
			ownFields := contents(path)
			body.Write(ownFields)
			start := body.Len()
			writeObject("routes", children["routes/"+class+"/"+service], func(path string) { body.Write(contents(path)) })
			if len(ownFields) == 0 {
				rest := append([]byte{}, body.Bytes()[start+1:]...)
				body.Truncate(start)
				body.Write(rest)
			}
			body.WriteByte('}')
		})
		body.WriteByte('}')
	})
	body.WriteByte('}')
	tree.body = body.Bytes()
	return tree.body
}
