package config_test

import (
	"errors"
	"os"
	"path/filepath"
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/tanagerlb/tanagerlb/internal/config"
	"github.com/tanagerlb/tanagerlb/internal/testlib"
	"github.com/tanagerlb/tanagerlb/pkg/check"
)

const example = "../../docs/examples/a1.yaml"

func TestExample(t *testing.T) {
	is := is.New(t)
	s, err := config.Read(example)
	is.NoErr(err)
	is.Equal(s.VM, "a1")
	is.Equal(s.Weights.Stall, 2.0)
	is.Equal(s.Log.ReadWait, 500*time.Millisecond) // default
	is.Equal(s.CallerListen(), s.Caller)
}

// Parse reports all findings together, each with its position in the file.
func TestFindings(t *testing.T) {
	is := is.New(t)
	text, err := os.ReadFile(filepath.Join("testdata", "bad.yaml"))
	is.NoErr(err)
	_, err = config.Parse("bad.yaml", text)
	var findings *check.Error
	is.True(errors.As(err, &findings))
	testlib.Golden(t, "bad.golden", err.Error()+"\n")
}

func TestMissingFile(t *testing.T) {
	is := is.New(t)
	_, err := config.Read("no-such.yaml")
	is.True(errors.Is(err, os.ErrNotExist))
}

func FuzzParse(f *testing.F) {
	for _, path := range []string{example, filepath.Join("testdata", "bad.yaml")} {
		text, err := os.ReadFile(path)
		if err != nil {
			f.Fatal(err)
		}
		f.Add(text)
	}
	f.Fuzz(func(t *testing.T, text []byte) {
		s, err := config.Parse("fuzz", text)
		var findings *check.Error
		if err != nil && !errors.As(err, &findings) {
			t.Fatalf("error without findings: %v", err)
		}
		if err == nil && (s.VM == "" || !s.Caller.IsValid()) {
			t.Fatal("settings without a VM or an address")
		}
	})
}
