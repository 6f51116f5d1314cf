package config

import (
	"hash/fnv"
	"maps"
	"strings"

	"github.com/go-faster/jx"

	"orchidjunction/message"
	"orchidjunction/rpc"
)

// fragment is one branch as it was read.
type fragment struct {
	digest  string
	top     *Settings
	tenants map[string]Tenant
	class   *Class
	service *Service
	routes  map[string]Route
}

// namesPerBucket is about how many names share a bucket.
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

// fragment reads one branch.
func (reader *reader) fragment(part message.ChunkRef, text []byte) *fragment {
	held := &fragment{digest: part.Digest}
	decoder := jx.DecodeBytes(text)
	names := strings.Split(part.Path, "/")
	switch {
	case part.Path == "top":
		held.top = &Settings{Regions: map[string]Region{}}
		reader.object(decoder, "", reader.topFields(held.top), requiredTop...)
	case names[0] == "tenants":
		held.tenants = map[string]Tenant{}
		named(reader, held.tenants, reader.tenant)(decoder, "tenants")
	case names[0] == "class" && len(names) == 2:
		held.class = &Class{}
		reader.object(decoder, "classes."+names[1], reader.classFields(held.class), requiredClass...)
	case names[0] == "service" && len(names) == 3:
		held.service = &Service{}
		reader.object(decoder, "classes."+names[1]+".services."+names[2], reader.serviceFields(held.service))
	case names[0] == "routes" && len(names) == 4:
		held.routes = map[string]Route{}
		named(reader, held.routes, reader.route)(decoder, "classes."+names[1]+".services."+names[2]+".routes")
	default:
		reader.wrong(part.Path, badSyntax, "no such branch")
	}
	return held
}

// assembleSettings puts the settings together; tenants and services of which nothing
// changed are those of the version before.
func (tree *Tree) assembleSettings(before *Tree) error {
	top := tree.fragments["top"]
	if top == nil {
		return rpc.Errorf(rpc.CorruptChunk, "no top branch")
	}
	settings := *top.top
	settings.Classes = tree.classesWithoutServices()
	paths := tree.pathsByParent()
	tree.assembleTenants(&settings, paths[tenantsParent], before)
	for _, part := range tree.Refs {
		names := strings.Split(part.Path, "/")
		if names[0] != "service" {
			continue
		}
		class, found := settings.Classes[names[1]]
		if !found {
			return rpc.Errorf(rpc.CorruptChunk, "branch %s has no class", part.Path)
		}
		former := Service{}
		if before != nil {
			former = before.Settings.Classes[names[1]].Services[names[2]]
		}
		class.Services[names[2]] = tree.assembleService(part.Path, paths[names[1]+"/"+names[2]], &former)
	}
	tree.Settings = &settings
	return nil
}

// tenantsParent is what pathsByParent calls the parent of the tenants' branches.
const tenantsParent = "tenants"

// pathsByParent groups the paths of branches with routes by class and service, and those
// of branches with tenants under tenantsParent.
func (tree *Tree) pathsByParent() map[string][]string {
	paths := map[string][]string{}
	for _, part := range tree.Refs {
		names := strings.Split(part.Path, "/")
		switch names[0] {
		case "routes":
			service := names[1] + "/" + names[2]
			paths[service] = append(paths[service], part.Path)
		case "tenants":
			paths[tenantsParent] = append(paths[tenantsParent], part.Path)
		}
	}
	return paths
}

// classesWithoutServices returns the classes by name, each with no service yet.
func (tree *Tree) classesWithoutServices() map[string]Class {
	classes := map[string]Class{}
	for _, part := range tree.Refs {
		names := strings.Split(part.Path, "/")
		if names[0] != "class" {
			continue
		}
		class := *tree.fragments[part.Path].class
		class.Services = map[string]Service{}
		classes[names[1]] = class
	}
	return classes
}

// assembleTenants sets the tenants, which are shared with the version before if none of
// their branches changed.
func (tree *Tree) assembleTenants(settings *Settings, paths []string, before *Tree) {
	settings.tenantsDigest = tree.digest(paths)
	if before != nil && before.Settings.tenantsDigest == settings.tenantsDigest {
		settings.Tenants = before.Settings.Tenants
		return
	}
	settings.Tenants = map[string]Tenant{}
	for _, path := range paths {
		maps.Copy(settings.Tenants, tree.fragments[path].tenants)
	}
}

// assembleService returns the service of a branch with the routes of others. It is the
// former one if none of these branches changed.
func (tree *Tree) assembleService(path string, routePaths []string, former *Service) Service {
	service := *tree.fragments[path].service
	service.Digest = tree.digest(append([]string{path}, routePaths...))
	if former.Digest == service.Digest {
		return *former
	}
	service.Routes = map[string]Route{}
	for _, routePath := range routePaths {
		maps.Copy(service.Routes, tree.fragments[routePath].routes)
	}
	return service
}

// digest names several branches at once.
func (tree *Tree) digest(paths []string) string {
	sum := []byte{}
	for _, path := range paths {
		sum = append(sum, path...)
		sum = append(sum, tree.fragments[path].digest...)
	}
	return message.DigestOf(sum)
}
