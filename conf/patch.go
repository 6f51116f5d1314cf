package conf

import (
	"bytes"
	"encoding/json"

	"orchidjunction/wire"
)

// Patch lays a partial tree over a whole one: objects merge, null removes.
func Patch(base, partial []byte) ([]byte, *wire.Mishap) {
	var whole, part any
	for _, pair := range []struct {
		text []byte
		into *any
	}{{base, &whole}, {partial, &part}} {
		if len(bytes.TrimSpace(pair.text)) == 0 {
			continue
		}
		decoder := json.NewDecoder(bytes.NewReader(pair.text))
		decoder.UseNumber()
		if fault := decoder.Decode(pair.into); fault != nil {
			return nil, &wire.Mishap{Kind: wire.Invalid, Cause: "1 wrong", Details: []wire.Detail{{Path: ".", Cause: fault.Error(), Kind: badSyntax}}}
		}
	}
	if _, object := part.(map[string]any); !object {
		return nil, &wire.Mishap{Kind: wire.Invalid, Cause: "1 wrong", Details: []wire.Detail{{Path: ".", Cause: "a partial change is an object", Kind: wrongType}}}
	}
	body, fault := json.Marshal(merge(whole, part))
	if fault != nil {
		return nil, wire.New(wire.Invalid, "%v", fault)
	}
	return body, nil
}

func merge(whole, part any) any {
	branch, object := part.(map[string]any)
	if !object {
		return part
	}
	merged := map[string]any{}
	if before, same := whole.(map[string]any); same {
		for name, value := range before {
			merged[name] = value
		}
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
