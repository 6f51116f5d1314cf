// Package wire holds what the system's own processes say to each other.
package wire

import (
	"bytes"
	"slices"

	"github.com/vmihailenco/msgpack/v5"
)

const messageLimit = 32 << 20

// Codec is msgpack on plain structs; a field nobody knows is refused.
type Codec struct{}

// Name is the codec in the content type of a message.
func (Codec) Name() string { return "msgpack" }

// Marshal gives bytes of their own also for a sealed message, since the sender
// uses them again.
func (Codec) Marshal(message any) ([]byte, error) {
	if sealed, able := message.(interface{ body() []byte }); able && sealed.body() != nil {
		return slices.Clone(sealed.body()), nil
	}
	return pack(message)
}

// Unmarshal reads a message and checks it by its Check method, where it has one.
func (Codec) Unmarshal(body []byte, message any) error {
	if mishap := unpack(body, message); mishap != nil {
		return mishap
	}
	if checked, able := message.(interface{ Check() error }); able {
		if mishap := checked.Check(); mishap != nil {
			return mishap
		}
	}
	return nil
}

func pack(message any) ([]byte, error) {
	body, fault := msgpack.Marshal(message)
	if fault != nil {
		return nil, New(BadMessage, "%T: %v", message, fault)
	}
	return body, nil
}

func unpack(body []byte, message any) error {
	reader := bytes.NewReader(body)
	decoder := msgpack.NewDecoder(reader)
	decoder.DisallowUnknownFields(true)
	if fault := decoder.Decode(message); fault != nil {
		return New(BadMessage, "%T: %v", message, fault)
	}
	if reader.Len() > 0 {
		return New(BadMessage, "%T: %d bytes too many", message, reader.Len())
	}
	return nil
}

// Pack and Unpack serve the store, which keeps the same structs.
func Pack(message any) ([]byte, error) { return pack(message) }

// Unpack reads what Pack made; unknown fields and trailing bytes are refused.
func Unpack(body []byte, message any) error { return unpack(body, message) }
