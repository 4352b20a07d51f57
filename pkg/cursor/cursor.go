// Package cursor provides positions in a log that may come back from an older copy of
// itself. What was appended since the copy is then gone, and its offsets are given out
// again; the era of the log, which rises each time, tells the two apart.
package cursor

import "cmp"

// Position is the position of a record, or of the end of a topic. The fields are encoded
// under short names in packets between VMs.
type Position struct {
	Era    int64 `msgpack:"e,omitempty"`
	Offset int64 `msgpack:"o,omitempty"` // number of the record in its topic, from 0
}

// Compare orders positions by era first: any position of a later era is after all of an
// earlier one. It returns -1, 0 or 1, as cmp.Compare does.
func (p Position) Compare(q Position) int {
	return cmp.Or(cmp.Compare(p.Era, q.Era), cmp.Compare(p.Offset, q.Offset))
}

// eraShift is the number of bits of an offset in Position.Number. It leaves room for
// 131,072 eras and 68 billion records in the integers that JSON decoders keep exactly.
const eraShift = 36

// Number returns the position as a number from 1 on that is the same for no other
// position and rises with it.
func (p Position) Number() int64 { return p.Era<<eraShift + p.Offset + 1 }
