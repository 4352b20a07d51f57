package main

import (
	"os"
	"path/filepath"
	"strings"
	"testing"
	"time"

	"github.com/matryer/is"
	"go.uber.org/zap"
	"go.uber.org/zap/zaptest/observer"

	"github.com/tanagerlb/tanagerlb/internal/edge"
	"github.com/tanagerlb/tanagerlb/platform"
)

const settings = `nodeName=vm-1
zone=a
region=r
listen.front=127.0.71.9:0
listen.ready=127.0.71.9:0
listen.directory=127.0.71.9:0
internalPortRange=7380,7395
bootstrap=true
platform.address=127.0.0.1:1
bounds.drainMs=2000
bounds.requireFence=true
`

// Guards against a process that reads its settings only at the start. It logged a
// later change of the file but did not apply it, and missed a change without a
// signal.
func TestSettingsAreReloaded(t *testing.T) {
	is := is.New(t)
	path := filepath.Join(t.TempDir(), "local.conf")
	write := func(text string, at time.Time) {
		is.NoErr(os.WriteFile(path, []byte(text), 0o600))
		is.NoErr(os.Chtimes(path, at, at))
	}
	at := time.Unix(1_000_000, 0)
	write(settings, at)
	s, err := platform.ReadSettings(path)
	is.NoErr(err)
	core, logs := observer.New(zap.InfoLevel)
	vm, err := edge.Start(s, zap.New(core))
	is.NoErr(err)
	defer vm.Close()
	w := &settingsWatcher{path: path, settings: s, modified: at, vm: vm, logger: zap.New(core)}

	w.poll()
	is.Equal(logs.FilterMessageSnippet("settings").Len(), 0) // nothing changed
	write(strings.Replace(settings, "drainMs=2000", "drainMs=3000", 1), at.Add(time.Second))
	w.poll()
	is.Equal(logs.FilterMessage("vm: settings are reloaded").Len(), 1)
	write("nodeName", at.Add(2*time.Second))
	w.poll()
	is.Equal(logs.FilterMessage("vm: settings cannot be used").Len(), 1)
	write(strings.Replace(settings, "vm-1", "vm-2", 1), at.Add(3*time.Second))
	w.poll()
	is.Equal(logs.FilterMessage("vm: some settings are in force after a restart only").Len(), 1)
}
