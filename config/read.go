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

// nameCharacters are the characters allowed in names.
const nameCharacters = "abcdefghijklmnopqrstuvwxyz0123456789-_"

// Read decodes and checks whole settings. The error has the code rpc.Invalid and lists every
// invalid field, not only the first.
func Read(body []byte) (*Settings, error) {
	reader := &reader{}
	settings := reader.settings(jx.DecodeBytes(body))
	if reader.syntaxErr == nil && !jx.Valid(body) {
		reader.addError("", badSyntax, "unexpected data after the settings")
	}
	if reader.syntaxErr == nil {
		reader.check(settings, nil)
	}
	if len(reader.details) > 0 {
		return nil, reader.validationError()
	}
	return settings, nil
}

func (reader *reader) validationError() error {
	return &rpc.Error{Code: rpc.Invalid, Message: fmt.Sprintf("invalid fields: %d", len(reader.details)), Details: reader.details}
}

type reader struct {
	details   []rpc.Detail
	syntaxErr error
}

func (reader *reader) addError(path, code, format string, values ...any) {
	if path == "" {
		path = "."
	}
	reader.details = append(reader.details, rpc.Detail{Path: path, Code: code, Message: fmt.Sprintf(format, values...)})
}

// noteSyntaxError records the first syntax error, which ends decoding, and returns it.
func (reader *reader) noteSyntaxError(path string, err error) error {
	if err != nil && reader.syntaxErr == nil {
		reader.syntaxErr = err
		reader.addError(path, badSyntax, "%v", err)
	}
	return reader.syntaxErr
}

func (reader *reader) skip(decoder *jx.Decoder, path string) {
	_ = reader.noteSyntaxError(path, decoder.Skip()) // kept in reader.syntaxErr
}

type fields map[string]func(decoder *jx.Decoder, path string)

func (reader *reader) expect(decoder *jx.Decoder, path string, want jx.Type) bool {
	if reader.syntaxErr != nil {
		return false
	}
	got := decoder.Next()
	if got == want {
		return true
	}
	if got != jx.Invalid {
		reader.addError(path, wrongType, "want %s, got %s", want, got)
	}
	reader.skip(decoder, path)
	return false
}

// object decodes an object with the known fields; the required ones must be present.
func (reader *reader) object(decoder *jx.Decoder, path string, known fields, required ...string) {
	seen := reader.eachField(decoder, path, func(decoder *jx.Decoder, key, fieldPath string) {
		read, found := known[key]
		if !found {
			reader.addError(fieldPath, unknownField, "unknown field")
			reader.skip(decoder, fieldPath)
			return
		}
		read(decoder, fieldPath)
	})
	if seen == nil {
		return
	}
	for _, name := range required {
		if !seen[name] {
			reader.addError(join(path, name), missingField, "required")
		}
	}
}

func (reader *reader) eachField(decoder *jx.Decoder, path string, visit func(decoder *jx.Decoder, key, fieldPath string)) map[string]bool {
	if !reader.expect(decoder, path, jx.Object) {
		return nil
	}
	seen := map[string]bool{}
	err := decoder.Obj(func(decoder *jx.Decoder, key string) error {
		fieldPath := join(path, key)
		if seen[key] {
			reader.addError(fieldPath, duplicateField, "duplicate field")
			return reader.noteSyntaxError(fieldPath, decoder.Skip())
		}
		seen[key] = true
		visit(decoder, key, fieldPath)
		return reader.syntaxErr
	})
	if reader.noteSyntaxError(path, err) != nil {
		return nil
	}
	return seen
}

func namedEntries[T any](reader *reader, target map[string]T, read func(decoder *jx.Decoder, path string) T) func(*jx.Decoder, string) {
	return func(decoder *jx.Decoder, path string) {
		reader.eachField(decoder, path, func(decoder *jx.Decoder, key, fieldPath string) {
			if !isValidName(key) {
				reader.addError(fieldPath, outOfRange, "a name has 1 to 64 characters of a-z, 0-9, - and _")
			}
			target[key] = read(decoder, fieldPath)
		})
	}
}

func isValidName(name string) bool {
	if len(name) < 1 || len(name) > 64 {
		return false
	}
	return !strings.ContainsFunc(name, func(character rune) bool { return !strings.ContainsRune(nameCharacters, character) })
}

func join(path, name string) string {
	if path == "" {
		return name
	}
	return path + "." + name
}

func (reader *reader) stringValue(target *string, minimum, maximum int) func(*jx.Decoder, string) {
	return func(decoder *jx.Decoder, path string) {
		if !reader.expect(decoder, path, jx.String) {
			return
		}
		value, err := decoder.Str()
		if reader.noteSyntaxError(path, err) == nil && (len(value) < minimum || len(value) > maximum) {
			reader.addError(path, outOfRange, "%d bytes, allowed %d to %d", len(value), minimum, maximum)
		}
		*target = value
	}
}

func (reader *reader) integer(target *int, minimum, maximum int) func(*jx.Decoder, string) {
	return func(decoder *jx.Decoder, path string) {
		if !reader.expect(decoder, path, jx.Number) {
			return
		}
		number, err := decoder.Num()
		if reader.noteSyntaxError(path, err) != nil {
			return
		}
		value, err := number.Int64()
		if err != nil {
			reader.addError(path, wrongType, "want integer, got %s", number)
			return
		}
		if value < int64(minimum) || value > int64(maximum) {
			reader.addError(path, outOfRange, "%d, allowed %d to %d", value, minimum, maximum)
			return
		}
		*target = int(value)
	}
}

func (reader *reader) optionalInteger(target **int, minimum, maximum int) func(*jx.Decoder, string) {
	return func(decoder *jx.Decoder, path string) {
		value := minimum
		errorsBefore := len(reader.details)
		reader.integer(&value, minimum, maximum)(decoder, path)
		if len(reader.details) == errorsBefore {
			*target = &value
		}
	}
}

func (reader *reader) fraction(target *float64, minimum, maximum float64) func(*jx.Decoder, string) {
	return func(decoder *jx.Decoder, path string) {
		if !reader.expect(decoder, path, jx.Number) {
			return
		}
		value, err := decoder.Float64()
		if reader.noteSyntaxError(path, err) == nil && (value < minimum || value > maximum) {
			reader.addError(path, outOfRange, "%v, allowed %v to %v", value, minimum, maximum)
		}
		*target = value
	}
}

func (reader *reader) boolean(target *bool) func(*jx.Decoder, string) {
	return func(decoder *jx.Decoder, path string) {
		if !reader.expect(decoder, path, jx.Bool) {
			return
		}
		value, err := decoder.Bool()
		if reader.noteSyntaxError(path, err) == nil {
			*target = value
		}
	}
}

func (reader *reader) stringList(target *[]string, minimum, maximum int) func(*jx.Decoder, string) {
	return func(decoder *jx.Decoder, path string) {
		if !reader.expect(decoder, path, jx.Array) {
			return
		}
		values := []string{}
		err := decoder.Arr(func(decoder *jx.Decoder) error {
			fieldPath := fmt.Sprintf("%s[%d]", path, len(values))
			value := ""
			reader.stringValue(&value, 1, 256)(decoder, fieldPath)
			for _, known := range values {
				if known == value {
					reader.addError(fieldPath, conflict, "duplicate entry %q", value)
				}
			}
			values = append(values, value)
			return reader.syntaxErr
		})
		if reader.noteSyntaxError(path, err) == nil && (len(values) < minimum || len(values) > maximum) {
			reader.addError(path, outOfRange, "%d entries, allowed %d to %d", len(values), minimum, maximum)
		}
		*target = values
	}
}

func (reader *reader) rule(target *Rule, required ...string) func(*jx.Decoder, string) {
	return func(decoder *jx.Decoder, path string) {
		reader.object(decoder, path, fields{
			"limit_ms":       reader.optionalInteger(&target.TimeoutMs, 10, 60_000),
			"sends":          reader.optionalInteger(&target.Attempts, 1, 5),
			"body_bytes":     reader.optionalInteger(&target.BodyBytes, 0, 64<<20),
			"receipt_bytes":  reader.optionalInteger(&target.ResponseBytes, 1, 256<<20),
			"hold_ms":        reader.optionalInteger(&target.TTLMs, 100, 600_000),
			"fronts":         reader.optionalInteger(&target.Proxies, 1, 16),
			"pipes":          reader.optionalInteger(&target.IdleConnections, 1, 1024),
			"forbid_regions": reader.stringList(&target.ForbidRegions, 0, 64),
		}, required...)
	}
}

var (
	requiredTop   = []string{"format", "partner", "ack_ms", "rule", "retry", "regions"}
	requiredClass = []string{"rank", "floor_rps"}
)

func (reader *reader) settings(decoder *jx.Decoder) *Settings {
	settings := &Settings{Regions: map[string]Region{}, Tenants: map[string]Tenant{}, Classes: map[string]Class{}}
	known := reader.topFields(settings)
	known["tenants"], known["classes"] = namedEntries(
		reader,
		settings.Tenants,
		reader.tenant,
	), namedEntries(
		reader,
		settings.Classes,
		reader.class,
	)
	reader.object(decoder, "", known, append(append([]string{}, requiredTop...), "tenants", "classes")...)
	return settings
}

// topFields returns the top-level fields except tenants and classes.
func (reader *reader) topFields(settings *Settings) fields {
	return fields{
		"format":    reader.integer(&settings.Format, 1, 1),
		"partner":   reader.stringValue(&settings.Partner, 1, 64),
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
		"regions": namedEntries(reader, settings.Regions, reader.region),
		"drained": func(decoder *jx.Decoder, path string) {
			reader.object(decoder, path, fields{
				"zones":    reader.stringList(&settings.Drained.Zones, 0, 256),
				"backends": reader.stringList(&settings.Drained.Backends, 0, 4096),
			})
		},
	}
}

func (reader *reader) region(decoder *jx.Decoder, path string) Region {
	region := Region{}
	reader.object(decoder, path, fields{"zones": reader.stringList(&region.Zones, 1, 64)}, "zones")
	return region
}

func (reader *reader) tenant(decoder *jx.Decoder, path string) Tenant {
	tenant := Tenant{Share: 1}
	reader.object(decoder, path, fields{
		"keys":           reader.stringList(&tenant.Keys, 0, 64),
		"share":          reader.integer(&tenant.Share, 1, 1000),
		"forbid_regions": reader.stringList(&tenant.ForbidRegions, 0, 64),
	}, "keys")
	return tenant
}

func (reader *reader) class(decoder *jx.Decoder, path string) Class {
	class := Class{Services: map[string]Service{}}
	known := reader.classFields(&class)
	known["services"] = namedEntries(reader, class.Services, reader.service)
	reader.object(decoder, path, known, append(append([]string{}, requiredClass...), "services")...)
	return class
}

// classFields returns the fields of a class except services.
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
	known["routes"] = namedEntries(reader, service.Routes, reader.route)
	reader.object(decoder, path, known, "routes")
	return service
}

// serviceFields returns the fields of a service except routes.
func (reader *reader) serviceFields(service *Service) fields {
	return fields{"rule": reader.rule(&service.Rule)}
}

func (reader *reader) route(decoder *jx.Decoder, path string) Route {
	route := Route{}
	reader.object(decoder, path, fields{
		"method": reader.stringValue(&route.Method, 1, 16),
		"path":   reader.stringValue(&route.Path, 1, 256),
		"rule":   reader.rule(&route.Rule),
	}, "method", "path")
	return route
}
