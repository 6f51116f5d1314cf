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

// splitter splits decoded settings into chunks, and keeps those of the previous version
// whose content is unchanged.
type splitter struct {
	previous         *Tree
	previousDocument map[string]any
	refs             []message.ChunkRef
	chunks           message.Chunks
}

// isIdentical reports whether two values are the same map or slice, or equal scalars.
func isIdentical(left, right any) bool {
	leftValue, rightValue := reflect.ValueOf(left), reflect.ValueOf(right)
	if leftValue.Kind() != rightValue.Kind() {
		return false
	}
	switch leftValue.Kind() {
	case reflect.Map:
		return leftValue.Pointer() == rightValue.Pointer()
	case reflect.Slice:
		return leftValue.Pointer() == rightValue.Pointer() && leftValue.Len() == rightValue.Len()
	case reflect.Invalid:
		return true
	}
	return left == right
}

func asObject(value any) map[string]any {
	fields, _ := value.(map[string]any)
	return fields
}

func (splitter *splitter) put(path string, value any) {
	text, _ := json.Marshal(value)
	digest := message.DigestOf(text)
	splitter.refs = append(splitter.refs, message.ChunkRef{Path: path, Digest: digest})
	splitter.chunks[digest] = text
}

// reusePrevious keeps the chunks of the previous version whose paths match.
func (splitter *splitter) reusePrevious(matches func(path string) bool) {
	for _, ref := range splitter.previous.Refs {
		if matches(ref.Path) {
			splitter.refs = append(splitter.refs, ref)
		}
	}
}

// without returns a copy of an object without the given fields.
func without(object map[string]any, fields ...string) map[string]any {
	rest := make(map[string]any, len(object))
	maps.Copy(rest, object)
	for _, field := range fields {
		delete(rest, field)
	}
	return rest
}

// split returns false if objects or names on which chunks depend are missing or invalid.
func (splitter *splitter) split(whole map[string]any) bool {
	tenants, classes := asObject(whole["tenants"]), asObject(whole["classes"])
	if tenants == nil || classes == nil {
		return false
	}
	splitter.put("top", without(whole, "tenants", "classes"))
	splitter.splitBuckets("tenants", tenants, asObject(splitter.previousDocument["tenants"]))
	previousClasses := asObject(splitter.previousDocument["classes"])
	for _, name := range sortedNames(classes) {
		class, previous := asObject(classes[name]), asObject(previousClasses[name])
		services := asObject(class["services"])
		if services == nil || !isValidName(name) {
			return false
		}
		if previous != nil && isIdentical(class, previous) {
			splitter.reusePrevious(func(path string) bool {
				names := strings.Split(path, "/")
				return len(names) > 1 && names[0] != "tenants" && names[1] == name
			})
			continue
		}
		splitter.put("class/"+name, without(class, "services"))
		for _, serviceName := range sortedNames(services) {
			if !splitter.splitService(
				name+"/"+serviceName,
				serviceName,
				asObject(services[serviceName]),
				asObject(asObject(previous["services"])[serviceName]),
			) {
				return false
			}
		}
	}
	sort.Slice(splitter.refs, func(left, right int) bool { return splitter.refs[left].Path < splitter.refs[right].Path })
	return true
}

func (splitter *splitter) splitService(path, name string, service, previous map[string]any) bool {
	routes := asObject(service["routes"])
	if routes == nil || !isValidName(name) {
		return false
	}
	if previous != nil && isIdentical(service, previous) {
		splitter.reusePrevious(func(candidate string) bool {
			return candidate == "service/"+path || strings.HasPrefix(candidate, "routes/"+path+"/")
		})
		return true
	}
	splitter.put("service/"+path, without(service, "routes"))
	splitter.splitBuckets("routes/"+path, routes, asObject(previous["routes"]))
	return true
}

// splitBuckets distributes an object's fields over buckets by the hash of their names. Only
// changed buckets are encoded again.
func (splitter *splitter) splitBuckets(path string, current, previous map[string]any) {
	count := bucketCount(len(current))
	rebuild := previous == nil || splitter.previous == nil || bucketCount(len(previous)) != count
	dirty := map[int]map[string]any{}
	markDirty := func(name string) {
		if bucket := bucketOf(name, count); dirty[bucket] == nil {
			dirty[bucket] = map[string]any{}
		}
	}
	for name, value := range current {
		if old, found := previous[name]; rebuild || !found || !isIdentical(old, value) {
			markDirty(name)
		}
	}
	for name := range previous {
		if _, found := current[name]; !found && !rebuild {
			markDirty(name)
		}
	}
	for name, value := range current {
		if bucket := dirty[bucketOf(name, count)]; bucket != nil {
			bucket[name] = value
		}
	}
	bucketPath := func(bucket int) string { return fmt.Sprintf("%s/%04x", path, bucket) }
	for bucket := range count {
		switch {
		case len(dirty[bucket]) > 0:
			splitter.put(bucketPath(bucket), dirty[bucket])
		case dirty[bucket] == nil && !rebuild && splitter.previous.parsedChunks[bucketPath(bucket)] != nil:
			splitter.refs = append(
				splitter.refs,
				message.ChunkRef{Path: bucketPath(bucket), Digest: splitter.previous.parsedChunks[bucketPath(bucket)].digest},
			)
		}
	}
}
