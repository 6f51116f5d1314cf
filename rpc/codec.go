package rpc

import (
	"bytes"
	"slices"

	"github.com/vmihailenco/msgpack/v5"
)

// maxMessageBytes is the maximum size of a message.
const maxMessageBytes = 32 << 20

// PreEncoded is a message that can be encoded once and sent to many processes. EncodedBody returns
// nil if it has not been encoded.
type PreEncoded interface {
	EncodedBody() []byte
}

// Checked is a message with a method that validates its content.
type Checked interface {
	Check() error
}

// Codec encodes messages as msgpack maps keyed by field name. It rejects unknown fields, trailing
// bytes, and messages whose Check method returns an error.
type Codec struct{}

// Name returns the codec's name as used in the content type.
func (Codec) Name() string { return "msgpack" }

// Marshal encodes a message. The caller owns the result, even for a PreEncoded message.
func (Codec) Marshal(message any) ([]byte, error) {
	encoded, isPreEncoded := message.(PreEncoded)
	if isPreEncoded && encoded.EncodedBody() != nil {
		return slices.Clone(encoded.EncodedBody()), nil
	}
	return Marshal(message)
}

// Unmarshal decodes and validates a message.
func (Codec) Unmarshal(body []byte, message any) error {
	if err := Unmarshal(body, message); err != nil {
		return err
	}
	if checked, isChecked := message.(Checked); isChecked {
		return checked.Check()
	}
	return nil
}

// Marshal encodes a value for storage, in the encoding of messages.
func Marshal(value any) ([]byte, error) {
	body, err := msgpack.Marshal(value)
	if err != nil {
		return nil, Errorf(BadMessage, "%T: %w", value, err)
	}
	return body, nil
}

// Unmarshal decodes a value encoded by Marshal. It rejects unknown fields and trailing bytes.
func Unmarshal(body []byte, value any) error {
	reader := bytes.NewReader(body)
	decoder := msgpack.NewDecoder(reader)
	decoder.DisallowUnknownFields(true)
	if err := decoder.Decode(value); err != nil {
		return Errorf(BadMessage, "%T: %w", value, err)
	}
	if reader.Len() > 0 {
		return Errorf(BadMessage, "%T: %d trailing bytes", value, reader.Len())
	}
	return nil
}
