package infer_test

import (
	"errors"
	"testing"

	"github.com/matryer/is"

	"github.com/tanagerlb/tanagerlb/internal/infer"
	"github.com/tanagerlb/tanagerlb/internal/testlib"
)

// Guards against a load that counts as refused or carried out, and a completion that counts as refused
// or complete, after an answer that is none of HTTP: it may have run.
func TestMalformedAnswerTellsNothing(t *testing.T) {
	for _, a := range testlib.MalformedHeads() {
		t.Run(a.Name, func(t *testing.T) {
			t.Parallel()
			is := is.New(t)
			s := testlib.NewRawServer(t, testlib.RawConfig{Answer: a.Text("Content-Type: text/event-stream\r\n", token+done)})
			client := newClient()
			err := client.Load(t.Context(), s.Address, infer.AdapterRequest{Instance: "x"})
			is.True(err != nil && infer.MayHaveApplied(err))
			_, err = client.Complete(t.Context(), s.Address, infer.Completion{MaxTokens: 2}, func(int, string) error { return nil })
			is.True(err != nil && !errors.Is(err, infer.ErrTimeout))
			is.True(!errors.Is(err, infer.ErrStatus) && !errors.Is(err, infer.ErrNotLoaded))
			_, err = client.Report(t.Context(), s.Address)
			is.True(err != nil && !errors.Is(err, infer.ErrStatus))
			is.Equal(s.Requests(), 3)
		})
	}
}
