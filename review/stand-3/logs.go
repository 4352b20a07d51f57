//go:build review

package main

import (
	"fmt"
	"os"
	"strings"
	"sync/atomic"
	"time"
)

// collector reads the logs of processes, each at a rate that is many times that of their usual
// output.
type collector struct {
	bytesPerS int64
	read      atomic.Int64
}

// open returns the end of a pipe for a process to write to.
func (c *collector) open() (*os.File, error) {
	reader, writer, err := os.Pipe()
	if err != nil {
		return nil, fmt.Errorf("open a pipe for logs: %w", err)
	}
	go c.loop(reader)
	return writer, nil
}

func (c *collector) loop(reader *os.File) {
	defer reader.Close()
	begun, read := time.Now(), int64(0)
	buffer := make([]byte, 64<<10)
	for {
		n, err := reader.Read(buffer)
		if err != nil {
			return
		}
		read += int64(n)
		c.read.Add(int64(n))
		time.Sleep(time.Until(begun.Add(time.Duration(float64(read) / float64(c.bytesPerS) * float64(time.Second)))))
	}
}

// logRate is what the collector reads of each process in a second: some twenty times what one writes
// that serves a thousand ordinary requests.
const logRate = 10 << 20

// playIDs plays clients whose requests have long ids of bytes that are no UTF-8.
func playIDs(r *record, trouble bool) (int, error) {
	logs := &collector{bytesPerS: logRate}
	status, err := playMemory(r, crowd{
		path: "/unknown/", memoryMb: smallMachine, clients: 24, logs: logs, next: func() map[string]string {
			header := map[string]string{"Deadline-Ms": "1000"}
			if trouble {
				header["Request-Id"] = strings.Repeat("\xff", maxHeaderBytes-otherBytes)
			}
			return header
		},
	})
	r.write("bytes of logs: %d", logs.read.Load())
	return status, err
}
