package edge

import (
	"fmt"
	"math/bits"

	"github.com/klauspost/compress/zstd"
)

// dictionary is the id under which data that both VMs have is used as a dictionary.
const dictionary = 1

// maxUnpackedBytes bounds what a peer's response may hold before it was compressed. It leaves
// room for a configuration of some ten thousand routes and the entries of some thousand
// upstreams.
const maxUnpackedBytes = 32 << 20

// compress compresses data against a base that the reader has too; nil for none.
func compress(data, base []byte) ([]byte, error) {
	options := []zstd.EOption{zstd.WithEncoderConcurrency(1), zstd.WithLowerEncoderMem(true)}
	if len(base) > 0 {
		window := 1 << bits.Len(uint(len(data)+len(base)))
		options = append(options, zstd.WithEncoderDictRaw(dictionary, base), zstd.WithWindowSize(min(max(window, zstd.MinWindowSize), maxUnpackedBytes)))
	}
	e, err := zstd.NewWriter(nil, options...)
	if err != nil {
		return nil, fmt.Errorf("compress: %w", err)
	}
	defer e.Close() //nolint:errcheck // nothing was written
	return e.EncodeAll(data, nil), nil
}

// decompress reverses compress.
func decompress(data, base []byte) ([]byte, error) {
	options := []zstd.DOption{zstd.WithDecoderConcurrency(1), zstd.WithDecoderLowmem(true), zstd.WithDecoderMaxMemory(maxUnpackedBytes)}
	if len(base) > 0 {
		options = append(options, zstd.WithDecoderDictRaw(dictionary, base))
	}
	d, err := zstd.NewReader(nil, options...)
	if err != nil {
		return nil, fmt.Errorf("decompress: %w", err)
	}
	defer d.Close()
	unpacked, err := d.DecodeAll(data, nil)
	if err != nil {
		return nil, fmt.Errorf("decompress: %w", err)
	}
	return unpacked, nil
}
