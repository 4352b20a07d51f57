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

// lastLines bounds the wait for the last log lines.
const lastLines = 100 * time.Millisecond

// Execute runs the command.
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
	defer writer.Wait(lastLines)
	defer cancel()
	signals := make(chan os.Signal, 4)
	signal.Notify(signals, syscall.SIGTERM, syscall.SIGINT, syscall.SIGHUP)
	vm, err := edge.Start(settings, logger)
	if err != nil {
		return fmt.Errorf("start: %w", err)
	}
	(&watch{path: path, settings: settings, vm: vm, logger: logger}).run(signals)
	vm.Shutdown(time.Now())
	return nil
}

// watchPause is the time between two looks at the settings file: the platform
// may change it without a signal.
const watchPause = time.Second

// watch reloads the settings when they change.
type watch struct {
	path     string
	settings platform.Settings
	changed  time.Time // when the file was changed, as it was read last
	vm       *edge.VM
	logger   *zap.Logger
}

// run returns when the process is to stop.
func (w *watch) run(signals <-chan os.Signal) {
	ticker := time.NewTicker(watchPause)
	defer ticker.Stop()
	for {
		select {
		case s := <-signals:
			if s != syscall.SIGHUP {
				return
			}
			w.read()
		case <-ticker.C:
			w.look()
		}
	}
}

// look reads the file if it was changed.
func (w *watch) look() {
	info, err := os.Stat(w.path)
	if err != nil || info.ModTime().Equal(w.changed) {
		return // a file that is being replaced is looked at again
	}
	w.changed = info.ModTime()
	w.read()
}

func (w *watch) read() {
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
