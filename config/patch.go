package config

import (
	"bytes"
	"encoding/json"
	"maps"

	"github.com/go-faster/jx"

	"orchidjunction/rpc"
)

// Patch applies a JSON merge patch (RFC 7396): objects are merged, null removes a field.
// The result is not checked. A patch that is not an object or has duplicate fields is
// rpc.Invalid.
func Patch(base, partial []byte) ([]byte, error) {
	patch, err := readPartial(partial)
	if err != nil {
		return nil, err
	}
	var whole any
	if len(bytes.TrimSpace(base)) > 0 {
		if whole, err = decode(base); err != nil {
			return nil, err
		}
	}
	body, err := json.Marshal(merge(whole, patch))
	if err != nil {
		return nil, rpc.Errorf(rpc.Invalid, "%v", err)
	}
	return body, nil
}

// readPartial decodes a patch, which must be an object without duplicate fields.
func readPartial(partial []byte) (map[string]any, error) {
	reader := &reader{}
	reader.checkUnique(jx.DecodeBytes(partial), "")
	if len(reader.details) > 0 {
		return nil, reader.validationError()
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
			Message: "invalid fields: 1",
			Details: []rpc.Detail{{Path: ".", Message: err.Error(), Code: badSyntax}},
		}
	}
	object, ok := value.(map[string]any)
	if !ok {
		return nil, &rpc.Error{
			Code:    rpc.Invalid,
			Message: "invalid fields: 1",
			Details: []rpc.Detail{{Path: ".", Message: "want an object", Code: wrongType}},
		}
	}
	return object, nil
}

// checkUnique records every duplicate field, at any depth.
func (reader *reader) checkUnique(decoder *jx.Decoder, path string) {
	switch decoder.Next() {
	case jx.Object:
		reader.eachField(decoder, path, func(decoder *jx.Decoder, _, fieldPath string) { reader.checkUnique(decoder, fieldPath) })
	case jx.Array:
		err := decoder.Arr(func(decoder *jx.Decoder) error {
			reader.checkUnique(decoder, path)
			return reader.syntaxErr
		})
		_ = reader.noteSyntaxError(path, err) // kept in reader.syntaxErr
	default:
		reader.skip(decoder, path)
	}
}

func merge(whole, patch any) any {
	fields, isObject := patch.(map[string]any)
	if !isObject {
		return patch
	}
	merged := map[string]any{}
	if original, wholeIsObject := whole.(map[string]any); wholeIsObject {
		maps.Copy(merged, original)
	}
	for name, value := range fields {
		if value == nil {
			delete(merged, name)
			continue
		}
		merged[name] = merge(merged[name], value)
	}
	return merged
}
