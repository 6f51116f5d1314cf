package storage

import (
	"encoding/binary"
	"hash/crc32"

	"orchidjunction/rpc"
)

// A frame is a header and a payload. The header has a magic number, the payload's length
// and checksum, and a checksum of these fields. Numbers are big-endian, checksums are
// CRC-32C.
const (
	frameMagic          = 0x6f6a
	lengthOffset        = 2
	payloadSumOffset    = 6
	headerSumOffset     = 10
	frameHeaderBytes    = 14
	frameMagicFirstByte = frameMagic >> 8
	frameMagicLastByte  = frameMagic & 0xff
)

var castagnoli = crc32.MakeTable(crc32.Castagnoli)

// frame holds the bytes of a file from the start of a frame on.
type frame []byte

// EncodeFrame returns a frame with the encoded value as its payload.
func EncodeFrame(value any) ([]byte, error) {
	payload, err := rpc.Marshal(value)
	if err != nil {
		return nil, err
	}
	return NewFrame(payload), nil
}

// NewFrame returns a frame with the given payload.
func NewFrame(payload []byte) []byte {
	encoded := make([]byte, frameHeaderBytes+len(payload))
	binary.BigEndian.PutUint16(encoded, frameMagic)
	binary.BigEndian.PutUint32(encoded[lengthOffset:], uint32(len(payload)))
	binary.BigEndian.PutUint32(encoded[payloadSumOffset:], crc32.Checksum(payload, castagnoli))
	binary.BigEndian.PutUint32(encoded[headerSumOffset:], crc32.Checksum(encoded[:headerSumOffset], castagnoli))
	copy(encoded[frameHeaderBytes:], payload)
	return encoded
}

// payload returns the payload of the first frame, and whether the frame is complete and its
// checksums are valid.
func (bytes frame) payload() ([]byte, bool) {
	if len(bytes) < frameHeaderBytes || binary.BigEndian.Uint16(bytes) != frameMagic {
		return nil, false
	}
	if binary.BigEndian.Uint32(bytes[headerSumOffset:]) != crc32.Checksum(bytes[:headerSumOffset], castagnoli) {
		return nil, false
	}
	length := int(binary.BigEndian.Uint32(bytes[lengthOffset:]))
	if len(bytes)-frameHeaderBytes < length {
		return nil, false
	}
	payload := bytes[frameHeaderBytes : frameHeaderBytes+length]
	return payload, binary.BigEndian.Uint32(bytes[payloadSumOffset:]) == crc32.Checksum(payload, castagnoli)
}

// validFrameFollows reports whether a valid frame begins anywhere after the first byte.
func (bytes frame) validFrameFollows() bool {
	for start := 1; start+frameHeaderBytes <= len(bytes); start++ {
		if bytes[start] != frameMagicFirstByte || bytes[start+1] != frameMagicLastByte {
			continue
		}
		if _, valid := bytes[start:].payload(); valid {
			return true
		}
	}
	return false
}
