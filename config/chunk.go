package config

import (
	"hash/fnv"
	"maps"
	"strings"

	"github.com/go-faster/jx"

	"orchidjunction/message"
	"orchidjunction/rpc"
)

// parsedChunk is a decoded chunk; the field of its kind is set.
type parsedChunk struct {
	digest   string
	settings *Settings
	tenants  map[string]Tenant
	class    *Class
	service  *Service
	routes   map[string]Route
}

// namesPerBucket is the largest average number of names in a bucket.
const namesPerBucket = 128

func bucketCount(names int) int {
	count := 1
	for count*namesPerBucket < names {
		count *= 2
	}
	return count
}

func bucketOf(name string, count int) int {
	sum := fnv.New32a()
	sum.Write([]byte(name))
	return int(sum.Sum32()) & (count - 1)
}

func (reader *reader) parseChunk(ref message.ChunkRef, text []byte) *parsedChunk {
	chunk := &parsedChunk{digest: ref.Digest}
	decoder := jx.DecodeBytes(text)
	names := strings.Split(ref.Path, "/")
	switch {
	case ref.Path == "top":
		chunk.settings = &Settings{Regions: map[string]Region{}}
		reader.object(decoder, "", reader.topFields(chunk.settings), requiredTop...)
	case names[0] == "tenants":
		chunk.tenants = map[string]Tenant{}
		namedEntries(reader, chunk.tenants, reader.tenant)(decoder, "tenants")
	case names[0] == "class" && len(names) == 2:
		chunk.class = &Class{}
		reader.object(decoder, "classes."+names[1], reader.classFields(chunk.class), requiredClass...)
	case names[0] == "service" && len(names) == 3:
		chunk.service = &Service{}
		reader.object(decoder, "classes."+names[1]+".services."+names[2], reader.serviceFields(chunk.service))
	case names[0] == "routes" && len(names) == 4:
		chunk.routes = map[string]Route{}
		namedEntries(reader, chunk.routes, reader.route)(decoder, "classes."+names[1]+".services."+names[2]+".routes")
	default:
		reader.addError(ref.Path, badSyntax, "unknown chunk path")
	}
	return chunk
}

// assembleSettings builds the settings from the parsed chunks. Unchanged tenants and
// services are shared with the previous version.
func (tree *Tree) assembleSettings(previous *Tree) error {
	top := tree.parsedChunks["top"]
	if top == nil {
		return rpc.Errorf(rpc.CorruptChunk, "the top chunk is missing")
	}
	settings := *top.settings
	settings.Classes = tree.classesWithoutServices()
	paths := tree.pathsByParent()
	tree.assembleTenants(&settings, paths[tenantsKey], previous)
	for _, ref := range tree.Refs {
		names := strings.Split(ref.Path, "/")
		if names[0] != "service" {
			continue
		}
		class, found := settings.Classes[names[1]]
		if !found {
			return rpc.Errorf(rpc.CorruptChunk, "chunk %s has no class", ref.Path)
		}
		previousService := Service{}
		if previous != nil {
			previousService = previous.Settings.Classes[names[1]].Services[names[2]]
		}
		class.Services[names[2]] = tree.assembleService(ref.Path, paths[names[1]+"/"+names[2]], &previousService)
	}
	tree.Settings = &settings
	return nil
}

// tenantsKey is the tenants' key in pathsByParent.
const tenantsKey = "tenants"

// pathsByParent groups the paths of route chunks by class and service, and those of tenant
// chunks under tenantsKey.
func (tree *Tree) pathsByParent() map[string][]string {
	paths := map[string][]string{}
	for _, ref := range tree.Refs {
		names := strings.Split(ref.Path, "/")
		switch names[0] {
		case "routes":
			service := names[1] + "/" + names[2]
			paths[service] = append(paths[service], ref.Path)
		case "tenants":
			paths[tenantsKey] = append(paths[tenantsKey], ref.Path)
		}
	}
	return paths
}

func (tree *Tree) classesWithoutServices() map[string]Class {
	classes := map[string]Class{}
	for _, ref := range tree.Refs {
		names := strings.Split(ref.Path, "/")
		if names[0] != "class" {
			continue
		}
		class := *tree.parsedChunks[ref.Path].class
		class.Services = map[string]Service{}
		classes[names[1]] = class
	}
	return classes
}

// assembleTenants sets the tenants, which are shared with the previous version if none of
// their chunks changed.
func (tree *Tree) assembleTenants(settings *Settings, paths []string, previous *Tree) {
	settings.tenantsDigest = tree.combinedDigest(paths)
	if previous != nil && previous.Settings.tenantsDigest == settings.tenantsDigest {
		settings.Tenants = previous.Settings.Tenants
		return
	}
	settings.Tenants = map[string]Tenant{}
	for _, path := range paths {
		maps.Copy(settings.Tenants, tree.parsedChunks[path].tenants)
	}
}

// assembleService returns the service of a chunk with its routes, or the previous service
// if none of these chunks changed.
func (tree *Tree) assembleService(path string, routePaths []string, previous *Service) Service {
	service := *tree.parsedChunks[path].service
	service.Digest = tree.combinedDigest(append([]string{path}, routePaths...))
	if previous.Digest == service.Digest {
		return *previous
	}
	service.Routes = map[string]Route{}
	for _, routePath := range routePaths {
		maps.Copy(service.Routes, tree.parsedChunks[routePath].routes)
	}
	return service
}

// combinedDigest returns a digest over the paths and digests of chunks.
func (tree *Tree) combinedDigest(paths []string) string {
	sum := []byte{}
	for _, path := range paths {
		sum = append(sum, path...)
		sum = append(sum, tree.parsedChunks[path].digest...)
	}
	return message.DigestOf(sum)
}
