package main

import (
	"context"
	"fmt"
	"os"
	"os/signal"
	"reflect"
	"syscall"
	"time"

	"go.uber.org/zap"

	"github.com/tanagerlb/tanagerlb/internal/edge"
	"github.com/tanagerlb/tanagerlb/internal/lines"
	"github.com/tanagerlb/tanagerlb/platform"
)

type edgeCommand struct {
	Settings string `long:"settings" value-name:"FILE" description:"Platform's settings file; by default the one that the platform names"`
	Level    string `long:"level" default:"info" value-name:"LEVEL" description:"Least level of log lines: debug, info, warn or error"`
}

// flushTimeout is the maximum time that the process waits, before it exits, for the
// last log lines to be written.
const flushTimeout = 100 * time.Millisecond

// Execute runs an entry VM on the users' platform until SIGTERM or SIGINT.
func (c *edgeCommand) Execute([]string) error {
	path := c.Settings
	if path == "" {
		path = os.Getenv(platform.SettingsVariable)
	}
	settings, err := platform.ReadSettings(path)
	if err != nil {
		return err
	}
	ctx, cancel := context.WithCancel(context.Background())
	logger, writer, err := lines.NewLogger(ctx, c.Level)
	if err != nil {
		cancel()
		return err
	}
	defer writer.Wait(flushTimeout)
	defer cancel()
	signals := make(chan os.Signal, 4)
	signal.Notify(signals, syscall.SIGTERM, syscall.SIGINT, syscall.SIGHUP)
	vm, err := edge.Start(settings, logger)
	if err != nil {
		return fmt.Errorf("start: %w", err)
	}
	(&settingsWatcher{path: path, settings: settings, vm: vm, logger: logger}).run(signals)
	vm.Shutdown(time.Now())
	return nil
}

// watchInterval is the interval between two checks of the settings file. The file
// is polled because the platform may change the file without sending a signal.
const watchInterval = time.Second

// settingsWatcher reloads the settings of a running VM when their file changes.
type settingsWatcher struct {
	path     string
	settings platform.Settings
	modified time.Time // modification time of the file at the last poll
	vm       *edge.VM
	logger   *zap.Logger
}

// run reloads the settings on SIGHUP and when the file changes. It returns on
// SIGTERM or SIGINT.
func (w *settingsWatcher) run(signals <-chan os.Signal) {
	ticker := time.NewTicker(watchInterval)
	defer ticker.Stop()
	for {
		select {
		case s := <-signals:
			if s != syscall.SIGHUP {
				return
			}
			w.reload()
		case <-ticker.C:
			w.poll()
		}
	}
}

// poll reloads the settings if the file was modified since the last poll.
func (w *settingsWatcher) poll() {
	info, err := os.Stat(w.path)
	if err != nil || info.ModTime().Equal(w.modified) {
		return // unchanged, or missing during a replacement; the next poll checks again
	}
	w.modified = info.ModTime()
	w.reload()
}

func (w *settingsWatcher) reload() {
	s, err := platform.ReadSettings(w.path)
	if err != nil {
		w.logger.Warn("vm: settings cannot be used", zap.Error(err))
		return
	}
	if reflect.DeepEqual(s, w.settings) {
		return
	}
	w.settings = s
	w.vm.Reload(s)
}
