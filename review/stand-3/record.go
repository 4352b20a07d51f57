//go:build review

package main

import (
	"fmt"
	"os"
	"sync"
	"time"
)

// record is the file that tells what was sent, answered and run.
type record struct {
	mu    sync.Mutex
	file  *os.File
	begun time.Time
}

func newRecord(path string) (*record, error) {
	file, err := os.Create(path)
	if err != nil {
		return nil, fmt.Errorf("create record: %w", err)
	}
	return &record{file: file, begun: time.Now()}, nil
}

// write adds a line to the record and to standard output.
func (r *record) write(format string, args ...any) {
	line := fmt.Sprintf("%7.2f s  %s\n", time.Since(r.begun).Seconds(), fmt.Sprintf(format, args...))
	r.mu.Lock()
	defer r.mu.Unlock()
	_, _ = r.file.WriteString(line)
	fmt.Print(line)
}
