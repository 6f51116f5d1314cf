package main

import (
	"fmt"
	"os"
	"sync"
	"time"
)

// record is the log of a case: each line begins with the seconds since its start.
type record struct {
	mutex sync.Mutex
	file  *os.File
	begin time.Time
}

func newRecord(path string) (*record, error) {
	file, err := os.Create(path)
	if err != nil {
		return nil, err
	}
	return &record{file: file, begin: time.Now()}, nil
}

func (record *record) printf(format string, values ...any) {
	record.mutex.Lock()
	defer record.mutex.Unlock()
	line := fmt.Sprintf("%8.3f  ", time.Since(record.begin).Seconds()) + fmt.Sprintf(format, values...) + "\n"
	_, _ = record.file.WriteString(line)
	fmt.Print(line)
}

func (record *record) close() { _ = record.file.Close() }
