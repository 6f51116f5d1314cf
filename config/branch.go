package config

import (
	"hash/fnv"
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
	settings.Classes = map[string]Class{}
	below := map[string][]string{}
	for _, part := range tree.Refs {
		names := strings.Split(part.Path, "/")
		if names[0] == "routes" {
			below[names[1]+"/"+names[2]] = append(below[names[1]+"/"+names[2]], part.Path)
		}
		if names[0] == "tenants" {
			below["tenants"] = append(below["tenants"], part.Path)
		}
		if names[0] == "class" {
			class := *tree.fragments[part.Path].class
			class.Services = map[string]Service{}
			settings.Classes[names[1]] = class
		}
	}
	if digest := tree.digest(below["tenants"]); before != nil && before.Settings.tenantsDigest == digest {
		settings.Tenants, settings.tenantsDigest = before.Settings.Tenants, digest
	} else {
		settings.Tenants, settings.tenantsDigest = map[string]Tenant{}, digest
		for _, path := range below["tenants"] {
			for name, tenant := range tree.fragments[path].tenants {
				settings.Tenants[name] = tenant
			}
		}
	}
	for _, part := range tree.Refs {
		names := strings.Split(part.Path, "/")
		if names[0] != "service" {
			continue
		}
		class, found := settings.Classes[names[1]]
		if !found {
			return rpc.Errorf(rpc.CorruptChunk, "branch %s has no class", part.Path)
		}
		service := *tree.fragments[part.Path].service
		paths := below[names[1]+"/"+names[2]]
		service.Digest = tree.digest(append([]string{part.Path}, paths...))
		if before != nil {
			if former := before.Settings.Classes[names[1]].Services[names[2]]; former.Digest == service.Digest {
				class.Services[names[2]] = former
				continue
			}
		}
		service.Routes = map[string]Route{}
		for _, path := range paths {
			for name, route := range tree.fragments[path].routes {
				service.Routes[name] = route
			}
		}
		class.Services[names[2]] = service
	}
	tree.Settings = &settings
	return nil
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
