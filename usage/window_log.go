package usage

import (
	"orchidjunction/message"
	"orchidjunction/rpc"
	"orchidjunction/storage"
)

const (
	snapshotKind = "counts"
	segmentKind  = "usage"
	// segmentFactor is the largest size of a segment as a multiple of its snapshot's size;
	// minSegmentBytes is a lower bound on that limit.
	segmentFactor   = 4
	minSegmentBytes = 256 << 10
)

// WindowLog persists the counts of Windows, so that those that no process holds any more are
// still reported after a power loss. A snapshot holds all counts at its time; the segment
// with the same number holds later changes. Counts only grow, so entries may be read in any
// order and more than once.
//
// It is not safe for concurrent use.
type WindowLog struct {
	disk            storage.Disk
	windows         *Windows
	snapshotNumber  uint64           // newest snapshot that may be on the disk
	journal         *storage.Journal // nil until the segment of the newest snapshot is open
	appendedChanges uint64           // newest change of the windows that is on the disk
	segmentSize     int64            // in bytes
	segmentLimit    int64            // in bytes
}

// OpenWindowLog adds the counts on a disk to windows. Unreadable data is skipped: usage of a
// few windows is no reason for a core not to start. The log can be used even if an error is
// returned.
func OpenWindowLog(disk storage.Disk, windows *Windows) (*WindowLog, error) {
	log := &WindowLog{disk: disk, windows: windows}
	snapshots, err := storage.FileNumbers(disk, snapshotKind)
	if err != nil || len(snapshots) == 0 {
		return log, err
	}
	log.snapshotNumber = snapshots[len(snapshots)-1]
	counts := []message.ProcessCounts{}
	if err := storage.ReadSnapshot(disk, snapshotKind, log.snapshotNumber, &counts); err != nil {
		return log, err
	}
	windows.MergeCounts(counts)
	_, err = storage.OpenJournal(disk, segmentKind, log.snapshotNumber, func(_ uint64, payload []byte) error {
		added := []message.ProcessCounts{}
		if err := rpc.Unmarshal(payload, &added); err != nil {
			return err
		}
		windows.MergeCounts(added)
		return nil
	})
	return log, err
}

// Append makes durable what was counted since the last call. After an error, the next call
// writes a new snapshot of all counts.
func (log *WindowLog) Append() error {
	if log.journal == nil || log.journal.Err() != nil || log.segmentSize > log.segmentLimit {
		return log.startSnapshot()
	}
	counts, changes := log.windows.ChangedSince(log.appendedChanges)
	if len(counts) == 0 {
		return nil
	}
	frame, err := storage.EncodeFrame(counts)
	if err != nil {
		return err
	}
	if err := log.journal.Append(frame); err != nil {
		return err
	}
	log.appendedChanges = changes
	log.segmentSize += int64(len(frame))
	return nil
}

// startSnapshot writes a snapshot of all counts, starts its segment, and removes older files.
func (log *WindowLog) startSnapshot() error {
	counts, changes := log.windows.ChangedSince(0)
	frame, err := storage.EncodeFrame(counts)
	if err != nil {
		return err
	}
	log.Close()
	log.journal = nil
	log.snapshotNumber++
	if err := storage.WriteSnapshot(log.disk, snapshotKind, log.snapshotNumber, counts); err != nil {
		return err
	}
	journal, err := storage.OpenJournal(log.disk, segmentKind, log.snapshotNumber, nil)
	if err != nil {
		return err
	}
	if err := journal.Begin(log.snapshotNumber); err != nil {
		return err
	}
	log.journal, log.appendedChanges = journal, changes
	log.segmentSize, log.segmentLimit = 0, max(minSegmentBytes, segmentFactor*int64(len(frame)))
	return log.removeOldFiles()
}

func (log *WindowLog) removeOldFiles() error {
	noSync := func() error { return nil }
	if err := storage.RemoveBefore(log.disk, snapshotKind, log.snapshotNumber, noSync); err != nil {
		return err
	}
	return storage.RemoveBefore(log.disk, segmentKind, log.snapshotNumber, noSync)
}

// Close closes the journal of the current segment, if any.
func (log *WindowLog) Close() {
	if log.journal != nil {
		log.journal.Close()
	}
}
