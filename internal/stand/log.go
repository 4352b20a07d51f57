package stand

import (
	"context"
	"net/http"
	"strconv"
	"sync"
	"time"
)

// maxRead is the maximum number of records in a LogBatch.
const maxRead = 1000

// LogRecord is a record of a stream and its offset.
type LogRecord struct {
	Offset int64  `json:"offset"`
	Data   []byte `json:"data"`
}

// LogBatch is the answer to a read: consecutive records of a stream, and the
// offsets that the stream covers.
type LogBatch struct {
	Records []LogRecord `json:"records"`
	First   int64       `json:"first"` // offset of the oldest record that is not truncated
	Next    int64       `json:"next"`  // offset after the last record of the batch, from which to read next
	Tail    int64       `json:"tail"`  // offset that the next appended record gets
}

// AppendRequest holds the records to append to a stream, in order.
type AppendRequest struct {
	Records [][]byte `json:"records"`
}

// AppendResponse tells which offsets the appended records got: consecutive ones
// from First on.
type AppendResponse struct {
	First int64 `json:"first"`
}

type stream struct {
	first   int64 // offset of the oldest record that is not truncated
	records [][]byte
	changed chan struct{} // closed by the next append
}

// Log is a fake of the append-only log service. It keeps its streams in memory.
type Log struct {
	faultInjector
	mux     *http.ServeMux
	mutex   sync.Mutex
	streams map[string]*stream
	appends int
	reads   int
}

// NewLog returns an empty log service. Its HTTP interface:
//
//	POST /streams/{stream}                      appends records
//	GET  /streams/{stream}?from=N&wait=MS       reads records from an offset
//	POST /control                               sets the Faults to inject
//	POST /truncate/{stream}?before=N            drops the records with offsets below N
//	GET  /counts                                returns LogCounts
func NewLog() *Log {
	l := &Log{mux: http.NewServeMux(), streams: map[string]*stream{}}
	l.mux.HandleFunc("POST /streams/{stream}", l.append)
	l.mux.HandleFunc("GET /streams/{stream}", l.read)
	l.mux.HandleFunc("POST /control", l.control)
	l.mux.HandleFunc("POST /truncate/{stream}", l.truncate)
	l.mux.HandleFunc("GET /counts", l.counts)
	return l
}

// ServeHTTP serves the HTTP interface that NewLog describes.
func (l *Log) ServeHTTP(w http.ResponseWriter, r *http.Request) { l.mux.ServeHTTP(w, r) }

func (l *Log) stream(name string) *stream {
	s, ok := l.streams[name]
	if !ok {
		s = &stream{first: 1, changed: make(chan struct{})}
		l.streams[name] = s
	}
	return s
}

func (l *Log) append(w http.ResponseWriter, r *http.Request) {
	var body AppendRequest
	if !readJSON(w, r, &body) || !l.injectBefore(r) {
		return
	}
	first := l.Append(r.PathValue("stream"), body.Records...)
	l.injectAfter()
	writeJSON(w, AppendResponse{First: first})
}

// Append appends records to a stream and returns the offset of the first one. The
// others get the offsets that follow.
func (l *Log) Append(name string, records ...[]byte) int64 {
	l.mutex.Lock()
	defer l.mutex.Unlock()
	l.appends++
	s := l.stream(name)
	first := s.first + int64(len(s.records))
	s.records = append(s.records, records...)
	close(s.changed)
	s.changed = make(chan struct{})
	return first
}

func (l *Log) read(w http.ResponseWriter, r *http.Request) {
	if !l.injectBefore(r) {
		return
	}
	from, _ := strconv.ParseInt(r.URL.Query().Get("from"), 10, 64)
	wait, _ := strconv.Atoi(r.URL.Query().Get("wait"))
	batch := l.Read(r.Context(), r.PathValue("stream"), from, time.Duration(wait)*time.Millisecond)
	if !l.injectBefore(r) {
		return
	}
	writeJSON(w, batch)
}

// Read returns at most maxRead records of a stream, starting with the given offset.
// If there are none yet, it waits for the next append, but no longer than the given
// time and only until ctx is done.
func (l *Log) Read(ctx context.Context, name string, from int64, wait time.Duration) LogBatch {
	l.mutex.Lock()
	l.reads++
	changed := l.stream(name).changed
	batch := l.batch(name, from)
	l.mutex.Unlock()
	if len(batch.Records) > 0 || wait <= 0 {
		return batch
	}
	timer := time.NewTimer(wait)
	defer timer.Stop()
	select {
	case <-ctx.Done():
	case <-timer.C:
	case <-changed:
	}
	l.mutex.Lock()
	defer l.mutex.Unlock()
	return l.batch(name, from)
}

func (l *Log) batch(name string, from int64) LogBatch {
	s := l.stream(name)
	from = max(from, s.first)
	tail := s.first + int64(len(s.records))
	end := max(from, min(tail, from+maxRead))
	batch := LogBatch{Records: []LogRecord{}, First: s.first, Next: end, Tail: tail}
	for offset := from; offset < end; offset++ {
		batch.Records = append(batch.Records, LogRecord{Offset: offset, Data: s.records[offset-s.first]})
	}
	return batch
}

// Truncate drops the records of a stream with offsets below the given one.
func (l *Log) Truncate(name string, before int64) {
	l.mutex.Lock()
	defer l.mutex.Unlock()
	s := l.stream(name)
	drop := min(max(before-s.first, 0), int64(len(s.records)))
	s.records = s.records[drop:]
	s.first += drop
}

func (l *Log) truncate(w http.ResponseWriter, r *http.Request) {
	before, err := strconv.ParseInt(r.URL.Query().Get("before"), 10, 64)
	if err != nil {
		http.Error(w, err.Error(), http.StatusBadRequest)
		return
	}
	l.Truncate(r.PathValue("stream"), before)
}

func (l *Log) control(w http.ResponseWriter, r *http.Request) {
	var faults Faults
	if readJSON(w, r, &faults) {
		l.set(faults)
	}
}

// LogCounts holds the numbers of appends and reads, and the end of each stream.
type LogCounts struct {
	Appends int              `json:"appends"`
	Reads   int              `json:"reads"`
	Tails   map[string]int64 `json:"tails"` // offset that the next appended record gets, by stream
}

func (l *Log) counts(w http.ResponseWriter, _ *http.Request) { writeJSON(w, l.Counts()) }

// Counts returns the numbers of appends and reads so far, and the end of each
// stream.
func (l *Log) Counts() LogCounts {
	l.mutex.Lock()
	defer l.mutex.Unlock()
	c := LogCounts{Appends: l.appends, Reads: l.reads, Tails: map[string]int64{}}
	for name, s := range l.streams {
		c.Tails[name] = s.first + int64(len(s.records))
	}
	return c
}
