package config

import (
	"encoding/json"
	"fmt"
	"maps"
	"reflect"
	"sort"
	"strings"

	"orchidjunction/message"
)

// splitter cuts a decoded tree into branches.
type splitter struct {
	former        *Tree
	formerDecoded map[string]any
	refs          []message.ChunkRef
	chunks        message.Chunks
}

// same is whether two decoded values are one and the same.
func same(left, right any) bool {
	former, latter := reflect.ValueOf(left), reflect.ValueOf(right)
	if former.Kind() != latter.Kind() {
		return false
	}
	switch former.Kind() {
	case reflect.Map:
		return former.Pointer() == latter.Pointer()
	case reflect.Slice:
		return former.Pointer() == latter.Pointer() && former.Len() == latter.Len()
	case reflect.Invalid:
		return true
	}
	return left == right
}

func object(value any) map[string]any {
	branch, _ := value.(map[string]any)
	return branch
}

func (splitter *splitter) put(path string, value any) {
	text, _ := json.Marshal(value)
	digest := message.DigestOf(text)
	splitter.refs = append(splitter.refs, message.ChunkRef{Path: path, Digest: digest})
	splitter.chunks[digest] = text
}

// keepFormer takes the former version's branches of a path and below.
func (splitter *splitter) keepFormer(accept func(path string) bool) {
	for _, part := range splitter.former.Refs {
		if accept(part.Path) {
			splitter.refs = append(splitter.refs, part)
		}
	}
}

// without is an object less what lies in branches of its own.
func without(branch map[string]any, fields ...string) map[string]any {
	rest := make(map[string]any, len(branch))
	maps.Copy(rest, branch)
	for _, field := range fields {
		delete(rest, field)
	}
	return rest
}

// split is false where the tree has not the shape that branches need.
func (splitter *splitter) split(whole map[string]any) bool {
	tenants, classes := object(whole["tenants"]), object(whole["classes"])
	if tenants == nil || classes == nil {
		return false
	}
	splitter.put("top", without(whole, "tenants", "classes"))
	splitter.buckets("tenants", tenants, object(splitter.formerDecoded["tenants"]))
	formerly := object(splitter.formerDecoded["classes"])
	for _, name := range sortedNames(classes) {
		class, former := object(classes[name]), object(formerly[name])
		services := object(class["services"])
		if services == nil || !isValidName(name) {
			return false
		}
		if former != nil && same(class, former) {
			splitter.keepFormer(func(path string) bool {
				names := strings.Split(path, "/")
				return len(names) > 1 && names[0] != "tenants" && names[1] == name
			})
			continue
		}
		splitter.put("class/"+name, without(class, "services"))
		for _, inner := range sortedNames(services) {
			if !splitter.service(name+"/"+inner, inner, object(services[inner]), object(object(former["services"])[inner])) {
				return false
			}
		}
	}
	sort.Slice(splitter.refs, func(left, right int) bool { return splitter.refs[left].Path < splitter.refs[right].Path })
	return true
}

func (splitter *splitter) service(path, name string, service, former map[string]any) bool {
	routes := object(service["routes"])
	if routes == nil || !isValidName(name) {
		return false
	}
	if former != nil && same(service, former) {
		splitter.keepFormer(func(held string) bool {
			return held == "service/"+path || strings.HasPrefix(held, "routes/"+path+"/")
		})
		return true
	}
	splitter.put("service/"+path, without(service, "routes"))
	splitter.buckets("routes/"+path, routes, object(former["routes"]))
	return true
}

// buckets spreads an object's names; only buckets in which something changed
// are written anew.
func (splitter *splitter) buckets(path string, now, former map[string]any) {
	count := bucketCount(len(now))
	fresh := former == nil || splitter.former == nil || bucketCount(len(former)) != count
	dirty := map[int]map[string]any{}
	mark := func(name string) {
		if bucket := bucketOf(name, count); dirty[bucket] == nil {
			dirty[bucket] = map[string]any{}
		}
	}
	for name, value := range now {
		if before, found := former[name]; fresh || !found || !same(before, value) {
			mark(name)
		}
	}
	for name := range former {
		if _, found := now[name]; !found && !fresh {
			mark(name)
		}
	}
	for name, value := range now {
		if bucket := dirty[bucketOf(name, count)]; bucket != nil {
			bucket[name] = value
		}
	}
	spot := func(bucket int) string { return fmt.Sprintf("%s/%04x", path, bucket) }
	for bucket := range count {
		switch {
		case len(dirty[bucket]) > 0:
			splitter.put(spot(bucket), dirty[bucket])
		case dirty[bucket] == nil && !fresh && splitter.former.fragments[spot(bucket)] != nil:
			splitter.refs = append(
				splitter.refs,
				message.ChunkRef{Path: spot(bucket), Digest: splitter.former.fragments[spot(bucket)].digest},
			)
		}
	}
}
