// Package record provides the records that VMs keep in the platform's log
// service, and the batches in which they are read.
package record

import (
	"encoding/json"
	"errors"
	"fmt"
)

// Format is the newest record format that this package reads and the one that
// it writes.
const Format = 1

// Errors of Decode.
var (
	ErrFormat    = errors.New("record has a newer format")
	ErrMalformed = errors.New("record is malformed")
	ErrKind      = errors.New("record is of another kind")
)

// Record is one record of a log stream. Offsets grow along the stream and
// start at 1.
type Record struct {
	Offset int64
	Data   []byte
}

// Batch is the result of one read of a stream.
type Batch struct {
	Records []Record
	First   int64 // oldest offset still retained
	Next    int64 // offset at which to read on
	Tail    int64 // offset that the next append will get
}

type envelope struct {
	Kind   string          `json:"kind"`
	Format int             `json:"format"`
	Body   json.RawMessage `json:"body"`
}

// Encode returns the data of a record of the given kind.
func Encode(kind string, body any) ([]byte, error) {
	raw, err := json.Marshal(body)
	if err != nil {
		return nil, fmt.Errorf("encode %s record: %w", kind, err)
	}
	data, err := json.Marshal(envelope{Kind: kind, Format: Format, Body: raw})
	if err != nil {
		return nil, fmt.Errorf("encode %s record: %w", kind, err)
	}
	return data, nil
}

// Kind returns the kind of a record. It fails with ErrFormat or ErrMalformed.
func Kind(data []byte) (string, error) {
	e, err := open(data)
	return e.Kind, err
}

// Decode decodes the body of a record of the given kind into out. It fails
// with ErrFormat, ErrMalformed or ErrKind.
func Decode(data []byte, kind string, out any) error {
	e, err := open(data)
	if err != nil {
		return err
	}
	if e.Kind != kind {
		return fmt.Errorf("decode %s record of kind %q: %w", kind, e.Kind, ErrKind)
	}
	if err := json.Unmarshal(e.Body, out); err != nil {
		return fmt.Errorf("decode %s record: %w: %w", kind, ErrMalformed, err)
	}
	return nil
}

func open(data []byte) (envelope, error) {
	var e envelope
	if err := json.Unmarshal(data, &e); err != nil {
		return e, fmt.Errorf("decode record: %w: %w", ErrMalformed, err)
	}
	if e.Format > Format {
		return e, fmt.Errorf("decode record of format %d: %w", e.Format, ErrFormat)
	}
	return e, nil
}
