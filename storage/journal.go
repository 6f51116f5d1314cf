package storage

import (
	"io"

	"orchidjunction/rpc"
)

// defaultSegmentLimit is how many bytes a segment holds before the next one is due.
const defaultSegmentLimit = 4 << 20

// Replay is called with each payload that a journal holds, in order. Its error says that
// the payload can't be read.
type Replay func(segment uint64, payload []byte) error

// Journal is a log in segments, which are numbered files of one kind. A frame that was
// appended without an error is durable. The torn tail of the last segment is cut; a
// damaged frame before a valid one is refused.
//
// After a write, a sync or a change of names failed, nobody knows what of it is on the
// disk, and a later sync may succeed without covering it. The journal then refuses
// everything until its owner has written elsewhere what it needs: by beginning a new
// segment, or by rewriting the last one.
//
// It is not safe for concurrent use.
type Journal struct {
	disk   Disk
	kind   string
	number uint64
	size   int64
	limit  int64
	file   File
	err    error
}

// OpenJournal replays all frames from the first segment on and ignores segments before
// it. It only reads: the journal accepts frames once its owner has called Begin or
// Rewrite. The last segment is not extended as it was found, since a failed sync of the
// former process may have left frames that can be read and are not on the disk.
func OpenJournal(disk Disk, kind string, first uint64, replay Replay) (*Journal, error) {
	journal := &Journal{disk: disk, kind: kind, number: first, limit: defaultSegmentLimit}
	segments, err := FileNumbers(disk, kind)
	if err != nil {
		return nil, err
	}
	for len(segments) > 0 && segments[0] < first {
		segments = segments[1:]
	}
	for index, number := range segments {
		if number != first+uint64(index) {
			return nil, rpc.Errorf(rpc.CorruptStore, "%s is missing", FileName(kind, first+uint64(index)))
		}
		if err := journal.replaySegment(number, index == len(segments)-1, replay); err != nil {
			return nil, err
		}
		journal.number = number
	}
	return journal, nil
}

func (journal *Journal) replaySegment(number uint64, isLast bool, replay Replay) error {
	name := FileName(journal.kind, number)
	body, err := journal.disk.Read(name)
	if err != nil {
		return diskError(rpc.DiskFailure, err, "read %s", name)
	}
	offset := 0
	for offset < len(body) {
		rest := frame(body[offset:])
		payload, valid := rest.payload()
		if !valid && (!isLast || rest.validFrameFollows()) {
			return rpc.Errorf(rpc.CorruptStore, "%s fails its checksum at byte %d", name, offset)
		}
		if !valid {
			break
		}
		if err := replay(number, payload); err != nil {
			return rpc.Errorf(rpc.CorruptStore, "%s at byte %d: %w", name, offset, err)
		}
		offset += frameHeaderBytes + len(payload)
	}
	journal.size = int64(offset)
	return nil
}

// Number returns the number of the last segment.
func (journal *Journal) Number() uint64 { return journal.number }

// Err returns why the journal refuses frames, nil while it accepts them.
func (journal *Journal) Err() error { return journal.err }

// Fail makes the journal refuse frames until the next Begin or Rewrite succeeds. It
// returns err.
func (journal *Journal) Fail(err error) error {
	journal.err = err
	return err
}

// LimitSegments sets after how many bytes the next segment is due.
func (journal *Journal) LimitSegments(bytes int64) { journal.limit = bytes }

// Full reports whether a frame belongs into the next segment.
func (journal *Journal) Full(frame []byte) bool {
	return journal.size > 0 && journal.size+int64(len(frame)) > journal.limit
}

// Begin makes an empty segment with the number the last one. Its name is durable before
// it is used.
func (journal *Journal) Begin(number uint64) error {
	file, err := journal.disk.Create(FileName(journal.kind, number))
	if err == nil {
		err = file.Sync()
	}
	if err == nil {
		err = journal.disk.Sync()
	}
	return journal.use(file, number, 0, err)
}

// Rewrite puts a new file with the valid content in the place of the last segment.
func (journal *Journal) Rewrite() error {
	if journal.size == 0 {
		return journal.Begin(journal.number)
	}
	name := FileName(journal.kind, journal.number)
	body, err := journal.disk.Read(name)
	if err == nil && int64(len(body)) < journal.size {
		err = io.ErrUnexpectedEOF
	}
	if err != nil {
		return journal.use(nil, journal.number, journal.size, err)
	}
	file, err := replaceFile(journal.disk, name, body[:journal.size])
	return journal.use(file, journal.number, journal.size, err)
}

// use continues with a file or, after an error, with none.
func (journal *Journal) use(file File, number uint64, size int64, err error) error {
	if err != nil {
		if file != nil {
			_ = file.Close() // its sync or its naming failed already
		}
		return journal.Fail(diskError(rpc.DiskFailure, err, "begin %s", FileName(journal.kind, number)))
	}
	journal.Close()
	journal.file, journal.number, journal.size, journal.err = file, number, size, nil
	return nil
}

// Append writes and syncs a frame. It is durable once Append returns without an error;
// after an error the journal refuses everything.
func (journal *Journal) Append(frame []byte) error {
	if journal.err != nil {
		return journal.err
	}
	name := FileName(journal.kind, journal.number)
	if _, err := journal.file.Write(frame); err != nil {
		return journal.Fail(diskError(rpc.DiskFailure, err, "write %s", name))
	}
	if err := journal.file.Sync(); err != nil {
		return journal.Fail(diskError(rpc.DiskFailure, err, "sync %s", name))
	}
	journal.size += int64(len(frame))
	return nil
}

// Close closes the last segment. All that was appended is durable already.
func (journal *Journal) Close() {
	if journal.file != nil {
		_ = journal.file.Close() // its content is synced
	}
}
