package main

import (
	"context"
	"fmt"
	"os"
	"os/signal"
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
	logger, writer, err := lines.Logger(ctx, c.Level)
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
	for s := range signals {
		if s != syscall.SIGHUP {
			break
		}
		if _, err := platform.ReadSettings(path); err != nil {
			logger.Warn("vm: settings cannot be used", zap.Error(err))
			continue
		}
		logger.Info("vm: settings read again")
	}
	vm.Shutdown(time.Now())
	return nil
}
