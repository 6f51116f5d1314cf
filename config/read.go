package config

import (
	"fmt"
	"strings"

	"github.com/go-faster/jx"

	"orchidjunction/rpc"
)

const (
	unknownField   = "unknown_field"
	missingField   = "missing_field"
	duplicateField = "duplicate_field"
	wrongType      = "wrong_type"
	outOfRange     = "out_of_range"
	danglingName   = "dangling_name"
	conflict       = "clash"
	badSyntax      = "bad_syntax"
)

// nameLetters are the characters that names of settings are made of.
const nameLetters = "abcdefghijklmnopqrstuvwxyz0123456789-_"

// Read decodes and checks whole settings. The error is of kind rpc.Invalid and
// names every field that is wrong, not only the first.
func Read(body []byte) (*Settings, error) {
	reader := &reader{}
	settings := reader.settings(jx.DecodeBytes(body))
	if reader.broken == nil && !jx.Valid(body) {
		reader.wrong("", badSyntax, "more text after the tree")
	}
	if reader.broken == nil {
		reader.check(settings, nil)
	}
	if len(reader.details) > 0 {
		return nil, reader.refusal()
	}
	return settings, nil
}

func (reader *reader) refusal() error {
	return &rpc.Error{Code: rpc.Invalid, Message: fmt.Sprintf("%d wrong", len(reader.details)), Details: reader.details}
}

type reader struct {
	details []rpc.Detail
	broken  error
}

func (reader *reader) wrong(path, kind, format string, values ...any) {
	if path == "" {
		path = "."
	}
	reader.details = append(reader.details, rpc.Detail{Path: path, Code: kind, Message: fmt.Sprintf(format, values...)})
}

// syntax keeps the first syntax error of the text, which ends the reading, and
// returns the one kept.
func (reader *reader) syntax(path string, err error) error {
	if err != nil && reader.broken == nil {
		reader.broken = err
		reader.wrong(path, badSyntax, "%v", err)
	}
	return reader.broken
}

// skip passes over the next value.
func (reader *reader) skip(decoder *jx.Decoder, path string) {
	_ = reader.syntax(path, decoder.Skip()) // kept in reader.broken
}

type fields map[string]func(decoder *jx.Decoder, path string)

func (reader *reader) expect(decoder *jx.Decoder, path string, want jx.Type) bool {
	if reader.broken != nil {
		return false
	}
	got := decoder.Next()
	if got == want {
		return true
	}
	if got != jx.Invalid {
		reader.wrong(path, wrongType, "want %s, got %s", want, got)
	}
	reader.skip(decoder, path)
	return false
}

// object reads known fields; those in need must be there.
func (reader *reader) object(decoder *jx.Decoder, path string, known fields, need ...string) {
	seen := reader.each(decoder, path, func(decoder *jx.Decoder, key, inner string) {
		read, found := known[key]
		if !found {
			reader.wrong(inner, unknownField, "no such field")
			reader.skip(decoder, inner)
			return
		}
		read(decoder, inner)
	})
	if seen == nil {
		return
	}
	for _, name := range need {
		if !seen[name] {
			reader.wrong(join(path, name), missingField, "must be given")
		}
	}
}

func (reader *reader) each(decoder *jx.Decoder, path string, entry func(decoder *jx.Decoder, key, inner string)) map[string]bool {
	if !reader.expect(decoder, path, jx.Object) {
		return nil
	}
	seen := map[string]bool{}
	err := decoder.Obj(func(decoder *jx.Decoder, key string) error {
		inner := join(path, key)
		if seen[key] {
			reader.wrong(inner, duplicateField, "given twice")
			return reader.syntax(inner, decoder.Skip())
		}
		seen[key] = true
		entry(decoder, key, inner)
		return reader.broken
	})
	if reader.syntax(path, err) != nil {
		return nil
	}
	return seen
}

func named[T any](reader *reader, into map[string]T, read func(decoder *jx.Decoder, path string) T) func(*jx.Decoder, string) {
	return func(decoder *jx.Decoder, path string) {
		reader.each(decoder, path, func(decoder *jx.Decoder, key, inner string) {
			if !isValidName(key) {
				reader.wrong(inner, outOfRange, "a name is 1 to 64 of a-z, 0-9, - and _")
			}
			into[key] = read(decoder, inner)
		})
	}
}

func isValidName(name string) bool {
	if len(name) < 1 || len(name) > 64 {
		return false
	}
	return !strings.ContainsFunc(name, func(letter rune) bool { return !strings.ContainsRune(nameLetters, letter) })
}

func join(path, name string) string {
	if path == "" {
		return name
	}
	return path + "." + name
}

func (reader *reader) text(into *string, least, most int) func(*jx.Decoder, string) {
	return func(decoder *jx.Decoder, path string) {
		if !reader.expect(decoder, path, jx.String) {
			return
		}
		value, err := decoder.Str()
		if reader.syntax(path, err) == nil && (len(value) < least || len(value) > most) {
			reader.wrong(path, outOfRange, "%d letters, allowed %d to %d", len(value), least, most)
		}
		*into = value
	}
}

func (reader *reader) integer(into *int, least, most int) func(*jx.Decoder, string) {
	return func(decoder *jx.Decoder, path string) {
		if !reader.expect(decoder, path, jx.Number) {
			return
		}
		number, err := decoder.Num()
		if reader.syntax(path, err) != nil {
			return
		}
		value, err := number.Int64()
		if err != nil {
			reader.wrong(path, wrongType, "want a whole number, got %s", number)
			return
		}
		if value < int64(least) || value > int64(most) {
			reader.wrong(path, outOfRange, "%d, allowed %d to %d", value, least, most)
			return
		}
		*into = int(value)
	}
}

func (reader *reader) optional(into **int, least, most int) func(*jx.Decoder, string) {
	return func(decoder *jx.Decoder, path string) {
		value := least
		before := len(reader.details)
		reader.integer(&value, least, most)(decoder, path)
		if len(reader.details) == before {
			*into = &value
		}
	}
}

func (reader *reader) fraction(into *float64, least, most float64) func(*jx.Decoder, string) {
	return func(decoder *jx.Decoder, path string) {
		if !reader.expect(decoder, path, jx.Number) {
			return
		}
		value, err := decoder.Float64()
		if reader.syntax(path, err) == nil && (value < least || value > most) {
			reader.wrong(path, outOfRange, "%v, allowed %v to %v", value, least, most)
		}
		*into = value
	}
}

func (reader *reader) boolean(into *bool) func(*jx.Decoder, string) {
	return func(decoder *jx.Decoder, path string) {
		if !reader.expect(decoder, path, jx.Bool) {
			return
		}
		value, err := decoder.Bool()
		if reader.syntax(path, err) == nil {
			*into = value
		}
	}
}

func (reader *reader) texts(into *[]string, least, most int) func(*jx.Decoder, string) {
	return func(decoder *jx.Decoder, path string) {
		if !reader.expect(decoder, path, jx.Array) {
			return
		}
		values := []string{}
		err := decoder.Arr(func(decoder *jx.Decoder) error {
			inner := fmt.Sprintf("%s[%d]", path, len(values))
			value := ""
			reader.text(&value, 1, 256)(decoder, inner)
			for _, known := range values {
				if known == value {
					reader.wrong(inner, conflict, "%q is there twice", value)
				}
			}
			values = append(values, value)
			return reader.broken
		})
		if reader.syntax(path, err) == nil && (len(values) < least || len(values) > most) {
			reader.wrong(path, outOfRange, "%d entries, allowed %d to %d", len(values), least, most)
		}
		*into = values
	}
}

func (reader *reader) rule(into *Rule, need ...string) func(*jx.Decoder, string) {
	return func(decoder *jx.Decoder, path string) {
		reader.object(decoder, path, fields{
			"limit_ms":       reader.optional(&into.TimeoutMs, 10, 60_000),
			"sends":          reader.optional(&into.Attempts, 1, 5),
			"body_bytes":     reader.optional(&into.BodyBytes, 0, 64<<20),
			"receipt_bytes":  reader.optional(&into.ResponseBytes, 1, 256<<20),
			"hold_ms":        reader.optional(&into.TTLMs, 100, 600_000),
			"fronts":         reader.optional(&into.Proxies, 1, 16),
			"pipes":          reader.optional(&into.IdleConnections, 1, 1024),
			"forbid_regions": reader.texts(&into.ForbidRegions, 0, 64),
		}, need...)
	}
}

var (
	requiredTop   = []string{"format", "partner", "ack_ms", "rule", "retry", "regions"}
	requiredClass = []string{"rank", "floor_rps"}
)

func (reader *reader) settings(decoder *jx.Decoder) *Settings {
	settings := &Settings{Regions: map[string]Region{}, Tenants: map[string]Tenant{}, Classes: map[string]Class{}}
	known := reader.topFields(settings)
	known["tenants"], known["classes"] = named(reader, settings.Tenants, reader.tenant), named(reader, settings.Classes, reader.class)
	reader.object(decoder, "", known, append(append([]string{}, requiredTop...), "tenants", "classes")...)
	return settings
}

// topFields are those beside tenants and classes.
func (reader *reader) topFields(settings *Settings) fields {
	return fields{
		"format":    reader.integer(&settings.Format, 1, 1),
		"partner":   reader.text(&settings.Partner, 1, 64),
		"ack_ms":    reader.integer(&settings.AckMs, 50, 1000),
		"front_rps": reader.integer(&settings.ProxyRps, 1, 1_000_000),
		"rule":      reader.rule(&settings.Rule, "limit_ms", "sends", "body_bytes", "receipt_bytes", "hold_ms", "fronts", "pipes"),
		"retry": func(decoder *jx.Decoder, path string) {
			reader.object(decoder, path, fields{
				"fraction": reader.fraction(&settings.Retry.Fraction, 0, 0.2),
				"floor":    reader.integer(&settings.Retry.Floor, 0, 60),
				"span_ms":  reader.integer(&settings.Retry.SpanMs, 10_000, 10_000),
			}, "fraction", "floor", "span_ms")
		},
		"money": func(decoder *jx.Decoder, path string) {
			reader.object(decoder, path, fields{"remember_s": reader.integer(&settings.Keys.TTLSeconds, 60, 86_400)}, "remember_s")
		},
		"regions": named(reader, settings.Regions, reader.region),
		"drained": func(decoder *jx.Decoder, path string) {
			reader.object(decoder, path, fields{
				"zones":    reader.texts(&settings.Drained.Zones, 0, 256),
				"backends": reader.texts(&settings.Drained.Backends, 0, 4096),
			})
		},
	}
}

func (reader *reader) region(decoder *jx.Decoder, path string) Region {
	region := Region{}
	reader.object(decoder, path, fields{"zones": reader.texts(&region.Zones, 1, 64)}, "zones")
	return region
}

func (reader *reader) tenant(decoder *jx.Decoder, path string) Tenant {
	tenant := Tenant{Share: 1}
	reader.object(decoder, path, fields{
		"keys":           reader.texts(&tenant.Keys, 0, 64),
		"share":          reader.integer(&tenant.Share, 1, 1000),
		"forbid_regions": reader.texts(&tenant.ForbidRegions, 0, 64),
	}, "keys")
	return tenant
}

func (reader *reader) class(decoder *jx.Decoder, path string) Class {
	class := Class{Services: map[string]Service{}}
	known := reader.classFields(&class)
	known["services"] = named(reader, class.Services, reader.service)
	reader.object(decoder, path, known, append(append([]string{}, requiredClass...), "services")...)
	return class
}

// classFields are those beside services.
func (reader *reader) classFields(class *Class) fields {
	return fields{
		"rank":       reader.integer(&class.Rank, 1, 16),
		"money":      reader.boolean(&class.KeyRequired),
		"floor_rps":  reader.integer(&class.FloorRps, 0, 1_000_000),
		"borrow_rps": reader.integer(&class.BorrowRps, 0, 1_000_000),
		"rule":       reader.rule(&class.Rule),
	}
}

func (reader *reader) service(decoder *jx.Decoder, path string) Service {
	service := Service{Routes: map[string]Route{}}
	known := reader.serviceFields(&service)
	known["routes"] = named(reader, service.Routes, reader.route)
	reader.object(decoder, path, known, "routes")
	return service
}

// serviceFields are those beside routes.
func (reader *reader) serviceFields(service *Service) fields {
	return fields{"rule": reader.rule(&service.Rule)}
}

func (reader *reader) route(decoder *jx.Decoder, path string) Route {
	route := Route{}
	reader.object(decoder, path, fields{
		"method": reader.text(&route.Method, 1, 16),
		"path":   reader.text(&route.Path, 1, 256),
		"rule":   reader.rule(&route.Rule),
	}, "method", "path")
	return route
}
