// Package wire holds what the system's own processes say to each other.
package wire

import (
	"bytes"
	"slices"

	"github.com/vmihailenco/msgpack/v5"
)

const maxMessageBytes = 32 << 20

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
	return marshal(message)
}

// Unmarshal reads a message and checks it by its Check method, where it has one.
func (Codec) Unmarshal(body []byte, message any) error {
	if err := unmarshal(body, message); err != nil {
		return err
	}
	if checked, able := message.(interface{ Check() error }); able {
		if err := checked.Check(); err != nil {
			return err
		}
	}
	return nil
}

func marshal(message any) ([]byte, error) {
	body, err := msgpack.Marshal(message)
	if err != nil {
		return nil, Errorf(BadMessage, "%T: %v", message, err)
	}
	return body, nil
}

func unmarshal(body []byte, message any) error {
	reader := bytes.NewReader(body)
	decoder := msgpack.NewDecoder(reader)
	decoder.DisallowUnknownFields(true)
	if err := decoder.Decode(message); err != nil {
		return Errorf(BadMessage, "%T: %v", message, err)
	}
	if reader.Len() > 0 {
		return Errorf(BadMessage, "%T: %d bytes too many", message, reader.Len())
	}
	return nil
}

// Marshal and Unpack serve the store, which keeps the same structs.
func Marshal(message any) ([]byte, error) { return marshal(message) }

// Unmarshal reads what Pack made; unknown fields and trailing bytes are refused.
func Unmarshal(body []byte, message any) error { return unmarshal(body, message) }
