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

// Tree is one version of the settings in branches. A branch is a part of the
// text with a path: the top, a bucket of tenants, a class or a service without
// what lies below it, a bucket of routes. What did not change since the version
// before is shared with it, read only once.
type Tree struct {
	Settings  *Settings
	Refs      []message.ChunkRef
	chunks    message.Chunks
	fragments map[string]*fragment

	mutex       sync.Mutex
	body        []byte
	decodedText map[string]any
}

// Parse reads, checks and splits a whole text.
func Parse(body []byte, before *Tree) (*Tree, error) {
	if _, err := Read(body); err != nil {
		return nil, err
	}
	whole, err := decode(body)
	if err != nil {
		return nil, err
	}
	return parse(whole, before)
}

func parse(whole map[string]any, before *Tree) (*Tree, error) {
	splitter := &splitter{former: before, chunks: message.Chunks{}}
	if before != nil {
		splitter.formerDecoded = before.decoded()
	}
	if !splitter.split(whole) {
		body, err := json.Marshal(whole)
		if err != nil {
			return nil, rpc.Errorf(rpc.Invalid, "%v", err)
		}
		if _, err := Read(body); err != nil {
			return nil, err
		}
		return nil, rpc.Errorf(rpc.Invalid, "the tree has no known shape")
	}
	tree, err := assembleTree(before, splitter.refs, splitter.chunks, true)
	if err != nil {
		return nil, err
	}
	tree.decodedText = whole
	return tree, nil
}

// Patch merges a partial tree into this one; objects merge, null removes.
func (tree *Tree) Patch(partial []byte) (*Tree, error) {
	part, err := readPartial(partial)
	if err != nil {
		return nil, err
	}
	return parse(merge(tree.decoded(), part).(map[string]any), tree)
}

// Assemble makes the tree of parts whose texts are known by the version before or given.
func Assemble(before *Tree, parts []message.ChunkRef, chunks message.Chunks) (*Tree, error) {
	return assembleTree(before, parts, chunks, false)
}

// Missing are the digests among parts that this tree does not hold.
func (tree *Tree) Missing(parts []message.ChunkRef) []string {
	if tree == nil {
		return message.MissingChunks(parts)
	}
	return message.MissingChunks(parts, tree.chunks)
}

// Text is a branch of this tree.
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
	if tree.decodedText == nil {
		tree.decodedText, _ = decode(tree.compose())
	}
	return tree.decodedText
}

// Body is the whole text.
func (tree *Tree) Body() []byte {
	if tree == nil {
		return nil
	}
	tree.mutex.Lock()
	defer tree.mutex.Unlock()
	return tree.compose()
}

func assembleTree(before *Tree, parts []message.ChunkRef, chunks message.Chunks, check bool) (*Tree, error) {
	tree := &Tree{Refs: parts, chunks: make(message.Chunks, len(parts)), fragments: make(map[string]*fragment, len(parts))}
	reader := &reader{}
	for _, part := range parts {
		text := chunks[part.Digest]
		if text == nil {
			text = before.Text(part.Digest)
		}
		if text == nil {
			return nil, rpc.Errorf(rpc.CorruptChunk, "branch %s is missing", part.Path)
		}
		tree.chunks[part.Digest] = text
		if before != nil {
			if held := before.fragments[part.Path]; held != nil && held.digest == part.Digest {
				tree.fragments[part.Path] = held
				continue
			}
		}
		tree.fragments[part.Path] = reader.fragment(part, text)
	}
	if len(reader.details) > 0 {
		return nil, reader.refusal()
	}
	if err := tree.assembleSettings(before); err != nil {
		return nil, err
	}
	if check {
		var former *Settings
		if before != nil {
			former = before.Settings
		}
		if reader.check(tree.Settings, former); len(reader.details) > 0 {
			return nil, reader.refusal()
		}
	}
	return tree, nil
}

// compose is the whole text, made once.
func (tree *Tree) compose() []byte {
	if tree.body != nil {
		return tree.body
	}
	inner := func(path string) []byte {
		text := tree.chunks[tree.fragments[path].digest]
		return text[1 : len(text)-1]
	}
	below := map[string][]string{}
	for _, part := range tree.Refs {
		names := strings.Split(part.Path, "/")
		kind := names[0]
		if len(names) > 1 && kind != "tenants" {
			kind += "/" + strings.Join(names[1:len(names)-1], "/")
		}
		below[kind] = append(below[kind], part.Path)
	}
	var body bytes.Buffer
	list := func(field string, paths []string, write func(path string)) {
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
	body.Write(inner("top"))
	list("tenants", below["tenants"], func(path string) { body.Write(inner(path)) })
	list("classes", below["class/"], func(path string) {
		class := strings.Split(path, "/")[1]
		fmt.Fprintf(&body, `%q:{`, class)
		body.Write(inner(path))
		list("services", below["service/"+class], func(path string) {
			service := strings.Split(path, "/")[2]
			fmt.Fprintf(&body, `%q:{`, service)
			head := inner(path)
			body.Write(head)
			mark := body.Len()
			list("routes", below["routes/"+class+"/"+service], func(path string) { body.Write(inner(path)) })
			if len(head) == 0 {
				text := append([]byte{}, body.Bytes()[mark+1:]...)
				body.Truncate(mark)
				body.Write(text)
			}
			body.WriteByte('}')
		})
		body.WriteByte('}')
	})
	body.WriteByte('}')
	tree.body = body.Bytes()
	return tree.body
}
