package rpc

import (
	"bytes"
	"slices"

	"github.com/vmihailenco/msgpack/v5"
)

// maxMessageBytes is the longest message that a process accepts.
const maxMessageBytes = 32 << 20

// PreEncoded is a message that may have been encoded before it is sent, because many
// processes get the same one. EncodedBody returns nil if it was not.
type PreEncoded interface {
	EncodedBody() []byte
}

// Checked is a message that can say whether its content is valid.
type Checked interface {
	Check() error
}

// Codec encodes messages as msgpack maps by the names of their fields. It refuses
// unknown fields, trailing bytes, and messages whose Check method returns an error.
type Codec struct{}

// Name returns the codec's name in the content type of a message.
func (Codec) Name() string { return "msgpack" }

// Marshal encodes a message. The result belongs to the caller, also that of a
// PreEncoded message.
func (Codec) Marshal(message any) ([]byte, error) {
	encoded, isPreEncoded := message.(PreEncoded)
	if isPreEncoded && encoded.EncodedBody() != nil {
		return slices.Clone(encoded.EncodedBody()), nil
	}
	return Marshal(message)
}

// Unmarshal decodes a message and checks it.
func (Codec) Unmarshal(body []byte, message any) error {
	if err := Unmarshal(body, message); err != nil {
		return err
	}
	if checked, isChecked := message.(Checked); isChecked {
		return checked.Check()
	}
	return nil
}

// Marshal encodes a structure as messages are encoded, for storage.
func Marshal(value any) ([]byte, error) {
	body, err := msgpack.Marshal(value)
	if err != nil {
		return nil, Errorf(BadMessage, "%T: %w", value, err)
	}
	return body, nil
}

// Unmarshal decodes what Marshal encoded; it refuses unknown fields and trailing bytes.
func Unmarshal(body []byte, value any) error {
	reader := bytes.NewReader(body)
	decoder := msgpack.NewDecoder(reader)
	decoder.DisallowUnknownFields(true)
	if err := decoder.Decode(value); err != nil {
		return Errorf(BadMessage, "%T: %w", value, err)
	}
	if reader.Len() > 0 {
		return Errorf(BadMessage, "%T: %d bytes too many", value, reader.Len())
	}
	return nil
}
