package storage

// CloneFor returns a copy of the journal that writes to another disk, to a file that
// stands for the last segment there. Models use it to fork a machine.
func (journal *Journal) CloneFor(disk Disk, file File) *Journal {
	clone := *journal
	clone.disk, clone.file = disk, file
	return &clone
}

// LastSegment returns the file that the journal appends to.
func (journal *Journal) LastSegment() File { return journal.file }
