package lines_test

import (
	"bytes"
	"context"
	"strings"
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/tanagerlb/tanagerlb/internal/lines"
)

// blockedOutput is an output whose writes block until release is closed.
type blockedOutput struct{ release chan struct{} }

func (s *blockedOutput) Write(b []byte) (int, error) {
	<-s.release
	return len(b), nil
}

func TestNeverBlocks(t *testing.T) {
	is := is.New(t)
	ctx, cancel := context.WithCancel(context.Background())
	out := &blockedOutput{release: make(chan struct{})}
	w := lines.New(ctx, lines.Config{Out: out, MaxQueued: 4})
	for range 100 {
		n, err := w.Write([]byte("x\n"))
		is.NoErr(err)
		is.Equal(n, 2)
	}
	is.True(w.Dropped() >= 95)
	close(out.release)
	cancel()
	w.Wait(5 * time.Second)
}

func TestWritesAllLinesBeforeItEnds(t *testing.T) {
	is := is.New(t)
	ctx, cancel := context.WithCancel(context.Background())
	var out bytes.Buffer
	w := lines.New(ctx, lines.Config{Out: &out, MaxQueued: 100})
	for range 50 {
		_, err := w.Write([]byte("x\n"))
		is.NoErr(err)
	}
	cancel()
	w.Wait(5 * time.Second)
	is.Equal(strings.Count(out.String(), "x\n"), 50)
}
