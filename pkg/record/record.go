// Package record defines the records that VMs keep in the platform's log service,
// the encoding of these records, and the batches in which a stream is read.
package record

import (
	"encoding/json"
	"errors"
	"fmt"
)

// Format is the record format that this package writes, and the newest format that
// it reads.
const Format = 1

// Errors returned by Decode and Kind.
var (
	ErrFormat    = errors.New("record has a newer format")
	ErrMalformed = errors.New("record is malformed")
	ErrKind      = errors.New("record is of another kind")
)

// Record is one record of a log stream. Offsets start at 1 and increase along
// the stream.
type Record struct {
	Offset int64
	Data   []byte
}

// Batch is the result of one read of a stream.
type Batch struct {
	Records []Record
	First   int64 // oldest offset that is still retained
	Next    int64 // offset at which the next read starts
	Tail    int64 // offset that the next appended record gets
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

// Kind returns the kind that was given to Encode for a record. It returns ErrFormat
// or ErrMalformed on failure.
func Kind(data []byte) (string, error) {
	e, err := decodeEnvelope(data)
	return e.Kind, err
}

// Decode decodes the body of a record of the given kind into out. It returns
// ErrFormat, ErrMalformed or ErrKind on failure.
func Decode(data []byte, kind string, out any) error {
	e, err := decodeEnvelope(data)
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

func decodeEnvelope(data []byte) (envelope, error) {
	var e envelope
	if err := json.Unmarshal(data, &e); err != nil {
		return e, fmt.Errorf("decode record: %w: %w", ErrMalformed, err)
	}
	if e.Format > Format {
		return e, fmt.Errorf("decode record of format %d: %w", e.Format, ErrFormat)
	}
	return e, nil
}
