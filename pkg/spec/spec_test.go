package spec_test

import (
	"errors"
	"os"
	"path/filepath"
	"strings"
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/tanagerlb/tanagerlb/internal/testlib"
	"github.com/tanagerlb/tanagerlb/pkg/check"
	"github.com/tanagerlb/tanagerlb/pkg/spec"
)

const good = `service: lm-assist
kind: model
base: latvian-7b
calls:
  - {name: reply, urgency: urgent, deadline: 10s}
  - {name: summary, urgency: patient}
engines:
  - {name: e1, address: "127.0.0.1:7201", slots: 8, batch: 16, fences: true}
adapters:
  - {name: school-12, version: v3}
`

func TestParse(t *testing.T) {
	is := is.New(t)
	d, err := spec.Parse("good.yaml", []byte(good), []string{"latvian-7b"})
	is.NoErr(err)
	call, ok := d.FindCall("summary")
	is.True(ok)
	is.Equal(call.UrgencyLevel(), spec.Patient)
	is.Equal(call.Deadline, spec.DefaultDeadline)
	call, ok = d.FindCall("reply")
	is.True(ok)
	is.Equal(call.UrgencyLevel(), spec.Urgent)
	is.Equal(call.Deadline, 10*time.Second)
	_, ok = d.FindCall("other")
	is.True(!ok)
}

// Parse reports all findings together, each with its position.
func TestParseFindings(t *testing.T) {
	for _, name := range []string{"model", "plain"} {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			text, err := os.ReadFile(filepath.Join("testdata", name+".yaml"))
			is.NoErr(err)
			_, err = spec.Parse(name+".yaml", text, []string{"latvian-7b"})
			var findings *check.Error
			is.True(errors.As(err, &findings))
			testlib.Golden(t, name+".golden", err.Error()+"\n")
		})
	}
}

func TestParseHostile(t *testing.T) {
	for name, text := range map[string]string{
		"empty":     "",
		"scalar":    "42",
		"list":      "[1, 2]",
		"alias":     "service: &a x\nkind: *a\n",
		"bomb":      "a: &a [x,x]\nb: &b [*a,*a]\nc: [*b,*b]\n",
		"unclosed":  "service: [",
		"tabs":      "\tservice: x",
		"two":       "service: a\n---\nservice: b\n",
		"nul":       "service: \x00",
		"deep":      "service: " + strings.Repeat("[", 10_000),
		"too large": strings.Repeat("#", spec.MaxDocumentBytes+1),
	} {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			_, err := spec.Parse(name, []byte(text), nil)
			var findings *check.Error
			is.True(errors.As(err, &findings)) // rejected with findings
			is.True(len(findings.Findings) > 0)
		})
	}
}

func FuzzParse(f *testing.F) {
	f.Add([]byte(good))
	for _, name := range []string{"model", "plain"} {
		text, err := os.ReadFile(filepath.Join("testdata", name+".yaml"))
		if err != nil {
			f.Fatal(err)
		}
		f.Add(text)
	}
	f.Fuzz(func(t *testing.T, text []byte) {
		d, err := spec.Parse("fuzz", text, nil)
		var findings *check.Error
		if err != nil && !errors.As(err, &findings) {
			t.Fatalf("error without findings: %v", err)
		}
		if err == nil && d.Service == "" {
			t.Fatal("document without a service")
		}
	})
}
