package config

import (
	"bytes"
	"encoding/json"
	"maps"

	"github.com/go-faster/jx"

	"orchidjunction/rpc"
)

// Patch merges a partial tree into a whole one (JSON merge patch, RFC 7396):
// objects merge, null removes. The result is not checked; a partial tree that is no
// object or names a field twice is rpc.Invalid.
func Patch(base, partial []byte) ([]byte, error) {
	part, err := readPartial(partial)
	if err != nil {
		return nil, err
	}
	var whole any
	if len(bytes.TrimSpace(base)) > 0 {
		if whole, err = decode(base); err != nil {
			return nil, err
		}
	}
	body, err := json.Marshal(merge(whole, part))
	if err != nil {
		return nil, rpc.Errorf(rpc.Invalid, "%v", err)
	}
	return body, nil
}

// readPartial refuses fields that are there twice and all that is no object.
func readPartial(partial []byte) (map[string]any, error) {
	reader := &reader{}
	reader.checkUnique(jx.DecodeBytes(partial), "")
	if len(reader.details) > 0 {
		return nil, reader.refusal()
	}
	return decode(partial)
}

func decode(text []byte) (map[string]any, error) {
	var value any
	decoder := json.NewDecoder(bytes.NewReader(text))
	decoder.UseNumber()
	if err := decoder.Decode(&value); err != nil {
		return nil, &rpc.Error{
			Code:    rpc.Invalid,
			Message: "1 wrong",
			Details: []rpc.Detail{{Path: ".", Message: err.Error(), Code: badSyntax}},
		}
	}
	object, able := value.(map[string]any)
	if !able {
		return nil, &rpc.Error{
			Code:    rpc.Invalid,
			Message: "1 wrong",
			Details: []rpc.Detail{{Path: ".", Message: "a partial change is an object", Code: wrongType}},
		}
	}
	return object, nil
}

// checkUnique names every field that an object gives twice, at any depth.
func (reader *reader) checkUnique(decoder *jx.Decoder, path string) {
	switch decoder.Next() {
	case jx.Object:
		reader.each(decoder, path, func(decoder *jx.Decoder, _, inner string) { reader.checkUnique(decoder, inner) })
	case jx.Array:
		err := decoder.Arr(func(decoder *jx.Decoder) error {
			reader.checkUnique(decoder, path)
			return reader.broken
		})
		_ = reader.syntax(path, err) // kept in reader.broken
	default:
		reader.skip(decoder, path)
	}
}

func merge(whole, part any) any {
	branch, object := part.(map[string]any)
	if !object {
		return part
	}
	merged := map[string]any{}
	if before, same := whole.(map[string]any); same {
		maps.Copy(merged, before)
	}
	for name, value := range branch {
		if value == nil {
			delete(merged, name)
			continue
		}
		merged[name] = merge(merged[name], value)
	}
	return merged
}
