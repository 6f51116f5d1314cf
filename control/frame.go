package control

import (
	"encoding/binary"
	"hash/crc32"
)

const (
	frameMagic  = 0x6f6a
	frameHeader = 14
)

var frameTable = crc32.MakeTable(crc32.Castagnoli)

// Frame is a payload with its length, both under checksums.
type Frame []byte

func newFrame(payload []byte) Frame {
	frame := make(Frame, frameHeader+len(payload))
	binary.BigEndian.PutUint16(frame, frameMagic)
	binary.BigEndian.PutUint32(frame[2:], uint32(len(payload)))
	binary.BigEndian.PutUint32(frame[6:], crc32.Checksum(payload, frameTable))
	binary.BigEndian.PutUint32(frame[10:], crc32.Checksum(frame[:10], frameTable))
	copy(frame[frameHeader:], payload)
	return frame
}

// payload is the first frame's content and whether it is whole and sound.
func (frame Frame) payload() ([]byte, bool) {
	if len(frame) < frameHeader || binary.BigEndian.Uint16(frame) != frameMagic ||
		binary.BigEndian.Uint32(frame[10:]) != crc32.Checksum(frame[:10], frameTable) {
		return nil, false
	}
	length := int(binary.BigEndian.Uint32(frame[2:]))
	if len(frame)-frameHeader < length {
		return nil, false
	}
	payload := frame[frameHeader : frameHeader+length]
	return payload, binary.BigEndian.Uint32(frame[6:]) == crc32.Checksum(payload, frameTable)
}

// validFrameFollows tells whether any whole frame begins later in the bytes.
func (frame Frame) validFrameFollows() bool {
	for start := 1; start+frameHeader <= len(frame); start++ {
		if frame[start] != frameMagic>>8 || frame[start+1] != frameMagic&0xff {
			continue
		}
		if _, sound := frame[start:].payload(); sound {
			return true
		}
	}
	return false
}
